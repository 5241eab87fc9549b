package basilnode

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	defaultBody     = 1 << 20
	defaultTimeout  = 3 * time.Second
	answerMargin    = 100 * time.Millisecond // of a caller's deadline, for the answer's way
	readBackPause   = 100 * time.Millisecond
	retrySoon       = time.Second     // until a store that is away is worth another try
	retrySpread     = 2 * time.Second // over which callers come back that a full line has refused
	drainTimeout    = 2 * time.Second
	maxDeadlineWait = 30 * time.Second
)

// Codec reads and writes the callers' messages.
type Codec interface {
	IsJobID(id string) bool
	Job(id, queue string, body []byte) (*basilwork.Job, error)
	State(s basilwork.JobState) any
	Waiting(count int) any
	// Deadline returns how long the caller waits, or 0.
	Deadline(h http.Header) time.Duration
}

// front answers callers.
type front struct{ node *Node }

// Front returns the handler of callers' requests.
func (n *Node) Front() http.Handler { return &front{n} }

// Readiness returns the handler that tells whether callers should be sent here.
func (n *Node) Readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// call is one request with what was found for it.
type call struct {
	*front
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	queue   *basilwork.Queue
	id      string
	started time.Time
}

// ServeHTTP answers one request.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{front: f, w: w, r: r, started: time.Now()}
	if f.node.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	configuration := f.node.current.Load()
	if configuration == nil {
		c.refuse(http.StatusServiceUnavailable, retrySoon, "no configuration yet")
		return
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	c.queue, c.id = configuration.Match(host, r.URL.Path)
	if c.queue == nil {
		c.answer(http.StatusNotFound, "no such queue")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.time())
	defer cancel()
	c.ctx = ctx
	c.route(configuration)
}

// time returns how long the answer may take.
func (c *call) time() time.Duration {
	limit := c.queue.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if d := c.node.options.Codec.Deadline(c.r.Header); d > 0 {
		limit = min(limit, d)
	}
	return min(max(limit-answerMargin, limit/2), maxDeadlineWait)
}

func (c *call) route(configuration *basilwork.Configuration) {
	codec := c.node.options.Codec
	switch {
	case c.r.Method == http.MethodGet && strings.Trim(c.id, "/") == "":
		c.waiting()
	case !codec.IsJobID(c.id) && c.r.Method == http.MethodPost:
		c.answer(http.StatusBadRequest, "no job id")
	case !codec.IsJobID(c.id):
		c.answer(http.StatusGone, "no such job")
	case c.r.Method == http.MethodPost:
		c.submit(configuration)
	case c.r.Method == http.MethodGet:
		c.state()
	case c.r.Method == http.MethodDelete:
		c.cancel()
	default:
		c.answer(http.StatusMethodNotAllowed, "method not allowed")
	}
}

// submit accepts a job once it is stored.
func (c *call) submit(configuration *basilwork.Configuration) {
	limit := configuration.Limits.Body
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			c.answer(http.StatusRequestEntityTooLarge, "body too large")
			return
		}
		c.answer(http.StatusBadRequest, "body not read")
		return
	}
	job, err := c.node.options.Codec.Job(c.id, c.queue.Name, body)
	if err != nil {
		c.answer(http.StatusBadRequest, err.Error())
		return
	}
	record := &basilwork.Record{Job: *job, Accepted: c.started.UnixMilli()}
	if c.node.storeAway() {
		c.accepted(c.acceptAway(record))
		return
	}
	if done, err := c.acceptedBefore(); done || err != nil {
		c.accepted(err)
		return
	}
	c.accepted(c.accept(record))
}

// acceptedBefore tells whether a service that the queue was sent to before has the job.
func (c *call) acceptedBefore() (bool, error) {
	for _, service := range c.node.formerServices(c.queue.Name) {
		_, _, err := c.node.ledger.Find(c.ctx, service, c.id)
		if !basilledger.IsErrJobNotExist(err) {
			return err == nil, err
		}
	}
	return false, nil
}

// accept stores the job; an outcome that is unknown is read back until the time is over or the store is
// known to be away.
func (c *call) accept(record *basilwork.Record) error {
	job, err := basilledger.NewAcceptance(record)
	if err != nil {
		return err
	}
	err = c.node.accept(c.ctx, c.queue.Service, job)
	for basilplatform.IsErrOutcomeUnknown(err) {
		if _, _, found := c.node.ledger.Find(c.ctx, c.queue.Service, c.id); found == nil {
			return nil
		}
		if c.node.storeAway() || basiltimer.Wait(c.ctx, readBackPause) != nil {
			return err
		}
	}
	return err
}

// acceptAway has other entry hosts store the job while the store does not answer this one. A queue that was sent to another
// service before is refused: nobody looks whether that has the job.
func (c *call) acceptAway(record *basilwork.Record) error {
	if len(c.node.formerServices(c.queue.Name)) > 0 {
		return errors.WithStack(basilplatform.ErrUnavailable{Operation: "accept", RetryAfter: retrySoon, Cause: ErrStoreAway{}})
	}
	job, err := basilledger.NewAcceptance(record)
	if err != nil {
		return err
	}
	return c.node.acceptByOthers(c.ctx, c.queue.Service, job)
}

