package basilsoak_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/platform/basilfake"
)

const (
	oneTask  = `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":16}]}`
	wideTask = `{"spec":"x","steps":[{"count":2,"cpu":10000,"mem_mb":16}]}`
	twoTasks = `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":16},{"count":1,"cpu":100,"mem_mb":16,"after":[0]}]}`
	checkID  = "00000000000000aa"

	startPath = "/api/run-start"
	movePath  = "/api/machine-move"

	failing = 50 // attempts from this on fail
	endless = 60 // attempts from this on run until they are stopped
)

// checkedWork is the work of the runs in TestChecksCatchFaults.
func checkedWork(_ string, attempt int) (time.Duration, bool) {
	if attempt >= endless {
		return -1, false
	}
	return 100 * time.Millisecond, attempt >= failing
}

// order makes a call to a backend server or the host API, as an entry host at fault would.
func order(t *testing.T, n *basilstandin.Network, address, path, body string, header http.Header) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
	must.NoError(t, err)
	r.Header = header
	answer, err := n.Client().Do(r)
	must.NoError(t, err)
	must.NoError(t, answer.Body.Close())
}

// TestChecksCatchFaults has each check of a soak find a fault that is made on purpose.
func TestChecksCatchFaults(t *testing.T) {
	const a, b = "host-1:1", "host-2:1"
	start := func(task string, attempt int) string {
		return fmt.Sprintf(`{"task":%q,"attempt":%d,"spec":"x","deadline_ms":100000,"fencing_token":1}`, task, attempt)
	}
	first, second := checkID+".0.0.0", checkID+".0.1.0"
	move := func(t *testing.T, n *basilstandin.Network, machine, holder string, fence int) {
		order(t, n, basilfake.MachinesAddress, movePath, fmt.Sprintf(`{"machine":%q,"pool":"stretch"}`, machine),
			http.Header{"X-Lease-Holder": {holder}, "X-Fencing-Token": {fmt.Sprint(fence)}})
		time.Sleep(1600 * time.Millisecond)
	}
	cases := map[string]struct {
		job   string
		fault func(t *testing.T, n *basilstandin.Network, s *basilfake.Site)
		finds string
	}{
		"two runs of a task": {oneTask, func(t *testing.T, n *basilstandin.Network, _ *basilfake.Site) {
			order(t, n, a, startPath, start(first, 1), nil)
			order(t, n, b, startPath, start(first, 2), nil)
		}, "runs twice at a time"},
		"a task that nobody handed in": {"", func(t *testing.T, n *basilstandin.Network, _ *basilfake.Site) {
			order(t, n, a, startPath, start(first, 1), nil)
		}, "was never submitted"},
		"a step before the one that it follows": {twoTasks, func(t *testing.T, n *basilstandin.Network, _ *basilfake.Site) {
			order(t, n, a, startPath, start(second, 1), nil)
		}, "is done"},
		"a start after the end was acknowledged": {oneTask, func(t *testing.T, n *basilstandin.Network, _ *basilfake.Site) {
			order(t, n, a, startPath, start(first, 1), nil)
			time.Sleep(300 * time.Millisecond)
			order(t, n, a, "/api/hold", `{"fencing_token":1,"ack_cursor":1}`, nil)
			order(t, n, b, startPath, start(first, 2), nil)
		}, "after its end was acknowledged"},
		"a start long after the cancelling": {oneTask, func(t *testing.T, n *basilstandin.Network, s *basilfake.Site) {
			s.Cancelled(checkID)
			time.Sleep(3100 * time.Millisecond)
			order(t, n, a, startPath, start(first, 1), nil)
		}, "after its job was cancelled"},
		"a start on a backend server that is leaving": {oneTask, func(t *testing.T, n *basilstandin.Network, s *basilfake.Site) {
			s.Drain(s.Backends("stretch")[0], 4*time.Second, 8*time.Second)
			time.Sleep(2100 * time.Millisecond)
			order(t, n, a, startPath, start(first, 1), nil)
		}, "said that it is leaving"},
		"two holders of one host": {oneTask, func(t *testing.T, n *basilstandin.Network, s *basilfake.Site) {
			machine := s.Machines("spare")[0]
			move(t, n, machine, "entry-1", 1)
			move(t, n, machine, "entry-2", 2)
		}, "after one of"},
		"an order for a host with an older fence": {oneTask, func(t *testing.T, n *basilstandin.Network, s *basilfake.Site) {
			machine := s.Machines("spare")[0]
			move(t, n, machine, "entry-1", 2)
			move(t, n, machine, "entry-1", 1)
		}, "with fence 1 of entry-1 after 2"},
		"an order for a host that ends a long-running task": {oneTask, func(t *testing.T, n *basilstandin.Network, s *basilfake.Site) {
			order(t, n, a, startPath, start(first, endless), nil)
			move(t, n, s.Machines("stretch")[0], "entry-1", 1)
		}, "ends " + first},
		"a start after too many failed attempts": {oneTask, func(t *testing.T, n *basilstandin.Network, _ *basilfake.Site) {
			for try := range 4 {
				order(t, n, a, startPath, start(first, failing+try), nil)
				time.Sleep(300 * time.Millisecond)
				order(t, n, a, "/api/hold", fmt.Sprintf(`{"fencing_token":1,"ack_cursor":%d}`, try+1), nil)
			}
		}, "starts after 3 failed attempts"},
		"starts of a task that crashes its backend servers": {oneTask, func(t *testing.T, n *basilstandin.Network, s *basilfake.Site) {
			s.SetCrashes(func(string, int) (basilfake.Outage, bool) {
				return basilfake.Outage{After: 50 * time.Millisecond, For: 200 * time.Millisecond, SameID: true}, true
			})
			for try := range 6 {
				order(t, n, a, startPath, start(first, try+1), nil)
				time.Sleep(500 * time.Millisecond)
			}
		}, "after 5 backend servers have crashed under it"},
		"a start over the capacity": {wideTask, func(t *testing.T, n *basilstandin.Network, s *basilfake.Site) {
			s.SetUnguarded("stretch")
			order(t, n, a, startPath, start(first, 1), nil)
			order(t, n, a, startPath, start(checkID+".0.0.1", 1), nil)
		}, "over its capacity"},
		"a job that is shown as failed without cause": {oneTask, func(_ *testing.T, _ *basilstandin.Network, s *basilfake.Site) {
			s.Shown(checkID, "failed")
		}, "without cause"},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &basilstandin.Network{}
				s := basilfake.NewSite(n, checkedWork)
				s.AddPool("stretch", 2, 16000, 65536, false)
				s.AddPool("spare", 1, 16000, 65536, true)
				if x.job != "" {
					s.Submitted(checkID, x.job, 3)
				}
				x.fault(t, n, s)
				broken := s.Broken()
				must.Len(t, 1, broken)
				must.StrContains(t, broken[0], x.finds)
				s.Close()
				time.Sleep(20 * time.Second) // what the site has under way ends
			})
		})
	}
}

