package basilnode

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// blockedOwner is an owner whose orders are answered only once release is closed. It records what was sent and withdrawn.
type blockedOwner struct {
	owner
	release   chan struct{}
	sent      []string
	withdrawn []withdrawal
}

func newBlockedOwner() *blockedOwner {
	s := &blockedOwner{release: make(chan struct{})}
	s.log = logrus.NewEntry(basillog.Discard())
	s.orders.fresh = func() bool { return true }
	s.orders.withdraw = func(list []withdrawnStart) {
		for _, w := range list {
			s.withdrawn = append(s.withdrawn, w.reason)
		}
	}
	return s
}

func (s *blockedOwner) queueStart(job string, index int, gang bool) {
	s.orders.putStarts([]queuedStart{s.blockedStart(job, index, gang)})
}

// queueStop queues the stop of a run.
func (s *blockedOwner) queueStop(backend string, index int, send func() (answered bool)) {
	ref := basilscheduler.Ref{Backend: backend, Task: basilwork.TaskID{Job: "a", Index: index}, Attempt: 1}
	s.orders.put(order{Ref: ref, queuedAt: time.Now(), send: func(time.Duration) bool { return send() }})
}

// blockedStart returns a start that is answered once release is closed.
func (s *blockedOwner) blockedStart(job string, index int, gang bool) queuedStart {
	id := basilwork.TaskID{Job: job, Index: index}
	start := basilscheduler.Start{Ref: basilscheduler.Ref{Backend: job, Task: id, Attempt: 1}, Gang: gang}
	return queuedStart{Start: start, decided: time.Now(), send: func() bool {
		s.orders.mutex.Lock()
		s.sent = append(s.sent, id.String())
		s.orders.mutex.Unlock()
		<-s.release
		return true
	}}
}

// fillSlots occupies all slots for orders in flight except the given number.
func (s *blockedOwner) fillSlots(left int) {
	for n := range maxOrdersInFlight - left {
		s.queueStop(strconv.Itoa(n), n, func() bool {
			<-s.release
			return true
		})
	}
}

// TestCancelledJobIsNotStarted checks that no start of a job is sent after its cancellation was read, even while the
// control goroutine is too busy to handle it.
func TestCancelledJobIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		s.fillSlots(0)
		s.queueStart("a", 0, false)
		s.decodeJobs([]basilplatform.Item{{Key: basilplatform.Key{Sort: "a"}, Body: []byte(`{"State":4}`)}})
		close(s.release)
		synctest.Wait()
		must.SliceEmpty(t, s.sent)
		must.Eq(t, []withdrawal{withdrawalCancelled}, s.withdrawn)
	})
}

// TestLateGangIsSentWholeOrNotAtAll checks that the rest of a gang is sent however late once one of its starts was sent,
// and that a gang of which nothing was sent is withdrawn as a whole.
func TestLateGangIsSentWholeOrNotAtAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		s.fillSlots(1)
		for n := range 3 {
			s.queueStart("a", n, true)
		}
		s.queueStart("b", 0, true)
		s.queueStart("b", 1, true)
		time.Sleep(2 * maxStartAge)
		close(s.release)
		synctest.Wait()
		must.Len(t, 3, s.sent)
		must.Eq(t, []withdrawal{withdrawalLate, withdrawalLate}, s.withdrawn)
	})
}

// TestSilentBackendDoesNotBlockOthers checks that a start is sent to a working backend server while many orders wait for a
// silent one.
func TestSilentBackendDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		for n := range 2 * maxOrdersInFlight {
			s.queueStart("silent", n, false)
		}
		s.queueStart("well", 0, false)
		synctest.Wait()
		must.SliceContains(t, s.sent, "well.0.0.0")
		must.Len(t, basilrunner.MaxConcurrentOrders+1, s.sent)
		time.Sleep(2 * maxStartAge)
		close(s.release)
		synctest.Wait()
		must.Len(t, 2*maxOrdersInFlight-basilrunner.MaxConcurrentOrders, s.withdrawn)
		must.True(t, s.orders.idle())
	})
}

// TestSilentBackendsDoNotDelayStops replays stops that are repeated for many runs on backend servers that answer nothing.
// A stop on a working one must be sent within the time limit of one order, and each run has one stop waiting at most.
func TestSilentBackendsDoNotDelayStops(t *testing.T) {
	const (
		silent      = 30
		runs        = 20
		repetitions = 8
		interval    = 500 * time.Millisecond
		timeLimit   = 900 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		var delays []time.Duration // of the stops on the working backend server
		var queued int
		for i := range repetitions {
			for n := range silent * runs {
				s.queueStop(strconv.Itoa(n%silent), n, func() bool {
					time.Sleep(timeLimit)
					return false
				})
			}
			queuedAt := time.Now()
			s.queueStop("working", i, func() bool {
				s.orders.mutex.Lock()
				defer s.orders.mutex.Unlock()
				delays = append(delays, time.Since(queuedAt))
				return true
			})
			time.Sleep(interval)
			queued = max(queued, s.orders.queued())
		}
		time.Sleep(time.Hour)
		must.True(t, s.orders.idle())
		must.Len(t, repetitions, delays)
		must.LessEq(t, timeLimit, slices.Max(delays))
		must.LessEq(t, silent*runs+repetitions, queued)
	})
}

