package basilledger

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	assignmentPartitionPrefix = "assignments/"
	assignmentSort            = "assignment"
	gatePartitionPrefix       = "gates/"
)

// Assignment tells under which service the new jobs of a queue are stored, and under which ones earlier jobs were.
//
// A job is stored only while the gate of its service and queue is open (see OpenGate). At most one gate of a queue is open at a time, whatever
// the configurations of the entry hosts are.
type Assignment struct {
	Service    string   `json:"service"`
	Former     []string `json:"former,omitempty"` // all other services that may have jobs of the queue
	Revision   int64    `json:"revision"`         // of the configuration that routes the queue to the service
	Generation int64    `json:"generation"`       // grows by one with each assignment of the queue; 0 for none
	version    int64
}

// Follows reports whether the assignment agrees with a configuration that routes the queue to the service, or is newer.
func (a *Assignment) Follows(service string, revision int64) bool {
	return a.Generation > 0 && (a.Service == service || a.Revision >= revision)
}

// Services returns all services that may have jobs of the queue.
func (a *Assignment) Services() []string {
	if a.Service == "" {
		return a.Former
	}
	return append([]string{a.Service}, a.Former...)
}

// next returns the assignment that follows this one.
func (a *Assignment) next(service string, revision int64) Assignment {
	former := slices.DeleteFunc(slices.Clone(a.Services()), func(s string) bool { return s == service })
	return Assignment{Service: service, Former: former, Revision: revision, Generation: a.Generation + 1, version: a.version}
}

// gate is the row without which no new job of a queue is stored under a service. Its generation is that of the assignment that opened or
// closed it last, and only grows, so that no write of an earlier assignment that takes effect late can open it again.
type gate struct {
	Generation int64 `json:"generation"`
	Open       bool  `json:"open"`
	version    int64
}

// AssignmentKey returns the key of a queue's assignment. Each queue has a part of the store of its own, so that one that is away holds up
// no other queue.
func AssignmentKey(queue string) basilplatform.Key {
	return basilplatform.Key{Partition: assignmentPartitionPrefix + queue, Sort: assignmentSort}
}

// GateKey returns the key of the gate of a service and queue. It is in the same part of the store as the service's jobs.
func GateKey(service, queue string) basilplatform.Key {
	return basilplatform.Key{Partition: gatePartitionPrefix + service, Sort: queue}
}

// Assignment returns the assignment of a queue, with generation 0 if it has none. It fails with ErrUnavailable or ErrRecordUnreadable.
func (l *Ledger) Assignment(ctx context.Context, queue string) (Assignment, error) {
	var a Assignment
	version, err := l.read(ctx, AssignmentKey(queue), &a)
	a.version = version
	return a, err
}

// AssignmentWithGate returns the assignment of a queue and the version of the gate if it is assigned to the service and the gate is open, or
// else 0. It reads both at once, which counts on a slow store. It fails with ErrUnavailable or ErrRecordUnreadable.
func (l *Ledger) AssignmentWithGate(ctx context.Context, queue, service string) (a Assignment, openGate int64, err error) {
	var g gate
	var reads errgroup.Group
	reads.Go(func() (err error) {
		a, err = l.Assignment(ctx, queue)
		return err
	})
	reads.Go(func() (err error) {
		g, err = l.gate(ctx, service, queue)
		return err
	})
	if err := reads.Wait(); err != nil {
		return a, 0, err
	}
	if g.Open && a.Service == service && a.Generation == g.Generation {
		openGate = g.version
	}
	return a, openGate, nil
}

// Reassign assigns the queue to the service in place of the assignment a. It fails with ErrAssignmentChanged if a is not the stored one,
// and with ErrUnavailable or ErrOutcomeUnknown.
func (l *Ledger) Reassign(ctx context.Context, queue string, a Assignment, service string, revision int64) (Assignment, error) {
	next := a.next(service, revision)
	version, err := l.replace(ctx, queue, AssignmentKey(queue), a.version, next)
	next.version = version
	return next, err
}

// OpenGate has new jobs of the queue stored under the service that it is assigned to: it closes the gates of the former services, so that
// no job can come to be stored there, and then opens that of the service. It returns the version of the open gate, which Accept takes, and
// whether it was opened only now.
//
// It fails with ErrAssignmentChanged if a gate is that of a later assignment or another process changed it meanwhile, and with
// ErrUnavailable or ErrOutcomeUnknown. It may be called again, by any process: it goes on where it ended.
func (l *Ledger) OpenGate(ctx context.Context, queue string, a Assignment) (version int64, opened bool, err error) {
	g, err := l.gate(ctx, a.Service, queue)
	switch {
	case err != nil:
		return 0, false, err
	case g.Generation > a.Generation:
		return 0, false, errors.WithStack(ErrAssignmentChanged{Queue: queue})
	case g.Generation == a.Generation && g.Open:
		return g.version, false, nil
	}
	var former errgroup.Group
	for _, service := range a.Former {
		former.Go(func() error { return l.closeGate(ctx, service, queue, a.Generation) })
	}
	if err := former.Wait(); err != nil {
		return 0, false, err
	}
	version, err = l.replace(ctx, queue, GateKey(a.Service, queue), g.version, gate{Generation: a.Generation, Open: true})
	return version, err == nil, err
}

// closeGate raises the gate of a former service to the generation, also if it is closed or absent: an opening by an earlier assignment may
// still be on its way.
func (l *Ledger) closeGate(ctx context.Context, service, queue string, generation int64) error {
	g, err := l.gate(ctx, service, queue)
	switch {
	case err != nil:
		return err
	case g.Generation > generation:
		return errors.WithStack(ErrAssignmentChanged{Queue: queue})
	case g.Generation == generation:
		return nil
	}
	_, err = l.replace(ctx, queue, GateKey(service, queue), g.version, gate{Generation: generation})
	return err
}

func (l *Ledger) gate(ctx context.Context, service, queue string) (gate, error) {
	var g gate
	version, err := l.read(ctx, GateKey(service, queue), &g)
	g.version = version
	return g, err
}

// read decodes a row and returns its version. A missing row leaves the value as it is and has version 0.
func (l *Ledger) read(ctx context.Context, k basilplatform.Key, into any) (int64, error) {
	i, err := l.store.Get(ctx, k)
	if basilplatform.IsErrItemNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(i.Body, into); err != nil {
		return 0, errors.WithStack(ErrRecordUnreadable{Key: k.Sort, Cause: err})
	}
	return i.Version, nil
}

// replace stores a row of the queue in place of the given version, 0 for none, and returns its new version.
func (l *Ledger) replace(ctx context.Context, queue string, k basilplatform.Key, version int64, row any) (int64, error) {
	body, err := json.Marshal(row)
	if err != nil {
		return 0, errors.WithStack(ErrRecordUnreadable{Key: k.Sort, Cause: err})
	}
	w := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: k, Precondition: basilplatform.PreconditionVersion, Version: version, Body: body}
	version, _, err = basilwork.CommitOrFind(ctx, l.store, basilplatform.Transaction{Writes: []basilplatform.Write{w}}, func(ctx context.Context) (int64, bool, error) {
		i, err := l.store.Get(ctx, k)
		return i.Version, err == nil && bytes.Equal(i.Body, body), nil // another process may have stored the same: that is as good
	})
	if basilplatform.IsErrConditionFailed(err) {
		err = errors.WithStack(ErrAssignmentChanged{Queue: queue})
	}
	return version, err
}
