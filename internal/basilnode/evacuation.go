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
)

const tellEvery = 250 * time.Millisecond // between reports of a pool's load; each is a priced write

// evacuation is what the fleet's owner asked of a pool, and what it was told.
type evacuation struct {
	ask      basilcapacity.Ask
	version  int64           // of the ask's row
	row      *basilshard.Row // of the answer
	told     basilcapacity.Pool
	toldAt   time.Time
	inFlight bool
	after    time.Time // no try before
}

// takeAsk takes in the fleet owner's ask.
func (o *owner) takeAsk(i basilplatform.Item) {
	if i.Version <= o.plan.version {
		return
	}
	var a basilcapacity.Ask
	if err := json.Unmarshal(i.Body, &a); err != nil {
		o.log.WithError(err).Error("ask unreadable")
		return
	}
	o.log.WithField("backends", slices.Sorted(maps.Keys(a.Backends))).Info("asked to empty backend servers")
	o.plan.ask, o.plan.version = a, i.Version
	now := time.Now()
	for id := range a.Gone {
		if o.pool.Knows(id) {
			o.log.WithField(basillog.FieldHost, id).Info("backend server's host was ordered away")
			o.pool.Lost(id, now)
		}
		o.closeLine(id)
	}
}

// loadAsk reads what the fleet's owner has asked.
func (o *owner) loadAsk() error {
	i, err := o.node.store.Get(o.ctx, fleetKey(o.service, askSort))
	if basilplatform.IsErrItemNotExist(err) {
		return nil
	}
	if err == nil {
		o.takeAsk(i)
	}
	return err
}

// watchAsks follows what the fleet's owner asks.
func (o *owner) watchAsks() {
	key := fleetKey(o.service, askSort)
	o.node.keeper.Follow(o.ctx, o.row.Version, basilshard.Following{
		Watch: o.node.keeper.Table(fleetTable), Reload: o.reloadAsk, Gather: watchGather,
		Take: func(items []basilplatform.Item) bool {
			for _, i := range items {
				if i.Key == key {
					o.send(func(time.Time) { o.takeAsk(i) })
				}
			}
			return true
		},
	})
}

// reloadAsk reads the ask after the history was dropped, and returns the version to go on from.
func (o *owner) reloadAsk(ctx context.Context) (version int64, ok bool) {
	items, version, err := o.node.store.Snapshot(ctx, fleetTable+"/"+o.service)
	if err != nil {
		return 0, false
	}
	for _, i := range items {
		if i.Key.Sort == askSort {
			o.send(func(time.Time) { o.takeAsk(i) })
		}
	}
	return version, true
}

// evacuate empties the backend servers that the fleet's owner asked for, and tells it how the pool stands.
func (o *owner) evacuate(now time.Time) {
	e := &o.plan
	answer := e.ask.Answer(o.pool, now)
	worth := answer.Acknowledges(e.told) || now.Sub(e.toldAt) >= tellEvery && answer.Load.Differs(e.told.Load)
	if worth && !e.inFlight && !now.Before(e.after) {
		o.tell(answer)
	}
}

func (o *owner) tell(answer basilcapacity.Pool) {
	body, err := json.Marshal(answer)
	if err != nil {
		o.log.WithError(err).Error("answer not encoded")
		return
	}
	o.plan.inFlight = true
	go func() {
		err := o.plan.row.Write(o.ctx, body)
		o.send(func(now time.Time) {
			o.plan.inFlight = false
			if err != nil {
				o.log.WithError(err).Warn("fleet's owner not told")
				o.plan.after = now.Add(storeRetry)
				return
			}
			o.plan.told, o.plan.toldAt = answer, now
		})
	}()
}
