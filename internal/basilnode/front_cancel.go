package basilnode

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

// cancel cancels the job, and responds once the cancellation is stored.
func (c *call) cancel(configuration *basilwork.Configuration) {
	_, service, err := c.find()
	if err == nil {
		c.service = service
		err = c.cancelInService(service)
	} else if basilledger.IsErrJobNotExist(err) {
		err = c.cancelUnknown(c.routeOf(configuration))
	}
	switch {
	case err == nil:
		c.respond(http.StatusOK, "cancelled")
	case basilledger.IsErrJobNotExist(err):
		c.respond(http.StatusGone, "no such job")
	case basilplatform.IsErrOutcomeUnknown(err):
		c.respond(http.StatusGatewayTimeout, "outcome unknown")
	default:
		c.respondUnavailable(http.StatusServiceUnavailable, minRetryAfter, err.Error())
	}
}

// cancelInService stores the cancellation of a job of the service.
func (c *call) cancelInService(service string) error {
	return c.repeatUnknown(func() error { return c.node.ledger.Cancel(c.ctx, service, c.queue.ID(), c.id) })
}

// cancelUnknown stores a tombstone for a job that no service has, since its submission may still be under way. If the submission has come
// first by then, it cancels the job. It returns ErrJobNotExist if there is no job, and never will be one from an earlier submission.
func (c *call) cancelUnknown(r queueRoute) error {
	tombstone, err := basilledger.NewAcceptance(basilwork.NewTombstone(c.id, c.queue, c.started))
	if err != nil {
		return err
	}
	return c.repeatUnknown(func() error {
		var stored bool
		var err error
		c.service, err = c.node.submit(c.ctx, r, tombstone, func(ctx context.Context, shard string, a basilledger.Acceptance) error {
			return c.node.directWrites.write(shard, func() (err error) {
				stored, err = c.node.ledger.AcceptTombstone(ctx, shard, a)
				return err
			})
		})
		switch {
		case err != nil:
			return err
		case stored:
			c.node.log.WithFields(logrus.Fields{basillog.FieldJob: c.id, "queue": c.queue.Name, basillog.FieldPool: c.service}).Info("tombstone stored for unknown job")
			return errors.WithStack(basilledger.ErrJobNotExist{ID: c.id})
		}
		return c.node.ledger.Cancel(c.ctx, c.service, c.queue.ID(), c.id)
	})
}

// repeatUnknown repeats a write, of which a second one changes nothing, while its outcome is unknown, until the timeout or until the
// store is known to be unreachable. Its error is ErrOutcomeUnknown, not ErrUnavailable, if an earlier attempt got no answer.
func (c *call) repeatUnknown(write func() error) error {
	unanswered := false
	for {
		err := write()
		switch {
		case unanswered && basilplatform.IsErrUnavailable(err):
			return basilledger.NewErrMayBeStored(err)
		case !basilplatform.IsErrOutcomeUnknown(err) || c.node.storeUnreachable() || basiltimer.Wait(c.ctx, readBackInterval) != nil:
			return err
		}
		unanswered = true
	}
}
