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
	defaultMaxBody    = 1 << 20
	defaultTimeout    = 3 * time.Second
	responseMargin    = 100 * time.Millisecond // part of a caller's deadline that is left for delivering the response
	readBackInterval  = 100 * time.Millisecond
	minRetryAfter     = time.Second     // minimum Retry-After, also while the store is unreachable
	retryJitter       = 2 * time.Second // jitter of Retry-After for callers that are rejected because a queue is full
	drainTimeout      = 2 * time.Second
	maxRequestTimeout = 30 * time.Second
)

// Codec decodes and encodes the callers' messages.
type Codec interface {
	IsJobID(id string) bool
	Job(id, queue string, body []byte) (*basilwork.Job, error)
	State(s basilwork.JobState) any
	Waiting(count int) any
	// Deadline returns how long the caller waits, or 0 if the headers don't tell.
	Deadline(h http.Header) time.Duration
}

// front serves callers' requests.
type front struct{ node *Node }

// Front returns the handler of callers' requests.
func (n *Node) Front() http.Handler { return &front{n} }

// Readiness returns the handler of readiness checks. It responds with status 503 while no callers should be sent here.
func (n *Node) Readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// call is one request, with the queue and job id of its path.
type call struct {
	*front
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	queue   *basilwork.Queue
	id      string
	service string // that the job is stored under, or was looked for under; empty if not known
	started time.Time
}

// ServeHTTP finds the request's queue and handles the request within its timeout.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{front: f, w: w, r: r, started: time.Now()}
	if f.node.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	configuration := f.node.activeConfiguration.Load()
	if configuration == nil {
		c.respondUnavailable(http.StatusServiceUnavailable, minRetryAfter, "no configuration loaded yet")
		return
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	c.queue, c.id = configuration.Match(host, r.URL.Path)
	if c.queue == nil {
		c.respond(http.StatusNotFound, "no such queue")
		return
	}
	if rest := strings.Trim(c.id, "/"); rest != "" && !f.node.options.Codec.IsJobID(c.id) && r.Method != http.MethodPost {
		// The paths of accepted jobs may begin with a longer prefix that was added since.
		if q, id := configuration.MatchRest(host, r.URL.Path, f.node.options.Codec.IsJobID); q != nil {
			c.queue, c.id = q, id
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout())
	defer cancel()
	c.ctx = ctx
	c.route(configuration)
}

// timeout returns the timeout of the request: the queue's or the caller's, whichever is shorter, less a margin for the response.
func (c *call) timeout() time.Duration {
	limit := c.queue.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if d := c.node.options.Codec.Deadline(c.r.Header); d > 0 {
		limit = min(limit, d)
	}
	return min(max(limit-responseMargin, limit/2), maxRequestTimeout)
}

func (c *call) route(configuration *basilwork.Configuration) {
	codec := c.node.options.Codec
	switch {
	case c.r.Method == http.MethodGet && strings.Trim(c.id, "/") == "":
		c.waiting()
	case !codec.IsJobID(c.id) && c.r.Method == http.MethodPost:
		c.respond(http.StatusBadRequest, "invalid job id")
	case !codec.IsJobID(c.id):
		c.respond(http.StatusGone, "no such job")
	case c.r.Method == http.MethodPost:
		c.submit(configuration)
	case c.r.Method == http.MethodGet:
		c.state()
	case c.r.Method == http.MethodDelete:
		c.cancel(configuration)
	default:
		c.respond(http.StatusMethodNotAllowed, "method not allowed")
	}
}

// submit stores a new job, and responds once it is stored.
func (c *call) submit(configuration *basilwork.Configuration) {
	limit := configuration.Limits.Body
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			c.respond(http.StatusRequestEntityTooLarge, "body too large")
			return
		}
		c.respond(http.StatusBadRequest, "cannot read body")
		return
	}
	job, err := c.node.options.Codec.Job(c.id, c.queue.Name, body)
	if err != nil {
		c.respond(http.StatusBadRequest, err.Error())
		return
	}
	job.QueueID, job.Settings = c.queue.ID(), c.queue.Settings()
	acceptance, err := basilledger.NewAcceptance(&basilwork.Record{Job: *job, Accepted: c.started.UnixMilli()})
	if err == nil {
		err = c.accept(c.routeOf(configuration), acceptance)
	}
	c.respondAccepted(err)
}

// routeOf returns the queue's service according to the configuration.
func (c *call) routeOf(configuration *basilwork.Configuration) queueRoute {
	return queueRoute{key: c.queue.ID(), name: c.queue.Name, service: c.queue.Service, revision: configuration.Version}
}

