package basilnode

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// maxStoredAbsences is how many steps with absent long-running tasks an owner tells its successor about; they add 0.5 KB to the row at most.
const maxStoredAbsences = 8

// poolAnswer is the row with a pool's answer to the fleet owner. It also holds what the pool's next owner can't observe.
type poolAnswer struct {
	basilcapacity.PoolReport
	Absences []storedAbsence `json:"absences,omitempty"`
}

// storedAbsence is the stored form of a basilscheduler.Absence.
type storedAbsence struct {
	Task    string `json:"t"`
	Attempt int    `json:"n"`
	Since   int64  `json:"at"` // in milliseconds on the store's clock
}

// storedAbsences returns the longest absences of the pool's long-running tasks for storage, or none without a reading of the store's clock.
func (o *owner) storedAbsences(now time.Time) []storedAbsence {
	_, at, ok := o.node.options.StoreClock.Bounds()
	if !ok {
		return nil
	}
	var list []storedAbsence
	for _, a := range o.pool.Absences(now, maxStoredAbsences) {
		list = append(list, storedAbsence{Task: a.Task.String(), Attempt: a.Attempt, Since: (at - now.Sub(a.Since)).Milliseconds()})
	}
	return list
}

// loadAbsences reads which long-running tasks were absent under the previous owner. Nothing waits for that, as it is only logged.
func (o *owner) loadAbsences() {
	i, err := o.node.store.Get(o.ctx, answerKey(o.service))
	if basilplatform.IsErrItemNotExist(err) {
		return
	}
	var answer poolAnswer
	if err == nil {
		err = json.Unmarshal(i.Body, &answer)
	}
	if err != nil {
		o.log.WithError(err).Info("absences of long-running tasks under the previous owner are not known")
		return
	}
	o.send(func(now time.Time) { o.inheritAbsences(answer.Absences, now) })
}

func (o *owner) inheritAbsences(list []storedAbsence, now time.Time) {
	_, at, ok := o.node.options.StoreClock.Bounds()
	if !ok {
		return
	}
	for _, a := range list {
		id, err := basilwork.ParseTaskID(a.Task)
		if err != nil {
			o.log.WithError(err).Error("failed to decode the absence of a task; skipping it")
			continue
		}
		since := now.Add(time.Duration(a.Since)*time.Millisecond - at)
		o.pool.InheritAbsence(basilscheduler.Absence{Task: id, Attempt: a.Attempt, Since: since})
	}
}

// logAbsences updates the metric about absent long-running tasks, and logs those that have returned to work since the last call.
func (o *owner) logAbsences(now time.Time) {
	var longest time.Duration
	if list := o.pool.Absences(now, 1); len(list) > 0 {
		longest = now.Sub(list[0].Since)
	}
	o.node.metrics.setAbsence(o.service, longest)
	if r := o.pool.TakeReturns(); r.Tasks > 0 {
		o.log.WithFields(logrus.Fields{
			"tasks": r.Tasks, "longest_away_ms": r.Longest.Milliseconds(), "task": r.Task.String(), "attempt": r.Attempt,
		}).Info("long-running tasks at work again")
	}
}
