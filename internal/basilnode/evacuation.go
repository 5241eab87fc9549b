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

const (
	tellEvery  = 250 * time.Millisecond // between reports of a pool's load; each is a priced write
	toldMost   = 8                      // backend servers of a kind in a report; a row has room for many more, and each report is paid for by size
	tellChange = 20000                  // thousandths of a core: a third of a large host
)

// evacuation is what the fleet's owner asked of a pool, and what it was told.
type evacuation struct {
	ask      basilcapacity.Ask
	version  int64     // of the ask's row
	row      *shardRow // of the answer
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
		Take: func(changes basilwork.Changes) bool {
			for _, c := range changes.Rows {
				if c.Item.Key == key && !c.Deleted {
					o.send(func(time.Time) { o.takeAsk(c.Item) })
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

// evacuate empties the backend servers that the fleet's owner asked for, and tells it which ones are.
func (o *owner) evacuate(now time.Time) {
	e := &o.plan
	for _, b := range o.pool.Backends() {
		_, asked := e.ask.Backends[b.ID]
		o.pool.Evacuate(b.ID, asked)
	}
	o.pool.SetDue(e.ask.Due)
	answer := basilcapacity.Pool{Serial: e.ask.Serial, Load: o.load(now)}
	for id := range e.ask.Backends {
		if o.pool.Emptied(id) {
			answer.Empty = append(answer.Empty, id)
		}
	}
	slices.Sort(answer.Empty)
	if !o.worthTelling(answer, now) || e.inFlight || now.Before(e.after) {
		return
	}
	o.tell(answer)
}

// worthTelling tells whether the answer differs enough from the one that was told.
func (o *owner) worthTelling(answer basilcapacity.Pool, now time.Time) bool {
	told := o.plan.told
	if answer.Serial != told.Serial || !slices.Equal(answer.Empty, told.Empty) {
		return true
	}
	if now.Sub(o.plan.toldAt) < tellEvery {
		return false
	}
	change := answer.Load.Used + answer.Load.Wanted - told.Load.Used - told.Load.Wanted
	if answer.Load.Arrived-told.Load.Arrived > tellChange {
		return true
	}
	return max(change, -change) > tellChange || !slices.Equal(answer.Load.Idle, told.Load.Idle) || answer.Load.Least != told.Load.Least || answer.Load.Leaving != told.Load.Leaving
}

// load returns what the fleet's owner has to know of the pool's work.
func (o *owner) load(now time.Time) basilcapacity.Load {
	l := o.pool.Load(now)
	return basilcapacity.Load{
		Used: l.Used.CPU, Wanted: l.Wanted.CPU, Serving: l.Serving.CPU, Least: l.Least, Arrived: l.Arrived, Leaving: l.Leaving,
		Idle: l.Idle, Brief: l.Brief[:min(len(l.Brief), toldMost)], Movable: l.Movable[:min(len(l.Movable), toldMost)], Slow: l.Slow[:min(len(l.Slow), toldMost)],
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
		err := o.plan.row.write(o.ctx, body)
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
