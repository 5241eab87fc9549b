package basilnode

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basilwork"
)

// find returns the job and the service that it is stored under: the queue's service, an earlier one that this entry host knows of,
// or else any other, because the queue may have been routed to another service before this entry host started.
func (c *call) find() (basilwork.Record, string, error) {
	known := append([]string{c.queue.Service}, c.node.formerServices(c.queue.Name)...)
	r, service, err := c.findIn(known)
	if !basilledger.IsErrJobNotExist(err) {
		return r, service, err
	}
	others := slices.DeleteFunc(c.node.configuration().Pools(), func(s string) bool { return slices.Contains(known, s) })
	return c.findIn(others)
}

// findIn returns the job and that of the services that it is stored under.
func (c *call) findIn(services []string) (basilwork.Record, string, error) {
	type result struct {
		record basilwork.Record
		err    error
	}
	results := make([]result, len(services))
	var group sync.WaitGroup
	for n, service := range services {
		group.Go(func() { results[n].record, _, results[n].err = c.node.ledger.Find(c.ctx, service, c.id) })
	}
	group.Wait()
	err := errors.WithStack(basilledger.ErrJobNotExist{ID: c.id})
	for n, r := range results {
		switch {
		case r.err == nil && r.record.Job.Queue == c.queue.Name:
			return r.record, services[n], nil
		case r.err != nil && !basilledger.IsErrJobNotExist(r.err):
			err = r.err
		}
	}
	return basilwork.Record{}, "", err
}