// TestStopsFollowReportOfSilentBackend checks that the stops that wait for a silent backend server are sent once a report shows that it
// answers again, however many others stay silent.
func TestStopsFollowReportOfSilentBackend(t *testing.T) {
	const (
		silent    = 60
		late      = silent - 1 // the one that answers again
		timeLimit = 900 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		var again atomic.Bool
		var sentAt time.Time
		for n := range silent {
			for i := range 12 {
				s.queueStop(strconv.Itoa(n), i, func() bool {
					if n == late && again.Load() {
						s.orders.mutex.Lock()
						defer s.orders.mutex.Unlock()
						sentAt = time.Now()
						return true
					}
					time.Sleep(timeLimit)
					return false
				})
			}
		}
		time.Sleep(6 * timeLimit)
		again.Store(true)
		s.orders.answered(strconv.Itoa(late))
		answeredAt := time.Now()
		time.Sleep(time.Hour)
		must.True(t, s.orders.idle())
		must.LessEq(t, timeLimit, sentAt.Sub(answeredAt))
	})
}

// TestLostAnswersDoNotDelayStops replays stops to backend servers that leave half of the orders unanswered. They are working, so that
// each stop must be sent within two time limits of an order.
func TestLostAnswersDoNotDelayStops(t *testing.T) {
	const (
		backends  = 100
		runs      = 8
		timeout   = 200 * time.Millisecond
		timeLimit = 900 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		random := rand.New(rand.NewPCG(1, 1))
		began := time.Now()
		var latest time.Duration
		for n := range backends * runs {
			lost := random.IntN(2) == 0
			s.queueStop(strconv.Itoa(n%backends), n, func() bool {
				s.orders.mutex.Lock()
				latest = max(latest, time.Since(began))
				s.orders.mutex.Unlock()
				if lost {
					time.Sleep(timeout)
				}
				return !lost
			})
		}
		time.Sleep(time.Hour)
		must.True(t, s.orders.idle())
		must.LessEq(t, 2*timeLimit, latest)
	})
}

// TestUnansweredStartsDoNotDelayStops checks that a stop is sent at once while as many starts wait for their answers as may.
func TestUnansweredStartsDoNotDelayStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		for n := range 2 * maxOrdersInFlight {
			s.queueStart(strconv.Itoa(n), 0, false)
		}
		synctest.Wait()
		var stopped bool
		s.queueStop("working", 0, func() bool {
			stopped = true
			return true
		})
		synctest.Wait()
		must.True(t, stopped)
		close(s.release)
		synctest.Wait()
		must.True(t, s.orders.idle())
	})
}

// TestStartsToLostBackendsLeaveNoRecords checks that a start that is sent after the connection to its backend server was closed leaves
// no record of the server, as nothing would remove it.
func TestStartsToLostBackendsLeaveNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		for n := range maxOrdersInFlight {
			s.queueStart(strconv.Itoa(n), 0, false)
			s.orders.drop(strconv.Itoa(n))
		}
		synctest.Wait()
		close(s.release)
		synctest.Wait()
		must.True(t, s.orders.idle())
		must.MapEmpty(t, s.orders.backends)
	})
}

// TestStopDoesNotSplitGang checks that a gang is sent as a whole if the owner gives up its shard while the first start
// of the gang is being sent.
func TestStopDoesNotSplitGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		close(s.release)
		first := s.blockedStart("a", 0, true)
		send := first.send
		first.send = func() bool {
			s.orders.stop()
			return send()
		}
		s.orders.putStarts([]queuedStart{first, s.blockedStart("a", 1, true)})
		synctest.Wait()
		must.Len(t, 2, s.sent)
		must.SliceEmpty(t, s.withdrawn)
	})
}

// TestStopDropsRepeatedStart checks that a start that waits to be sent again is dropped once its run is to be stopped.
func TestStopDropsRepeatedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlockedOwner()
		for n := range basilrunner.MaxConcurrentOrders {
			s.queueStart("a", n+1, false)
		}
		again := s.blockedStart("a", 0, false)
		again.Repeats = 1
		s.orders.putStarts([]queuedStart{again})
		s.queueStop("a", 0, func() bool { return true })
		close(s.release)
		synctest.Wait()
		must.Len(t, basilrunner.MaxConcurrentOrders, s.sent)
		must.SliceNotContains(t, s.sent, again.Task.String())
		must.SliceEmpty(t, s.withdrawn)
	})
}
