package basilnode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// newLoggingOwner returns an owner without a loop, which logs to the hook.
func newLoggingOwner(now time.Time) (*owner, *logtest.Hook) {
	logger, hook := logtest.NewNullLogger()
	return &owner{
		node: &Node{metrics: newMetrics(nil)}, log: logrus.NewEntry(logger), service: "stretch",
		pool: basilscheduler.New(basilscheduler.Options{Epoch: 1, Grace: 10 * time.Second}, now),
	}, hook
}

// TestWaitLinesAreLimited checks that at most maxWaitLines are chosen at a time, and a step again only after waitLogInterval or if its reason
// has changed.
func TestWaitLinesAreLimited(t *testing.T) {
	const steps = 100
	var l waitLog
	began := time.Now()
	last := make(map[int]time.Time)
	for n := range 60 {
		now := began.Add(time.Duration(n) * time.Second)
		var list []basilscheduler.Wait
		for step := range steps {
			list = append(list, basilscheduler.Wait{Task: basilwork.TaskID{Job: "j", Step: step}, Reason: basilscheduler.WaitReasonNotReachable, Expected: step > 9})
		}
		chosen := l.choose(list, now)
		must.LessEq(t, maxWaitLines, len(chosen))
		for _, w := range chosen {
			before, again := last[w.Task.Step]
			must.True(t, !again || now.Sub(before) >= waitLogInterval, must.Sprint(w.Task.Step))
			last[w.Task.Step] = now
		}
		must.LessEq(t, maxWaitLines*int(expectedWaitInterval/time.Second), len(l.logged))
	}
	changed := basilscheduler.Wait{Task: basilwork.TaskID{Job: "j"}, Reason: basilscheduler.WaitReasonOrphans}
	must.Len(t, 1, l.choose([]basilscheduler.Wait{changed}, began.Add(time.Minute)))
	must.Len(t, 0, l.choose([]basilscheduler.Wait{changed}, began.Add(time.Minute+time.Second)))
}

// TestWaitingTaskIsLogged checks the line and the metrics about a task that waits though a backend server has room, and that the metrics
// show when it doesn't any more.
func TestWaitingTaskIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // explaining takes no time there, so that it is due each time
		now := time.Now()
		o, hook := newLoggingOwner(now)
		b := basilwork.Backend{ID: "b1", Resources: basilwork.Resources{CPU: 4000, Memory: 4096}}
		o.pool.SetBackends([]basilwork.Backend{b})
		o.pool.SetRecorded(b.ID, true)
		o.pool.AddJob(basilwork.Record{Accepted: now.UnixMilli(), Job: basilwork.Job{
			ID: "j", Steps: []basilwork.Step{{Count: 2, Resources: basilwork.Resources{CPU: 1000, Memory: 512}, LongRunning: true}},
		}}, false)
		o.pool.Decide(now)
		now = now.Add(3 * time.Second)
		o.pool.Decide(now)
		o.logWaits(now)
		o.logWaits(now.Add(time.Second))
		must.Len(t, 1, hook.Entries)
		e := hook.LastEntry()
		must.Eq(t, "task waits", e.Message)
		must.Eq(t, logrus.WarnLevel, e.Level)
		must.Eq(t, logrus.Fields{
			"job": "j", "step": "j.0.0", "task": "j.0.0.0", "tasks": 2, "waited_ms": int64(3000), "reason": "not_attached",
			"backends": map[string]int{"not_attached": 1}, "position": 1, "long_running": true,
		}, e.Data)
		must.StrContains(t, shownMetrics(o), `basilstage_waiting_tasks{pool="stretch",reason="not_attached"} 2`)
		must.StrContains(t, shownMetrics(o), `basilstage_longest_wait_ms{pool="stretch",reason="not_attached"} 4000`)
		must.StrContains(t, shownMetrics(o), `basilstage_long_running_wait_ms{pool="stretch"} 4000`)

		o.pool.Attached(b.ID)
		now = now.Add(2 * time.Second)
		for _, s := range o.pool.Decide(now).Starts {
			o.pool.Started(s.Ref, basilwork.RefusalNone, true, now)
		}
		o.logWaits(now)
		must.Len(t, 1, hook.Entries)
		must.StrContains(t, shownMetrics(o), `basilstage_waiting_tasks{pool="stretch",reason="not_attached"} 0`)
	})
}

