package basilnode

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basilwork"
)

// find returns the job and the service that it is stored under. If none of the services that this entry host knows of has it, the queue may
// have been assigned to another one since.
func (c *call) find() (basilwork.Record, string, error) {
	queue := c.queue.ID()
	known := c.node.assignments.get(queue)
	c.service = known.Service
	r, service, err := c.node.findIn(c.ctx, known.Services(), queue, c.id)
	if !basilledger.IsErrJobNotExist(err) {
		return r, service, err
	}
	current, err := c.node.readAssignment(c.ctx, queue)
	if err != nil {
		return basilwork.Record{}, "", err
	}
	c.service = current.Service
	others := slices.DeleteFunc(c.node.servicesWithJobs(&current), func(s string) bool { return slices.Contains(known.Services(), s) })
	return c.node.findIn(c.ctx, others, queue, c.id)
}

// servicesWithJobs returns all services that may have jobs of a queue with the assignment. Without one, these are all pools: a release that
// didn't store assignments may have stored jobs under any of them.
func (n *Node) servicesWithJobs(a *basilledger.Assignment) []string {
	if services := a.Services(); len(services) > 0 {
		return services
	}
	return n.configuration().Pools()
}

// findIn returns a job of the queue and that of the services that it is stored under.
func (n *Node) findIn(ctx context.Context, services []string, queue, id string) (basilwork.Record, string, error) {
	type result struct {
		record basilwork.Record
		err    error
	}
	results := make([]result, len(services))
	var group sync.WaitGroup
	for i, service := range services {
		group.Go(func() { results[i].record, _, results[i].err = n.ledger.Find(ctx, service, id) })
	}
	group.Wait()
	err := errors.WithStack(basilledger.ErrJobNotExist{ID: id})
	for i, r := range results {
		switch {
		case r.err == nil && r.record.Job.IsIn(queue):
			return r.record, services[i], nil
		case r.err != nil && !basilledger.IsErrJobNotExist(r.err):
			err = r.err
		}
	}
	return basilwork.Record{}, "", err
}

// countWaiting returns the number of waiting jobs of the queue, under all services that it was assigned to. It reads the assignment, since
// nothing else tells an entry host that stores no job of the queue that it has moved. Jobs of a release that stored no queue IDs are counted
// by the queue's name.
func (n *Node) countWaiting(ctx context.Context, q *basilwork.Queue) (int, error) {
	a, err := n.readAssignment(ctx, q.ID())
	if err != nil {
		return 0, err
	}
	var total atomic.Int64
	var counts errgroup.Group // at once, since a slow store takes long for each
	for _, service := range n.servicesWithJobs(&a) {
		for _, key := range []string{q.ID(), q.Name} {
			counts.Go(func() error {
				count, err := n.ledger.Waiting(ctx, service, key)
				total.Add(int64(count))
				return err
			})
		}
	}
	err = counts.Wait()
	return int(total.Load()), err
}
