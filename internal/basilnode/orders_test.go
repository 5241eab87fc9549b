package basilnode

import (
	"strconv"
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

// sender is an owner whose orders are answered when release is closed, and what became of them.
type sender struct {
	owner
	release chan struct{}
	sent    []string
	held    []withdrawal
}

func newSender() *sender {
	s := &sender{release: make(chan struct{})}
	s.log = logrus.NewEntry(basillog.Discard())
	s.orders.current = func() bool { return true }
	s.orders.withdraw = func(list []withdrawn) {
		for _, w := range list {
			s.held = append(s.held, w.reason)
		}
	}
	return s
}

func (s *sender) queue(job string, index int, gang bool) {
	s.orders.putStarts([]waitingStart{s.waiting(job, index, gang)})
}

// waiting returns a start that is answered when release is closed.
func (s *sender) waiting(job string, index int, gang bool) waitingStart {
	id := basilwork.TaskID{Job: job, Index: index}
	start := basilscheduler.Start{Ref: basilscheduler.Ref{Backend: job, Task: id, Attempt: 1}, Gang: gang}
	return waitingStart{Start: start, decided: time.Now(), send: func() {
		s.orders.mutex.Lock()
		s.sent = append(s.sent, id.String())
		s.orders.mutex.Unlock()
		<-s.release
	}}
}

// fill takes all places but as many as are to be left.
func (s *sender) fill(left int) {
	for n := range ordersAtOnce - left {
		s.orders.put(strconv.Itoa(n), func() { <-s.release })
	}
}

// TestCancellingHoldsBeforeItIsTakenIn sends nothing of a job once its cancelling was read, however long the control
// goroutine is busy.
func TestCancellingHoldsBeforeItIsTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSender()
		s.fill(0)
		s.queue("a", 0, false)
		s.decode([]basilplatform.Item{{Key: basilplatform.Key{Sort: "a"}, Body: []byte(`{"State":4}`)}})
		close(s.release)
		synctest.Wait()
		must.SliceEmpty(t, s.sent)
		must.Eq(t, []withdrawal{withdrawalCancelled}, s.held)
	})
}

// TestGangIsSentWholeOrNot sends the other members of a gang late rather than leave the first alone.
func TestGangIsSentWholeOrNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSender()
		s.fill(1)
		for n := range 3 {
			s.queue("a", n, true)
		}
		s.queue("b", 0, true)
		s.queue("b", 1, true)
		time.Sleep(2 * startAge)
		close(s.release)
		synctest.Wait()
		must.Len(t, 3, s.sent)
		must.Eq(t, []withdrawal{withdrawalLate, withdrawalLate}, s.held)
	})
}

// TestSilentBackendServerHoldsUpNoOthers sends to others what is decided while many orders wait for a silent one.
func TestSilentBackendServerHoldsUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSender()
		for n := range 2 * ordersAtOnce {
			s.queue("silent", n, false)
		}
		s.queue("well", 0, false)
		synctest.Wait()
		must.SliceContains(t, s.sent, "well.0.0.0")
		must.Len(t, basilrunner.OrdersAtOnce+1, s.sent)
		time.Sleep(2 * startAge)
		close(s.release)
		synctest.Wait()
		must.Len(t, 2*ordersAtOnce-basilrunner.OrdersAtOnce, s.held)
		must.True(t, s.orders.idle())
	})
}

// TestGangIsNotSentInPart sends a gang whole that was decided at once, though the owner gives up its shard when the
// first member is sent.
func TestGangIsNotSentInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSender()
		close(s.release)
		first := s.waiting("a", 0, true)
		send := first.send
		first.send = func() {
			s.orders.stop()
			send()
		}
		s.orders.putStarts([]waitingStart{first, s.waiting("a", 1, true)})
		synctest.Wait()
		must.Len(t, 2, s.sent)
		must.SliceEmpty(t, s.held)
	})
}
