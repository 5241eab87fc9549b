package basilrouter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

const (
	defaultMaxAttempts       = 3
	defaultTimeout           = time.Minute
	maxRefusals              = 8 // per job, including retries that found no backend server
	maxReportedFailures      = 2 // EndingFailed responses per job, from different backend servers where possible
	retryBaseDelay           = 5 * time.Millisecond
	retryMaxDelay            = 250 * time.Millisecond
	unknownOutcomeRetryAfter = time.Second
)

// DispatcherOptions configures a Dispatcher; the zero value selects the defaults.
type DispatcherOptions struct {
	MaxAttempts int           // per job, not counting refused attempts; 0 means the default of 3
	Timeout     time.Duration // for requests without a deadline; 0 means the default of one minute
	RequireEcho bool          // reject responses that don't echo the job and attempt headers
}

// Dispatcher sends jobs to backend servers and reports whether they ran, did not run, or may have run.
type Dispatcher struct {
	router  *Router
	client  *http.Client
	options DispatcherOptions
}

// NewDispatcher returns a dispatcher that uses the client, or a new one if the client is nil.
//
// With a transport other than that of NewTransport, only a failure before any connection
// was obtained proves that a job was not started.
func NewDispatcher(r *Router, c *http.Client, o DispatcherOptions) *Dispatcher {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if c == nil {
		c = &http.Client{Transport: NewTransport(r.options.EntryHosts)}
	}
	clientCopy := *c
	clientCopy.Timeout = 0
	clientCopy.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Dispatcher{router: r, client: &clientCopy, options: o}
}

// Request describes one job to run.
type Request struct {
	Job          string
	Service      string
	Payload      []byte
	Idempotent   bool
	Deadline     time.Time
	BeginAttempt func(attempt int) bool // called immediately before each attempt is sent; false cancels the job
	CheckSend    func() error           // called before BeginAttempt; an error prevents the send
	Lease        *Lease                 // used for the first attempt if not nil; Run releases it
}

// Result is the outcome of a job.
type Result struct {
	Outcome basilapi.Outcome
	Attempt int    // number of the last attempt; 0 if none was sent
	Answer  []byte // response body, if the Outcome is OutcomeRan
	Problem *basilapi.Problem
}

// Run sends a job until it has a final result; failures are reported in Result.Problem.
func (d *Dispatcher) Run(ctx context.Context, q Request) Result {
	if q.Deadline.IsZero() {
		q.Deadline = time.Now().Add(d.options.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	r := jobRun{dispatcher: d, request: &q}
	for {
		if result, done := r.attemptOnce(ctx); done {
			return result
		}
		if result, done := r.waitForRetry(ctx); done {
			return result
		}
	}
}

func runURL(address string) *url.URL {
	return &url.URL{Scheme: "http", Host: address, Path: basilapi.RunPath}
}

// backoffDelay returns a random delay below a bound that doubles with each attempt, up to retryMaxDelay.
func backoffDelay(attempt int) time.Duration {
	return rand.N(min(retryBaseDelay<<min(attempt-1, 16), retryMaxDelay))
}
