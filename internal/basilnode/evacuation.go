package basilnode

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilwork"
)

// answerInterval is the minimum time between two reports of a pool's load, each of which is a billed write.
const answerInterval = 250 * time.Millisecond

// evacuation is the fleet owner's latest request to a pool to empty backend servers, and the pool's last answer.
type evacuation struct {
	request    basilcapacity.EvacuationRequest
	version    int64           // of the request's row
	row        *basilshard.Row // of the answer
	answered   basilcapacity.PoolReport
	answeredAt time.Time
	inFlight   bool
	retryAfter time.Time // next attempt after a failed write
}

// applyRequest applies an evacuation request from the fleet owner, unless that version is known already.
func (o *owner) applyRequest(i basilplatform.Item) {
	if i.Version <= o.evacuation.version {
		return
	}
	var a basilcapacity.EvacuationRequest
	if err := json.Unmarshal(i.Body, &a); err != nil {
		o.log.WithError(err).Error("failed to decode evacuation request")
		return
	}
	o.log.WithField("backends", slices.Sorted(maps.Keys(a.Backends))).Info("evacuation of backend servers requested")
	o.evacuation.request, o.evacuation.version = a, i.Version
	now := time.Now()
	for id := range a.Gone {
		if o.pool.Knows(id) {
			o.log.WithField(basillog.FieldHost, id).Info("host of the backend server was ordered away")
			o.pool.Lost(id, basilwork.LossRemoved, now)
		}
		o.closeConnection(id)
	}
}

// loadRequest reads the fleet owner's evacuation request, if there is one.
func (o *owner) loadRequest() error {
	i, err := o.node.store.Get(o.ctx, fleetKey(o.service, requestSort))
	if basilplatform.IsErrItemNotExist(err) {
		return nil
	}
	if err == nil {
		o.applyRequest(i)
	}
	return err
}

// watchRequests follows the fleet owner's evacuation requests.
func (o *owner) watchRequests() {
	key := fleetKey(o.service, requestSort)
	o.node.keeper.Follow(o.ctx, o.row.Version, basilshard.FollowOptions{
		Watch: o.node.keeper.WatchTable(fleetTable), Reload: o.reloadRequest, BatchDelay: watchBatchDelay,
		Apply: func(items []basilplatform.Item) bool {
			for _, i := range items {
				if i.Key == key {
					o.send(func(time.Time) { o.applyRequest(i) })
				}
			}
			return true
		},
	})
}

// reloadRequest reads the evacuation request after the store has dropped its change history, and returns the version from
// which to go on watching.
func (o *owner) reloadRequest(ctx context.Context) (version int64, ok bool) {
	items, version, err := o.node.store.Snapshot(ctx, fleetTable+"/"+o.service)
	if err != nil {
		return 0, false
	}
	for _, i := range items {
		if i.Key.Sort == requestSort {
			o.send(func(time.Time) { o.applyRequest(i) })
		}
	}
	return version, true
}

// evacuate applies the evacuation request to the pool and sends the fleet owner an answer, if it acknowledges something
// new or the load has changed.
func (o *owner) evacuate(now time.Time) {
	e := &o.evacuation
	answer := o.applyEvacuation(now)
	due := answer.HasNewAcknowledgement(e.answered) || now.Sub(e.answeredAt) >= answerInterval && answer.Load.DiffersSignificantly(e.answered.Load)
	if due && !e.inFlight && !now.Before(e.retryAfter) {
		o.sendAnswer(answer, now)
	}
}

// applyEvacuation applies the evacuation request to the pool and returns the pool's report.
func (o *owner) applyEvacuation(now time.Time) basilcapacity.PoolReport {
	request := &o.evacuation.request
	if len(request.Backends) > 0 && o.commit.idle() && !o.pool.HasDirtyJobs() {
		o.commit.settle(o.pool.Processed())
	}
	return request.Apply(o.pool, o.commit.settled, now)
}

func (o *owner) sendAnswer(answer basilcapacity.PoolReport, now time.Time) {
	body, err := json.Marshal(poolAnswer{PoolReport: answer, Absences: o.storedAbsences(now)})
	if err != nil {
		o.log.WithError(err).Error("failed to encode the answer to the fleet owner")
		return
	}
	o.evacuation.inFlight = true
	go func() {
		err := o.evacuation.row.Write(o.ctx, body)
		o.send(func(now time.Time) {
			o.evacuation.inFlight = false
			if err != nil {
				o.log.WithError(err).Warn("failed to store the answer to the fleet owner; retrying")
				o.evacuation.retryAfter = now.Add(storeRetryDelay)
				return
			}
			o.evacuation.answered, o.evacuation.answeredAt = answer, now
		})
	}()
}
