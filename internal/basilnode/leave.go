package basilnode

import (
	"context"
	"encoding/json"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// leaveTime is how long an owner that gives up its shard tries to tell the next one what may run; a store call takes
// some milliseconds, and a slow one 400.
const leaveTime = 600 * time.Millisecond

// leave stores which backend servers a successor has to hear of before it starts what this owner may have started.
// Nothing is started any more; without this list the successor waits for every backend server that was ever used, or
// until the leases have run out.
func (o *owner) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	lists := make(chan map[string]basilwork.Backend, 1)
	o.send(func(time.Time) {
		if !o.records.inFlight {
			lists <- o.unfinished()
		}
	})
	var list map[string]basilwork.Backend
	select {
	case list = <-lists:
	case <-ctx.Done():
		return
	case <-o.ctx.Done():
		return
	}
	body, err := json.Marshal(list)
	if err == nil {
		err = o.records.row.Write(ctx, body)
	}
	if err != nil {
		o.log.WithError(err).Warn("list of backend servers not stored")
		return
	}
	o.log.WithField("backends", len(list)).Info("backend servers with runs left to a successor")
}

// unfinished returns the backend servers that may have runs, or ends that are not stored.
func (o *owner) unfinished() map[string]basilwork.Backend {
	list := make(map[string]basilwork.Backend)
	ends := o.pool.Processed()
	for _, b := range o.pool.Backends() {
		if o.pool.MayHaveRuns(b.ID) || ends[b.ID] > o.commit.acked[b.ID] {
			list[b.ID] = recorded(b)
		}
	}
	return list
}

// recorded returns what is stored of a backend server.
func recorded(b basilwork.Backend) basilwork.Backend {
	return basilwork.Backend{ID: b.ID, Service: b.Service, Address: b.Address, Rack: b.Rack, Born: b.Born}
}
