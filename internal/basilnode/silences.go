package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilwork"
)

// silenceDelay is how long an owner waits for the first answer of a backend server before it stores the server as silent: longer than the
// longest time-out of an answer.
const silenceDelay = time.Second

// silenceInterval is the minimum time between writes of servers that have fallen silent: while answers get lost, many fall silent for a moment.
const silenceInterval = 250 * time.Millisecond

// silence is what a successor needs to know of a backend server that does not answer.
type silence struct {
	Epoch int64 `json:"silent_epoch,omitempty"` // of the first owner that did not hear from it any more; 0 if it isn't silent
	Until int64 `json:"silent_until,omitempty"` // when its leases have run out, in milliseconds on the store's clock
}

// newSilence returns the silence of a backend server whose leases have run out in the given time, or none without a reading of the store's
// clock.
func newSilence(clock *basilwork.StoreClock, epoch int64, left time.Duration) silence {
	_, latest, ok := clock.Bounds()
	if !ok {
		return silence{}
	}
	return silence{Epoch: epoch, Until: (latest + left + time.Millisecond).Milliseconds()}
}

// left returns in what time the leases have run out at the latest. ok is false if that isn't known: owners from the epoch since on have kept
// the silences in their rows, and earlier ones may have used the backend server without removing its silence.
func (s silence) left(clock *basilwork.StoreClock, since int64) (left time.Duration, ok bool) {
	earliest, _, known := clock.Bounds()
	if !known || s.Epoch == 0 || s.Epoch < since {
		return 0, false
	}
	return max(0, time.Duration(s.Until)*time.Millisecond-earliest), true
}

// recordSilences stores which backend servers do not answer, so that the next owner waits for them only until the leases have run out that were
// granted before. It returns the time until it has to be called, or 0.
func (o *owner) recordSilences(now time.Time) time.Duration {
	if wait := o.silenceAt.Sub(now); wait > 0 {
		return wait
	}
	inherited := 0
	for id, until := range o.pool.SilentPredecessorBackends() {
		if o.recordSilence(id, until, now) {
			inherited++
		}
	}
	fallen := 0
	for id := range o.fallenSilent {
		if o.suspendSilent(id, now) {
			fallen++
		}
	}
	if inherited+fallen == 0 {
		return 0
	}
	o.silenceAt = now.Add(silenceInterval)
	o.log.WithFields(logrus.Fields{"predecessors": inherited, "fallen_silent": fallen}).Info("recording silent backend servers")
	o.recordBackends()
	return silenceInterval
}

// recordSilence has the silence of a backend server stored, unless one is. It returns false without a reading of the store's clock, too.
func (o *owner) recordSilence(id string, until, now time.Time) bool {
	if o.records.silences[id] != (silence{}) {
		return false
	}
	s := newSilence(o.node.options.StoreClock, o.row.Epoch, until.Sub(now))
	if s == (silence{}) {
		return false
	}
	o.records.silences[id] = s
	return true
}

// noteFallenSilent notes a backend server that has stopped answering, whose silence is stored next.
func (o *owner) noteFallenSilent(id string) {
	if o.fallenSilent == nil {
		o.fallenSilent = make(map[string]bool)
	}
	o.fallenSilent[id] = true
}

// suspendSilent has the silence of a backend server stored that has answered this owner before. Renewals without an answer have ended by then,
// so leases there only wait longer for one if the server answers again.
func (o *owner) suspendSilent(id string, now time.Time) bool {
	l := o.connections[id]
	if l == nil {
		delete(o.fallenSilent, id)
		return false
	}
	until, silent := l.SuspendSilent()
	recorded := silent && o.recordSilence(id, until, now)
	if recorded || !silent {
		delete(o.fallenSilent, id)
	}
	return recorded
}

// addPredecessor adds a backend server of the previous owner to the pool, unless its leases have run out, and connects to it.
func (o *owner) addPredecessor(b basilwork.Backend) (expired bool) {
	s := o.records.rows[b.ID].silence
	left, known := s.left(o.node.options.StoreClock, o.row.Since)
	var until time.Time
	if known {
		until = time.Now().Add(left) // read after the store's clock, so that a pause between the two doesn't shorten the wait
		o.records.silences[b.ID] = s
	}
	if known && left == 0 {
		return true
	}
	o.pool.AddPredecessorBackend(b, until)
	if tasks, listed := o.records.rows[b.ID].tasks(); listed {
		o.pool.SetPredecessorRuns(b.ID, tasks)
	}
	o.openConnection(b)
	return false
}

// logSilences logs what the rows tell about silent backend servers.
func (o *owner) logSilences(expired int) {
	if len(o.records.silences) > 0 {
		o.log.WithFields(logrus.Fields{"backends": len(o.records.silences) - expired, "expired": expired}).Info("silent backend servers of former owners")
	}
}

// heard removes the silence of a backend server that has answered, or is gone.
func (o *owner) heard(id string) {
	delete(o.fallenSilent, id)
	if _, silent := o.records.silences[id]; silent {
		delete(o.records.silences, id)
		o.recordBackends()
	}
}
