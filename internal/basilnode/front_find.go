package basilnode

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basilwork"
)

// find returns the job and the service that it is stored under. If none of the services that this entry host knows of has it, the queue may
// have been assigned to another one since.
func (c *call) find() (basilwork.Record, string, error) {
	known := c.node.assignments.get(c.queue.Name)
	c.service = known.Service
	r, service, err := c.node.findIn(c.ctx, known.Services(), c.queue.Name, c.id)
	if !basilledger.IsErrJobNotExist(err) {
		return r, service, err
	}
	current, err := c.node.readAssignment(c.ctx, c.queue.Name)
	if err != nil {
		return basilwork.Record{}, "", err
	}
	c.service = current.Service
	others := slices.DeleteFunc(current.Services(), func(s string) bool { return slices.Contains(known.Services(), s) })
	return c.node.findIn(c.ctx, others, c.queue.Name, c.id)
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
		case r.err == nil && r.record.Job.Queue == queue:
			return r.record, services[i], nil
		case r.err != nil && !basilledger.IsErrJobNotExist(r.err):
			err = r.err
		}
	}
	return basilwork.Record{}, "", err
}

// countWaiting returns the number of waiting jobs of the queue, under all services that it was assigned to. It reads the assignment, since
// nothing else tells an entry host that stores no job of the queue that it has moved.
func (n *Node) countWaiting(ctx context.Context, queue string) (int, error) {
	a, err := n.readAssignment(ctx, queue)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, service := range a.Services() {
		count, err := n.ledger.Waiting(ctx, service, queue)
		if err != nil {
			return 0, err
		}
		total += count
	}
	return total, nil
}
