package basilfleet

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
)

const (
	operationStatus = "task status"
	operationStop   = "stop task"
	fieldState      = "state"
)

// Tasks is a basilplatform.Tasks over HTTP; addresses are IP:port.
type Tasks struct{ caller caller }

var _ basilplatform.Tasks = (*Tasks)(nil)

// NewTasks returns tasks over the client; a nil client is one of its own.
func NewTasks(c *http.Client) *Tasks { return &Tasks{caller: newCaller(c)} }

func taskURL(address, path string) string { return "http://" + address + path }

// Start asks the worker to run one attempt; a repeat starts nothing.
func (t *Tasks) Start(ctx context.Context, address string, x basilplatform.Task) error {
	_, err := command[EmptyAnswer](ctx, t.caller, "start task", taskURL(address, PathTasks), x)
	return err
}

// Renew extends the lease of an attempt.
func (t *Tasks) Renew(ctx context.Context, address, job string, attempt int, lease time.Duration) error {
	r := RenewRequest{AttemptRequest: AttemptRequest{Job: job, Attempt: attempt}, LeaseMillis: lease.Milliseconds()}
	_, err := command[EmptyAnswer](ctx, t.caller, "renew task", taskURL(address, PathTaskRenew), r)
	return err
}

// Status returns what the worker says of an attempt; it fails with ErrUnavailable or ErrRefused.
func (t *Tasks) Status(ctx context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error) {
	parameters := url.Values{ParameterJob: {job}, ParameterAttempt: {strconv.Itoa(attempt)}}
	target := taskURL(address, PathTaskStatus) + "?" + parameters.Encode()
	answer, err := query[StatusAnswer](ctx, t.caller, operationStatus, target)
	if err != nil {
		return basilplatform.TaskStatus{}, err
	}
	if answer.State == nil {
		return basilplatform.TaskStatus{}, incomplete(operationStatus, fieldState)
	}
	return answer.status(), nil
}

// Stop ends the attempt or voids it for good, and returns its final state.
func (t *Tasks) Stop(ctx context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error) {
	r := AttemptRequest{Job: job, Attempt: attempt}
	answer, err := command[StatusAnswer](ctx, t.caller, operationStop, taskURL(address, PathTaskStop), r)
	if err != nil {
		return basilplatform.TaskStatus{}, err
	}
	if answer.State == nil {
		return basilplatform.TaskStatus{}, basilplatform.ErrOutcomeUnknown{Operation: operationStop, Cause: ErrFieldMissing{Field: fieldState}}
	}
	return answer.status(), nil
}

// Checkpoint asks the worker to save how far the attempt has come; Status then returns it.
func (t *Tasks) Checkpoint(ctx context.Context, address, job string, attempt int) error {
	r := AttemptRequest{Job: job, Attempt: attempt}
	_, err := command[EmptyAnswer](ctx, t.caller, "checkpoint task", taskURL(address, PathTaskCheckpoint), r)
	return err
}

// Throttle limits the attempt to the given share of its cores, 0 to 1.
func (t *Tasks) Throttle(ctx context.Context, address, job string, attempt int, share float64) error {
	r := ThrottleRequest{AttemptRequest: AttemptRequest{Job: job, Attempt: attempt}, Share: share}
	_, err := command[EmptyAnswer](ctx, t.caller, "throttle task", taskURL(address, PathTaskThrottle), r)
	return err
}

func (a StatusAnswer) status() basilplatform.TaskStatus {
	s := a.TaskStatus
	s.State = *a.State
	return s
}
