package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { plays["takeover"] = playTakeover }

// Figures of the case. Links have 20 Mbit/s, which the pages give for the smallest machines of the large installation (10 for the grown ones).
const (
	slowLinkMbps  = 20
	linkBytes     = slowLinkMbps * 1000 * 1000 / 8 // a second, from the store to an entry host
	linkPiece     = 8 << 10
	linkDelay     = 2 * time.Millisecond // to the store, one way: an answer takes 4 ms
	takeoverSpec  = 1000                 // bytes, the mean of the overnight jobs
	takeoverEvery = 30 * time.Millisecond
	takeoverFill  = 51 * time.Second
	takeoverAfter = 10 * time.Second // of traffic after the restarts
)

// link carries connections to the store, at the speed of a machine's link.
type link struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	free     time.Time // when the link has sent what was given to it
}

func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target}
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.carry(c)
	}
}

func (k *link) carry(c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer d.Close()
	go func() {
		_, _ = io.Copy(d, c) // calls are small
		_ = d.Close()
	}()
	buffer := make([]byte, linkPiece)
	for {
		n, err := d.Read(buffer)
		if n > 0 {
			time.Sleep(time.Until(k.reserve(n)))
			if _, err := c.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reserve returns when a piece has passed the link, which takes one piece after the other.
func (k *link) reserve(n int) time.Time {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	if k.free.Before(now) {
		k.free = now
	}
	k.free = k.free.Add(time.Duration(n) * time.Second / linkBytes)
	return k.free.Add(2 * linkDelay)
}

// playTakeover hands in small jobs for some time, and has the entry hosts stopped and started in turn.
func playTakeover(w *world, trouble bool) ([]string, error) {
	w.links = true
	w.open(func(string, int) (time.Duration, bool) { return 200 * time.Millisecond, false }, fmt.Sprintf(quoteConfig, 1))
	w.site.AddPool("stretch", 6, 16000, 65536, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":2,"cpu":250,"mem_mb":64,"estimate_ms":200}]}`, strings.Repeat("x", takeoverSpec))
	var mutex sync.Mutex
	accepted := make(map[string]time.Time)
	var group sync.WaitGroup
	next := 0
	traffic := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); next++ {
			id := fmt.Sprintf("%016x", 0x7a4e0000+next)
			group.Go(func() {
				if w.submit("/quote/", id, body, 4) {
					mutex.Lock()
					accepted[id] = time.Now()
					mutex.Unlock()
				}
			})
			time.Sleep(takeoverEvery)
		}
	}
	traffic(takeoverFill)
	if trouble {
		for _, h := range w.hosts {
			if err := w.restart(h); err != nil {
				return nil, err
			}
			time.Sleep(1300 * time.Millisecond)
		}
	}
	traffic(takeoverAfter)
	group.Wait()
	w.note("end of the traffic")
	time.Sleep(finishTime)
	started, live := make(map[string]bool), 0
	for _, r := range w.site.Runs() {
		started[r.Task[:16]] = true
		if r.Ended.IsZero() {
			live++
		}
	}
	waiting, example := 0, ""
	for id := range accepted {
		if !started[id] {
			waiting++
			example = id
		}
	}
	w.note("accepted jobs: %d, not started: %d, runs at work: %d", len(accepted), waiting, live)
	if waiting == 0 || live > 0 {
		return nil, nil
	}
	w.note("GET /quote/%s: %s", example, w.state("/quote/", example))
	return []string{fmt.Sprintf("LOST: %d of %d accepted jobs have not started %.0f s after the end of the traffic, while all servers are idle", waiting, len(accepted), finishTime.Seconds())}, nil
}
