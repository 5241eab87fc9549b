package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilwork"
)

// silenceDelay is how long an owner waits for the first answer of a backend server before it stores the server as silent: longer than the
// longest time-out of an answer.
const silenceDelay = time.Second

// silence is what a successor needs to know of a backend server that no owner has heard from since a change of owner.
type silence struct {
	Epoch int64 `json:"silent_epoch,omitempty"` // of the first owner that did not hear from it; 0 if it isn't silent
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

// recordSilences stores which backend servers have not answered this owner, so that the wait for them does not begin anew with the next one.
// It returns the time until it has to be called, or 0.
func (o *owner) recordSilences(now time.Time) time.Duration {
	if wait := o.silenceAt.Sub(now); wait > 0 {
		return wait
	}
	found := 0
	for id, until := range o.pool.SilentPredecessorBackends() {
		if o.records.silences[id] != (silence{}) {
			continue
		}
		if s := newSilence(o.node.options.StoreClock, o.row.Epoch, until.Sub(now)); s != (silence{}) {
			o.records.silences[id] = s
			found++
		}
	}
	if found > 0 {
		o.log.WithField("backends", found).Info("recording silent backend servers of predecessor")
		o.recordBackends()
	}
	return 0
}

// addPredecessor adds a backend server of the previous owner to the pool, unless its leases have run out, and connects to it.
func (o *owner) addPredecessor(b basilwork.Backend, now time.Time) (expired bool) {
	s := o.records.rows[b.ID].silence
	left, known := s.left(o.node.options.StoreClock, o.row.Since)
	if known && left == 0 {
		return true
	}
	var until time.Time
	if known {
		until = now.Add(left)
		o.records.silences[b.ID] = s
	}
	o.pool.AddPredecessorBackend(b, until)
	o.openConnection(b)
	return false
}

// logSilences logs what the rows tell about silent backend servers.
func (o *owner) logSilences(expired int) {
	if len(o.records.silences)+expired > 0 {
		o.log.WithFields(logrus.Fields{"backends": len(o.records.silences), "expired": expired}).Info("silent backend servers of former owners")
	}
}

// heard removes the silence of a backend server that has answered, or is gone.
func (o *owner) heard(id string) {
	if _, silent := o.records.silences[id]; silent {
		delete(o.records.silences, id)
		o.recordBackends()
	}
}
