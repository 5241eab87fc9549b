package basildemo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
	"basilstage.example/basilstage/pkg/basilclient"
)

// loadPeriod is the time between two jobs of one caller.
const loadPeriod = 50 * time.Millisecond

// job is one job of the load and what the caller was told.
type job struct {
	id      basilapi.JobID
	service string
	outcome basilapi.Outcome
	whole   bool // the answer was the one for this payload
}

// load asks for jobs at the entry hosts, one after the other, while the demonstration goes on.
type load struct {
	mutex sync.Mutex
	jobs  []job
}

// run asks for quotes and receipts in turn until the context ends.
func (l *load) run(ctx context.Context, addresses []string) {
	var group sync.WaitGroup
	for n, service := range []string{"quote", "receipt"} {
		at := append(addresses[n:], addresses[:n]...)
		group.Go(func() { l.call(ctx, basilclient.NewClient(basilclient.Options{Addresses: at}), service) })
	}
	group.Wait()
}

func (l *load) call(ctx context.Context, c *basilclient.Client, service string) {
	ticker := time.NewTicker(loadPeriod)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.ask(context.WithoutCancel(ctx), c, service, n)
		}
	}
}

func (l *load) ask(ctx context.Context, c *basilclient.Client, service string, n int) {
	ids, err := c.Mint(ctx, 1)
	if err != nil {
		return
	}
	payload := []byte(fmt.Sprintf("%s %d", service, n))
	a, err := c.Submit(ctx, basilapi.SubmitRequest{
		ID: ids[0], Service: service, Idempotent: service == "quote", Payload: payload,
	})
	j := job{id: ids[0], service: service, outcome: a.Outcome, whole: string(a.Answer) == string(basilstandin.DefaultAnswer(payload))}
	if p, ok := basilapi.AsProblem(err); ok {
		j.outcome = p.Outcome
	} else if err != nil {
		j.outcome = basilapi.OutcomeUnknown
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.jobs = append(l.jobs, j)
}

// done returns the jobs that were asked for.
func (l *load) done() []job {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]job(nil), l.jobs...)
}
