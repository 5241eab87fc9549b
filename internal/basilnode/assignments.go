package basilnode

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
)

const assignTimeout = 10 * time.Second // of a change of an assignment: about twenty calls of a store that takes 0.4 s for each

// queueRoute is the service that a configuration routes a queue to.
type queueRoute struct {
	key      string // of the queue, see basilwork.Job.QueueKey
	name     string // of the queue in the configuration
	service  string
	revision int64
}

// assignment is the assignment of a queue, with the version of its open gate.
type assignment struct {
	basilledger.Assignment
	gate int64 // 0 if not known
}

// accepts reports whether new jobs may be stored under the assignment.
func (a *assignment) accepts(r queueRoute) bool {
	return a.gate != 0 && a.Follows(r.service, r.revision)
}

// assignments are the assignments of queues as this entry host knows them. An outdated one does no harm, since its gate has another version
// by then. The zero value is ready to use.
type assignments struct {
	mutex   sync.Mutex // guards the maps
	byQueue map[string]assignment
	updates singleflight.Group // of assignments, by queue
}

func (s *assignments) get(queue string) assignment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byQueue[queue]
}

// put records an assignment unless a later one is known.
func (s *assignments) put(queue string, a assignment) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.byQueue[queue]
	if a.Generation < known.Generation {
		return
	}
	if a.Generation == known.Generation && a.gate == 0 {
		a.gate = known.gate
	}
	if s.byQueue == nil {
		s.byQueue = make(map[string]assignment)
	}
	s.byQueue[queue] = a
}

// forgetGate has the assignment read again if its gate still counts as having the given version.
func (s *assignments) forgetGate(queue string, version int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if a := s.byQueue[queue]; a.gate == version {
		a.gate = 0
		s.byQueue[queue] = a
	}
}

// update runs f once for all callers that wait for the queue, and returns its result. f doesn't end when a caller gives up: each of a
// series of callers may have less time than f takes on a slow store.
func (s *assignments) update(ctx context.Context, queue string, f func() error) error {
	result := s.updates.DoChan(queue, func() (any, error) { return nil, f() })
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return newErrNotAssigned(queue, ctx.Err())
	}
}

// ErrNotAssigned is returned when the assignment of a queue could not be read or stored, so that nothing was stored under it. It doesn't
// wrap the last error: an unknown outcome of that is not one of the job.
type ErrNotAssigned struct{ Queue, LastAttempt string }

func (e ErrNotAssigned) Error() string {
	return "queue not assigned [queue: " + e.Queue + ", last attempt: " + e.LastAttempt + "]"
}

// IsErrNotAssigned reports whether the error is an ErrNotAssigned.
func IsErrNotAssigned(err error) bool { return errors.As(err, new(ErrNotAssigned)) }

func newErrNotAssigned(queue string, err error) error {
	return errors.WithStack(basilplatform.ErrUnavailable{
		Operation: "assign", RetryAfter: minRetryAfter, Cause: ErrNotAssigned{Queue: queue, LastAttempt: err.Error()},
	})
}

// assign returns the assignment under which new jobs of the queue are stored. If the known one is outdated, it makes a new one, or
// completes one that another entry host has begun. It fails with ErrUnavailable.
func (n *Node) assign(ctx context.Context, r queueRoute) (assignment, error) {
	if a := n.assignments.get(r.key); a.accepts(r) {
		return a, nil
	}
	for {
		err := n.assignments.update(ctx, r.key, func() error { return n.updateUntilAssigned(r) })
		if err != nil {
			return assignment{}, err
		}
		if a := n.assignments.get(r.key); a.accepts(r) {
			return a, nil
		}
	}
}

// updateUntilAssigned updates the assignment of the queue until it agrees with the route. It fails with ErrUnavailable.
func (n *Node) updateUntilAssigned(r queueRoute) error {
	ctx, cancel := context.WithTimeout(n.ctx, assignTimeout)
	defer cancel()
	for {
		if a := n.assignments.get(r.key); a.accepts(r) {
			return nil
		}
		if n.storeUnreachable() {
			return newErrNotAssigned(r.key, ErrStoreUnreachable{})
		}
		err := n.updateAssignment(ctx, r)
		switch {
		case err == nil:
		case basilplatform.IsErrUnavailable(err):
			return err
		case basilledger.IsErrAssignmentChanged(err): // the next attempt reads the change
		case basiltimer.Wait(ctx, readBackInterval) != nil:
			return newErrNotAssigned(r.key, err)
		}
	}
}

// updateAssignment reads the assignment of the queue, changes it if the route is newer, and opens its gate.
func (n *Node) updateAssignment(ctx context.Context, r queueRoute) error {
	a, openGate, err := n.ledger.AssignmentWithGate(ctx, r.key, r.service)
	if err != nil {
		return err
	}
	if openGate != 0 {
		n.assignments.put(r.key, assignment{Assignment: a, gate: openGate})
		return nil
	}
	if !a.Follows(r.service, r.revision) {
		if a.Generation == 0 && r.key != r.name {
			a, err = n.adoptNamedAssignment(ctx, r, a)
			if err != nil {
				return err
			}
		}
		a, err = n.ledger.Reassign(ctx, r.key, a, r.service, r.revision)
		if err != nil {
			n.assignmentLog(r, a, err).Log(levelOf(err), "failed to assign queue")
			return err
		}
		n.assignmentLog(r, a, nil).Info("queue assigned")
	}
	version, opened, err := n.ledger.OpenGate(ctx, r.key, a)
	if err != nil {
		n.assignmentLog(r, a, err).Log(levelOf(err), "failed to open gate of queue")
		return err
	}
	if opened {
		n.assignmentLog(r, a, nil).Info("gate of queue opened")
	}
	n.assignments.put(r.key, assignment{Assignment: a, gate: version})
	return nil
}

// adoptNamedAssignment returns the absent assignment of the queue with the services under which a release that kept assignments by the name
// of the queue may have stored jobs.
func (n *Node) adoptNamedAssignment(ctx context.Context, r queueRoute, absent basilledger.Assignment) (basilledger.Assignment, error) {
	named, err := n.ledger.Assignment(ctx, r.name)
	if err != nil {
		return absent, err
	}
	absent.Former = named.Services()
	return absent, nil
}

// readAssignment reads the assignment of the queue from the store. It has generation 0 if no job of the queue was ever submitted.
func (n *Node) readAssignment(ctx context.Context, queue string) (basilledger.Assignment, error) {
	a, err := n.ledger.Assignment(ctx, queue)
	if err == nil && a.Generation > 0 {
		n.assignments.put(queue, assignment{Assignment: a})
	}
	return a, err
}

func (n *Node) assignmentLog(r queueRoute, a basilledger.Assignment, err error) *logrus.Entry {
	entry := n.log.WithFields(logrus.Fields{
		"queue": r.name, "queue_id": r.key, basillog.FieldPool: a.Service, "former": a.Former, "generation": a.Generation, basillog.FieldRevision: a.Revision,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	return entry
}

// levelOf returns the level at which a failed change of an assignment is logged: that another entry host made it is no fault.
func levelOf(err error) logrus.Level {
	if basilledger.IsErrAssignmentChanged(err) {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}