// accept stores the job, through other entry hosts while this one can't reach the store. If the outcome is unknown it reads the job back,
// until the timeout or until the store is known to be unreachable.
func (c *call) accept(r queueRoute, job basilledger.Acceptance) error {
	if c.node.storeUnreachable() {
		return c.node.acceptViaPeers(c.ctx, r, job)
	}
	service, err := c.node.submit(c.ctx, r, job, c.node.accept)
	c.service = service
	for basilplatform.IsErrOutcomeUnknown(err) {
		if _, _, found := c.node.ledger.Find(c.ctx, service, c.id); found == nil {
			return nil
		}
		if c.node.storeUnreachable() || basiltimer.Wait(c.ctx, readBackInterval) != nil {
			return err
		}
	}
	return err
}

// ErrStoreUnreachable is returned when this entry host can't reach the store and no other entry host stored the job.
type ErrStoreUnreachable struct{}

func (ErrStoreUnreachable) Error() string { return "store unreachable" }

// IsErrStoreUnreachable reports whether the error is an ErrStoreUnreachable.
func IsErrStoreUnreachable(err error) bool { return errors.As(err, new(ErrStoreUnreachable)) }

func (c *call) respondAccepted(err error) {
	switch {
	case err == nil:
		c.respond(http.StatusOK, "")
	case basilplatform.IsErrOutcomeUnknown(err):
		c.respond(http.StatusGatewayTimeout, "outcome unknown")
	default:
		c.respondUnavailable(http.StatusServiceUnavailable, retryAfter(err), err.Error())
	}
}

// retryAfter returns the Retry-After for a job that was not stored, with jitter if a queue was full, so that callers that
// were rejected together don't all retry together.
func retryAfter(err error) time.Duration {
	var unavailable basilplatform.ErrUnavailable
	if !errors.As(err, &unavailable) || !basilledger.IsErrQueueFull(err) && unavailable.RetryAfter < time.Second {
		return minRetryAfter
	}
	return minRetryAfter + rand.N(retryJitter)
}

func (c *call) state() {
	r, _, err := c.find()
	switch {
	case err == nil && !r.IsTombstone():
		c.respondJSON(c.node.options.Codec.State(r.State))
	case err == nil, basilledger.IsErrJobNotExist(err):
		c.respond(http.StatusGone, "no such job")
	default:
		c.respondUnavailable(http.StatusServiceUnavailable, minRetryAfter, err.Error())
	}
}

// waiting responds with the number of waiting jobs of the queue.
func (c *call) waiting() {
	count, err := c.node.countWaiting(c.ctx, c.queue)
	if err != nil {
		c.respondUnavailable(http.StatusServiceUnavailable, minRetryAfter, err.Error())
		return
	}
	c.respondJSON(c.node.options.Codec.Waiting(count))
}

func (c *call) respondJSON(body any) {
	c.w.Header().Set("Content-Type", "application/json")
	encoded, err := json.Marshal(body)
	if err != nil {
		c.respond(http.StatusInternalServerError, "cannot encode response")
		return
	}
	_, _ = c.w.Write(encoded) // an error means that the caller has disconnected
	c.node.metrics.requestAnswered(c.r.Method, http.StatusOK, time.Since(c.started))
}

// respondUnavailable responds that the request was not carried out, with a Retry-After header.
func (c *call) respondUnavailable(status int, after time.Duration, reason string) {
	c.w.Header().Set("Retry-After", strconv.Itoa(int(max(1, after.Round(time.Second)/time.Second))))
	c.respond(status, reason)
}

// respond responds with the status and logs the request with the reason, which is not sent.
func (c *call) respond(status int, reason string) {
	c.w.WriteHeader(status)
	c.node.metrics.requestAnswered(c.r.Method, status, time.Since(c.started))
	if c.r.Method == http.MethodGet && status == http.StatusGone {
		return // not logged: a lookup of an unknown job changes nothing
	}
	fields := logrus.Fields{
		basillog.FieldJob: c.id, basillog.FieldAction: c.r.Method, basillog.FieldCode: status,
		basillog.FieldDuration: time.Since(c.started).Milliseconds(),
	}
	if c.queue != nil {
		fields["queue"] = c.queue.Name
	}
	if c.service != "" {
		fields[basillog.FieldPool] = c.service
	}
	if reason != "" {
		fields[basillog.FieldReason] = reason
	}
	c.node.log.WithFields(fields).Info("request answered")
}
