package basilnode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// startOrders returns how many orders to start a task all entry hosts have sent so far.
func (c *cluster) startOrders() int64 {
	var count int64
	for _, h := range c.hosts {
		count += h.client.Calls()["/api/run-start"].Made
	}
	return count
}

// TestShortSilenceOfBackendServerRestartsNothing checks that no task is restarted elsewhere or given up when backend
// servers with running tasks don't answer for a short time.
func TestShortSilenceOfBackendServerRestartsNothing(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			run(t, 2, 4, constant(9*time.Second), func(c *cluster) {
				slow := strings.ReplaceAll(twoSteps, `"estimate_ms":500`, `"estimate_ms":9000`)
				must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), slow))
				must.Eq(c.t, http.StatusOK, c.submit("entry-2", longPrefix, longRunningID, longRunningJob))
				time.Sleep(1500 * time.Millisecond)
				before := c.startOrders()
				for _, b := range c.site.Backends("stretch") {
					c.site.SetFaults(b, basilfake.BackendFaults{Silent: true})
					time.AfterFunc(silence, func() { c.site.SetFaults(b, basilfake.BackendFaults{}) })
				}
				time.Sleep(silence)
				time.Sleep(2500 * time.Millisecond)
				must.Eq(c.t, before, c.startOrders())
				must.Eq(c.t, 3, c.site.Running(longRunningID))
				c.await(quotePrefix, jobID(1), "completed", 24*time.Second)
			})
		})
	}
}

// TestLeavingBackendServerIsNotUsedAfterRestart checks that after a restart of all entry hosts no task is started on a
// backend server that is leaving or whose entry is gone.
func TestLeavingBackendServerIsNotUsedAfterRestart(t *testing.T) {
	run(t, 2, 4, constant(300*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 4*time.Second)
		list := c.site.Backends("stretch")
		c.site.Drain(list[0], time.Minute, time.Minute)
		c.site.Crash(list[1], time.Minute)
		time.Sleep(6 * time.Second) // until its entry is gone
		for _, name := range []string{"entry-1", "entry-2"} {
			c.kill(name)
		}
		for _, name := range []string{"entry-1", "entry-2"} {
			c.start(name)
		}
		time.Sleep(4 * time.Second)
		for n := range 12 {
			must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(10+n), twoSteps))
			time.Sleep(100 * time.Millisecond)
			must.Eq(c.t, 0, c.site.RunsOn(list[0])+c.site.RunsOn(list[1]), must.Sprint(n))
		}
	})
}

// TestMalformedMessagesDoNotCrash checks that malformed messages of callers, backend servers, hosts and other entry hosts
// don't crash an entry host.
func TestMalformedMessagesDoNotCrash(t *testing.T) {
	malformed := []string{"", "{", "null", "[]", "7", `"x"`, "\x00\xff", `{"steps":[null]}`, `{"steps":[{"count":-1}]}`, strings.Repeat("[", 20000)}
	run(t, 2, 3, constant(300*time.Millisecond), func(c *cluster) {
		for n, body := range malformed {
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete, "BREW"} {
				c.call("entry-1", method, quotePrefix+jobID(500+n), body)
				c.call("entry-1", method, quotePrefix+"no-id", body)
			}
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+peerAddress(c.owner("stretch"))+"/accept?service=stretch", strings.NewReader(body))
			must.NoError(c.t, err)
			answer, err := c.network.Client().Do(r)
			must.NoError(c.t, err)
			must.Eq(c.t, http.StatusMisdirectedRequest, answer.StatusCode)
			c.site.Store.Put("servers", fmt.Sprintf("wrong-%d", n), "bm90IGpzb24=")
			c.site.Store.Put("op", fmt.Sprintf("unknown/%d", n), "bnVsbA==")
		}
		c.network.Listen("wrong:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(malformed[1])) }))
		time.Sleep(2 * time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 5*time.Second)
	})
}