// ErrStoreAway says that the store does not answer this entry host, and no other one could help.
type ErrStoreAway struct{}

func (ErrStoreAway) Error() string { return "store away" }

// IsErrStoreAway tells whether the error is an ErrStoreAway.
func IsErrStoreAway(err error) bool { return errors.As(err, new(ErrStoreAway)) }

func (c *call) accepted(err error) {
	switch {
	case err == nil:
		c.answer(http.StatusOK, "")
	case basilplatform.IsErrOutcomeUnknown(err):
		c.answer(http.StatusGatewayTimeout, "outcome unknown")
	default:
		c.refuse(http.StatusServiceUnavailable, retryAfter(err), err.Error())
	}
}

// retryAfter returns when to come back after a job was not stored: callers that were refused together don't all come back
// together.
func retryAfter(err error) time.Duration {
	var away basilplatform.ErrUnavailable
	if !errors.As(err, &away) || !basilledger.IsErrLineFull(err) && away.RetryAfter < time.Second {
		return retrySoon
	}
	return retrySoon + rand.N(retrySpread)
}

// find returns the job from the service that has it.
func (c *call) find() (basilwork.Record, string, error) {
	services := append([]string{c.queue.Service}, c.node.formerServices(c.queue.Name)...)
	var err error
	for _, service := range services {
		var r basilwork.Record
		r, _, err = c.node.ledger.Find(c.ctx, service, c.id)
		if err == nil && r.Job.Queue == c.queue.Name {
			return r, service, nil
		}
		if err != nil && !basilledger.IsErrJobNotExist(err) {
			return r, "", err
		}
	}
	return basilwork.Record{}, "", errors.WithStack(basilledger.ErrJobNotExist{ID: c.id})
}

func (c *call) state() {
	r, _, err := c.find()
	switch {
	case err == nil:
		c.reply(c.node.options.Codec.State(r.State))
	case basilledger.IsErrJobNotExist(err):
		c.answer(http.StatusGone, "no such job")
	default:
		c.refuse(http.StatusServiceUnavailable, retrySoon, err.Error())
	}
}

// cancel answers once the cancelling is stored.
func (c *call) cancel() {
	_, service, err := c.find()
	if err == nil {
		err = c.cancelIn(service)
	}
	switch {
	case err == nil:
		c.answer(http.StatusOK, "cancelled")
	case basilledger.IsErrJobNotExist(err):
		c.answer(http.StatusGone, "no such job")
	case basilplatform.IsErrOutcomeUnknown(err):
		c.answer(http.StatusGatewayTimeout, "outcome unknown")
	default:
		c.refuse(http.StatusServiceUnavailable, retrySoon, err.Error())
	}
}

// cancelIn stores the cancelling; an outcome that is unknown is tried again until the time is over or the
// store is known to be away.
func (c *call) cancelIn(service string) error {
	for {
		err := c.node.ledger.Cancel(c.ctx, service, c.queue.Name, c.id)
		if !basilplatform.IsErrOutcomeUnknown(err) || c.node.storeAway() || basiltimer.Wait(c.ctx, readBackPause) != nil {
			return err
		}
	}
}

func (c *call) waiting() {
	count, err := c.node.ledger.Waiting(c.ctx, c.queue.Service, c.queue.Name)
	for _, service := range c.node.formerServices(c.queue.Name) {
		var more int
		if err == nil {
			more, err = c.node.ledger.Waiting(c.ctx, service, c.queue.Name)
			count += more
		}
	}
	if err != nil {
		c.refuse(http.StatusServiceUnavailable, retrySoon, err.Error())
		return
	}
	c.reply(c.node.options.Codec.Waiting(count))
}

func (c *call) reply(body any) {
	c.w.Header().Set("Content-Type", "application/json")
	encoded, err := json.Marshal(body)
	if err != nil {
		c.answer(http.StatusInternalServerError, "answer not encoded")
		return
	}
	_, _ = c.w.Write(encoded) // a caller that left needs no answer
	c.node.metrics.answered(c.r.Method, http.StatusOK, time.Since(c.started))
}

// refuse answers that the request was not carried out, and when to come back.
func (c *call) refuse(status int, after time.Duration, reason string) {
	c.w.Header().Set("Retry-After", strconv.Itoa(int(max(1, after.Round(time.Second)/time.Second))))
	c.answer(status, reason)
}

func (c *call) answer(status int, reason string) {
	c.w.WriteHeader(status)
	c.node.metrics.answered(c.r.Method, status, time.Since(c.started))
	if c.r.Method == http.MethodGet && status == http.StatusGone {
		return // nothing was decided
	}
	fields := logrus.Fields{
		basillog.FieldJob: c.id, basillog.FieldAction: c.r.Method, basillog.FieldCode: status,
		basillog.FieldDuration: time.Since(c.started).Milliseconds(),
	}
	if c.queue != nil {
		fields["queue"] = c.queue.Name
	}
	if reason != "" {
		fields[basillog.FieldReason] = reason
	}
	c.node.log.WithFields(fields).Info("request answered")
}
