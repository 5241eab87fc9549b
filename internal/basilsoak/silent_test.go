package basilsoak_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	contactTime     = 3 * time.Second // after which a host whose connections went silent counts as in touch, by the pages' contact_ms
	applyTime       = 2 * time.Second // within which a host in touch applies a configuration, by the pages' config_apply_ms
	idleConnections = 24              // calls at a time before, so that many connections to the store are idle
)

// TestConfigurationIsAppliedBesideSilentConnections checks that each entry host applies a configuration in time when its open connections to
// the store have gone silent while new ones work, also a second time. An entry host tried one silent connection after the other.
func TestConfigurationIsAppliedBesideSilentConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t, buildProgram(t), func(string, int) (time.Duration, bool) { return 300 * time.Millisecond, false })
	defer f.close()
	for _, h := range f.hosts {
		for until := time.Now().Add(10 * time.Second); f.status(h, "/quote/") != http.StatusOK; time.Sleep(100 * time.Millisecond) {
			must.True(t, time.Now().Before(until), must.Sprintf("entry-%d doesn't serve", h.number))
		}
	}
	former, routes := "/long/", configuration
	for n := range 2 {
		for _, h := range f.hosts {
			var group sync.WaitGroup
			for range idleConnections {
				group.Go(func() { f.status(h, "/quote/5c0e7a21d94b36f8") })
			}
			group.Wait()
		}
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			h.proxy.silence()
		}
		time.Sleep(contactTime + 200*time.Millisecond)
		current := fmt.Sprintf("/added-%d/", n)
		routes = strings.Replace(routes, former, current, 1)
		f.site.Configure(fmt.Sprintf(routes, 2+n))
		time.Sleep(applyTime + 200*time.Millisecond)
		for _, h := range f.hosts {
			must.Eq(t, http.StatusOK, f.status(h, current), must.Sprintf("entry-%d, round %d", h.number, n))
			must.Eq(t, http.StatusNotFound, f.status(h, former), must.Sprintf("entry-%d, round %d", h.number, n))
		}
		former = current
	}
	must.SliceEmpty(t, f.site.Broken())
}

// status returns the status of the answer to a GET, 0 for no answer.
func (f *fleet) status(h *entryHost, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ip+":8624"+path, nil)
	must.NoError(f.t, err)
	r.Host = "shop.example"
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}
