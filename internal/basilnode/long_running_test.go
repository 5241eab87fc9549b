package basilnode_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	serving        = `{"spec":"night","steps":[{"count":12,"cpu":2000,"mem_mb":512,"long_running":true,"anti_affinity":2}]}`
	longestAbsence = 9 * time.Second // of a long-running task with room: 6 s after its last run, and 3 s more
)

// absence is a time in which a task had no run.
type absence struct {
	task     string
	from, to time.Time
}

// absences returns when tasks of the job had no run, from their first run to now.
func (c *cluster) absences(job string) []absence {
	var list []absence
	last := make(map[string]time.Time) // until when each task has had a run; the zero time for tasks that run
	for _, r := range c.site.Runs() {
		if !strings.HasPrefix(r.Task, job) {
			continue
		}
		if ended, known := last[r.Task]; known {
			list = append(list, absence{r.Task, ended, r.Started})
		}
		last[r.Task] = r.Ended
	}
	for task, ended := range last {
		if !ended.IsZero() {
			list = append(list, absence{task, ended, time.Now()})
		}
	}
	return list
}

// failingOnce returns work whose long-running tasks fail once, after times that differ.
func failingOnce(after, apart time.Duration) basilfake.Work {
	return func(task string, attempt int) (time.Duration, bool) {
		if attempt > 1 {
			return -1, false
		}
		index := 0
		_, _ = fmt.Sscanf(task[strings.LastIndexByte(task, '.')+1:], "%d", &index)
		return after + time.Duration(index)*apart, true
	}
}

// TestLongRunningTasksRunAgainThoughOwnersChange replays owners that are killed again and again while some backend servers are gone for good:
// tasks whose runs ended stood still for as long as no owner lasted for a whole lease.
func TestLongRunningTasksRunAgainThoughOwnersChange(t *testing.T) {
	for _, lasts := range []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second} {
		t.Run(lasts.String(), func(t *testing.T) {
			run(t, 4, 12, failingOnce(6*time.Second, 2500*time.Millisecond), func(c *cluster) {
				must.Eq(t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, serving))
				time.Sleep(4 * time.Second)
				for _, b := range c.site.Backends("stretch")[:2] {
					c.site.Crash(b, time.Hour)
				}
				for range int(36 * time.Second / lasts) {
					name := c.owner("stretch")
					c.kill(name)
					time.Sleep(500 * time.Millisecond)
					c.start(name)
					time.Sleep(lasts - 500*time.Millisecond)
				}
				for _, a := range c.absences(longRunningID) {
					must.LessEq(t, longestAbsence, a.to.Sub(a.from), must.Sprint(a.task, " from ", a.from.Sub(c.began)))
				}
			})
		})
	}
}

// TestHandOverDoesNotProlongWaitForSilentBackend replays a pool that is handed over while its owner waits for a backend server that is gone.
func TestHandOverDoesNotProlongWaitForSilentBackend(t *testing.T) {
	run(t, 3, 8, failingOnce(9*time.Second, 100*time.Millisecond), func(c *cluster) {
		must.Eq(t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, serving))
		time.Sleep(8 * time.Second)
		c.site.Crash(c.site.Backends("stretch")[0], time.Hour)
		c.kill(c.owner("stretch"))
		for range 3 {
			time.Sleep(5 * time.Second)
			c.stop(c.owner("stretch"))
			c.start(fmt.Sprintf("entry-%d", c.starts+1))
		}
		list := c.absences(longRunningID)
		longest := slices.MaxFunc(list, func(a, b absence) int { return int(a.to.Sub(a.from) - b.to.Sub(b.from)) })
		must.LessEq(t, longestAbsence, longest.to.Sub(longest.from), must.Sprint(longest.task, " from ", longest.from.Sub(c.began)))
	})
}

// TestLongRunningTasksRunAgainThoughBackendsGrantLongLeases replays a backend server that is gone for good on a deployment that allows leases of 10 s:
// its tasks ran again only when such a lease had passed.
func TestLongRunningTasksRunAgainThoughBackendsGrantLongLeases(t *testing.T) {
	run(t, 2, 12, constant(time.Second), func(c *cluster) {
		c.maxHold = 10 * time.Second
		for _, name := range []string{"entry-1", "entry-2"} {
			c.stop(name)
			c.start(name)
		}
		time.Sleep(2 * time.Second)
		must.Eq(t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, serving))
		time.Sleep(4 * time.Second)
		c.site.Crash(c.site.Backends("stretch")[0], time.Hour)
		time.Sleep(14 * time.Second)
		list := c.absences(longRunningID)
		must.SliceNotEmpty(t, list)
		for _, a := range list {
			must.LessEq(t, longestAbsence, a.to.Sub(a.from), must.Sprint(a.task))
		}
	})
}