// TestOutcomesCatchFaults has what callers were told compared with entry hosts that lose what they accepted, and run what they
// refused.
func TestOutcomesCatchFaults(t *testing.T) {
	network := &loopback{part: claimPart(t)}
	defer network.close()
	ip := fmt.Sprintf("127.%d.2.1", network.part)
	s := &soak{
		fleet:  &fleet{t: t, site: basilfake.NewSite(network, nil), hosts: []*entryHost{{ip: ip}}},
		client: http.DefaultClient, latency: hdrhistogram.New(1, 10_000, 2), random: newRandom(1),
		answers: map[string]int{"1": http.StatusOK, "2": http.StatusServiceUnavailable, "3": http.StatusOK, "4": 0, "5": http.StatusOK, "11": http.StatusOK, "21": http.StatusOK},
		cancels: map[string]int{"5": http.StatusGone, "11": 0, "21": http.StatusOK},
	}
	network.Listen(ip+":8624", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "1") {
			w.WriteHeader(http.StatusGone)
			return
		}
		_, _ = w.Write([]byte(`{"state":"active"}`))
	}))
	must.Eq(t, []string{
		"0 of 3 long-running tasks run", "1 was accepted and is 410 ", "2 was refused and is 200 active", "21 was accepted and is 410 ", "3 was accepted and is 200 active",
		"5 was cancelled before it was stored and is 200 active",
	}, s.wrong())
}

// TestMovedLongRunningTask has a long-running task away for a while after all else has settled.
func TestMovedLongRunningTask(t *testing.T) {
	cases := map[string]struct {
		running int           // long-running tasks that run at first
		back    time.Duration // until the last one starts, 0 for never
		wrong   []string
	}{
		"a move":                   {longTasks - 1, 2 * time.Second, nil},
		"a task that stays away":   {longTasks - 1, 0, []string{"2 of 3 long-running tasks run"}},
		"a task away for too long": {longTasks - 1, 4 * time.Second, []string{"2 of 3 long-running tasks run"}},
		"two tasks away":           {longTasks - 2, 100 * time.Millisecond, []string{"1 of 3 long-running tasks run"}},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &basilstandin.Network{}
				s := &soak{fleet: &fleet{t: t, site: basilfake.NewSite(n, func(string, int) (time.Duration, bool) { return -1, false })}}
				s.site.AddPool("stretch", longTasks, 16000, 65536, false)
				s.site.Submitted(longID, longBody, 3)
				start := func(index int) {
					order(t, n, fmt.Sprintf("host-%d:1", index+1), startPath,
						fmt.Sprintf(`{"task":"%s.0.0.%d","attempt":1,"spec":"night","deadline_ms":100000,"fencing_token":1}`, longID, index), nil)
				}
				for index := range x.running {
					start(index)
				}
				if x.back > 0 {
					go func() {
						time.Sleep(x.back)
						start(longTasks - 1)
					}()
				}
				must.Eq(t, x.wrong, s.wrongMoves())
				time.Sleep(x.back)
				s.site.Close()
				time.Sleep(20 * time.Second) // what the site has under way ends
			})
		})
	}
}