func shownMetrics(o *owner) string {
	w := httptest.NewRecorder()
	o.node.metrics.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// TestWaitForPredecessorIsLogged checks the lines about the begin and the end of the wait for backend servers of a predecessor.
func TestWaitForPredecessorIsLogged(t *testing.T) {
	now := time.Now()
	o, hook := newLoggingOwner(now)
	o.logPredecessors(now)
	must.SliceEmpty(t, hook.Entries)
	for n := range 10 {
		o.pool.AddPredecessorBackend(basilwork.Backend{ID: "b" + strconv.Itoa(n)}, time.Time{})
	}
	o.logPredecessors(now)
	must.Len(t, 1, hook.Entries)
	must.Eq(t, "waiting for backend servers of predecessor", hook.LastEntry().Message)
	must.Eq(t, 10, hook.LastEntry().Data["backends"].(int))
	must.Len(t, maxListedBackends, hook.LastEntry().Data["hosts"].([]string))
	must.Eq(t, int64(10000), hook.LastEntry().Data["ends_in_ms"].(int64))
	for n := range 9 {
		o.pool.Attached("b" + strconv.Itoa(n))
		o.logPredecessors(now.Add(time.Second))
	}
	must.Len(t, 1, hook.Entries)
	o.pool.Decide(now.Add(10 * time.Second))
	o.logPredecessors(now.Add(10 * time.Second))
	must.Len(t, 2, hook.Entries)
	must.Eq(t, "no longer waiting for backend servers of predecessor", hook.LastEntry().Message)
	must.Eq(t, []string{"b9"}, hook.LastEntry().Data["last"].([]string))
	must.Eq(t, int64(10000), hook.LastEntry().Data["waited_ms"].(int64))
}

// TestTasksFinishedByEarlierAttemptsAreLogged checks the lines about them, and that their number is limited.
func TestTasksFinishedByEarlierAttemptsAreLogged(t *testing.T) {
	o, hook := newLoggingOwner(time.Now())
	var ends []basilscheduler.EarlierEnd
	for n := range 100 {
		r := basilscheduler.Ref{Backend: "b1", Task: basilwork.TaskID{Job: "j", Index: n}, Attempt: 1}
		ends = append(ends, basilscheduler.EarlierEnd{Ref: r, Newest: 2, Live: "b2"})
	}
	o.logEarlierEnds(ends)
	must.Len(t, maxLoggedLosses, hook.Entries)
	must.Eq(t, logrus.Fields{
		"job": "j", "task": "j.0.0.0", "attempt": 1, "host": "b1", "newest_attempt": 2, "newest_host": "b2", "others": 84,
	}, hook.Entries[0].Data)
	must.StrContains(t, shownMetrics(o), "basilstage_ends_of_earlier_attempts 100")
}

// TestCostlyExplanationIsMadeLessOften checks that waits are not explained again before the time that the cost of the last time allows.
func TestCostlyExplanationIsMadeLessOften(t *testing.T) {
	now := time.Now()
	o, hook := newLoggingOwner(now)
	o.pool.AddJob(basilwork.Record{Accepted: now.UnixMilli(), Job: basilwork.Job{ID: "j", Steps: []basilwork.Step{{Count: 1}}}}, false)
	o.pool.Decide(now)
	now = now.Add(3 * time.Second)
	o.waitLog.next = now.Add(time.Millisecond)
	o.logWaits(now)
	must.SliceEmpty(t, hook.Entries)
	o.logWaits(now.Add(time.Millisecond))
	must.Len(t, 1, hook.Entries)
	must.True(t, o.waitLog.next.After(now.Add(time.Millisecond)))
}

// TestSilenceIsLoggedWithWait checks that the line about a task whose run is on a backend server that doesn't answer tells for how long, and when
// the server counts as lost.
func TestSilenceIsLoggedWithWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newLoggingOwner(time.Now())
		c := basilrunner.NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, basilrunner.Options{
			Commander: &onceAnswering{}, Sink: o, MaxLease: 6 * time.Second,
			MayStart: func() bool { return true }, MayHold: func() bool { return true },
		})
		o.ctx, o.events = t.Context(), make(chan event, eventQueueSize)
		o.connections = map[string]*connection{"b1": {Connection: c}}
		c.SetBusy(true, 1, 0)
		go c.Run(t.Context())
		time.Sleep(3 * time.Second)
		fields := make(logrus.Fields)
		o.addSilence(fields, "b1", time.Now())
		o.addSilence(fields, "b2", time.Now())
		must.Between(t, 2000, fields["silent_ms"].(int64), 3000)
		must.Between(t, 3000, fields["lost_in_ms"].(int64), 5000)
	})
}

// onceAnswering is a backend server that answers one hold.
type onceAnswering struct {
	basilwork.Commander
	holds int
}

func (a *onceAnswering) Hold(context.Context, basilwork.Backend, basilwork.HoldOrder) (basilwork.Report, error) {
	if a.holds++; a.holds > 1 {
		return basilwork.Report{}, basilwork.ErrNoAnswer{Cause: context.DeadlineExceeded}
	}
	return basilwork.Report{StartedAt: 1, Clock: 1}, nil
}
