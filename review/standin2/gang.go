package main

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	gangConfiguration = `{"version":1,"routes":[
 {"name":"fit","host":"shop.example","path_prefix":"/fit/","service":"calf","timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":4}],
 "services":[{"name":"calf","enforces_capacity":true}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`
	gangID      = "9a49000000000001"
	gangBody    = `{"spec":"gang","steps":[{"count":4,"cpu":7700,"mem_mb":16000,"estimate_ms":12000,"gang":true,"checkpointing":true}]}`
	gangMembers = 4
	gangWork    = 12 * time.Second
	gangBegun   = 4 * time.Second // of work when a runner is taken away
	noticeTime  = 2 * time.Second // from a runner's notice until it is gone
	newRunner   = 4 * time.Second // from then until another comes
	gangEnds    = 20 * time.Second
)

var errNoOwner = errors.New("the pool has no owner")

// playGang takes a runner away under a gang, as with a spot machine, and stops the owner of the pool with SIGTERM before another runner
// comes.
func playGang(f *fleet, trouble bool) ([]string, error) {
	site := newGangSite(f.network, f.record, gangMembers, gangWork)
	site.configure(gangConfiguration)
	var list []*gangRunner
	for range gangMembers {
		list = append(list, site.addRunner())
	}
	if err := f.start(); err != nil {
		return nil, err
	}
	if status, _ := f.call(f.hosts[0], http.MethodPost, "/fit/"+gangID, gangBody); status/100 != 2 {
		return nil, errNotAccepted
	}
	time.Sleep(gangBegun)
	list[0].drain()
	time.Sleep(noticeTime)
	list[0].leave()
	time.Sleep(newRunner / 2)
	if trouble {
		h, err := f.owner("calf")
		if err != nil {
			return nil, err
		}
		f.record.add("entry-%d, which owns the pool, gets SIGTERM", h.number)
		_ = h.process.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(newRunner / 2)
	site.addRunner()
	time.Sleep(gangEnds)
	f.state("/fit/", gangID)
	return site.mixedCheckpoints(), nil
}

// owner returns the entry host that owns the pool, as the store's row says.
func (f *fleet) owner(pool string) (*entryHost, error) {
	response, err := f.client.Get("http://" + f.network.real(basilfake.StoreAddress) + "/api/rows-get?table=owners&part=" + pool)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var rows struct {
		Rows []struct {
			Value string `json:"value"`
		} `json:"rows"`
	}
	if err := json.NewDecoder(response.Body).Decode(&rows); err != nil || len(rows.Rows) == 0 {
		return nil, errNoOwner
	}
	value, err := base64.StdEncoding.DecodeString(rows.Rows[0].Value)
	if err != nil {
		return nil, err
	}
	var row struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, err
	}
	for _, h := range f.hosts {
		if row.Node == fmt.Sprintf("entry-%d", h.number) {
			return h, nil
		}
	}
	return nil, errNoOwner
}

// mixedCheckpoints returns the attempts of gangs whose members were started with different checkpoints.
func (s *gangSite) mixedCheckpoints() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := make(map[string]gangStart)
	var broken []string
	for _, x := range s.starts {
		key := fmt.Sprintf("%s, attempt %d", gangOf(x.task), x.attempt)
		o, known := first[key]
		if !known {
			first[key] = x
			continue
		}
		if o.checkpoint != x.checkpoint {
			broken = append(broken, fmt.Sprintf("UNASKED: gang %s: %s is started with checkpoint %q, %s with %q", key, o.task, o.checkpoint, x.task, x.checkpoint))
		}
	}
	return broken
}
