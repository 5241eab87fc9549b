package basilclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

const maxAnswerBytes = 64 << 20

// Options sets up a Client.
type Options struct {
	Addresses []string     // base URLs of entry hosts, tried in order
	Token     string       // bearer token of the team or operator
	HTTP      *http.Client // nil: the default client
}

// Client asks entry hosts; it is safe for concurrent use.
type Client struct{ options Options }

// NewClient returns a client of the entry hosts.
func NewClient(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	return &Client{options: o}
}

// Mint returns fresh job ids.
func (c *Client) Mint(ctx context.Context, count int) ([]basilapi.JobID, error) {
	var a basilapi.MintAnswer
	err := c.post(ctx, "/v1/job-ids", basilapi.MintRequest{Count: count}, &a)
	return a.IDs, err
}

// Submit asks for a job and returns its answer.
//
// Without an id one is minted first, so that asking again can't run the job
// twice. An entry host that gives no answer is followed by the next with Retry
// set. It fails with basilapi.ErrProblem or ErrNoAnswer.
func (c *Client) Submit(ctx context.Context, r basilapi.SubmitRequest) (basilapi.JobAnswer, error) {
	var a basilapi.JobAnswer
	if r.ID.IsZero() {
		ids, err := c.Mint(ctx, 1)
		if err != nil {
			return a, err
		}
		r.ID = ids[0]
	}
	var last error
	for _, base := range c.options.Addresses {
		last = c.ask(ctx, base, http.MethodPost, "/v1/jobs", r, &a)
		if !IsErrNoAnswer(last) {
			return a, truthful(r, last)
		}
		r.Retry = true
	}
	return a, last
}

// truthful turns a refusal that speaks of one request only into an unknown outcome when that was a repeat.
//
// A Problem that speaks of the job names it.
func truthful(r basilapi.SubmitRequest, err error) error {
	p, ok := basilapi.AsProblem(err)
	if !ok || !r.Retry || p.Outcome != basilapi.OutcomeNotRun || p.Job == r.ID {
		return err
	}
	p.Outcome = basilapi.OutcomeUnknown
	p.Job = r.ID
	return errors.WithStack(basilapi.ErrProblem{Problem: p})
}

// Job returns what is known of the job.
func (c *Client) Job(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	var a basilapi.JobAnswer
	err := c.each(ctx, http.MethodGet, "/v1/jobs/"+id.String(), nil, &a)
	return a, err
}

// Cancel ends the job if it has not started; it fails with a Problem of CodeTooLate otherwise.
func (c *Client) Cancel(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	var a basilapi.JobAnswer
	err := c.each(ctx, http.MethodDelete, "/v1/jobs/"+id.String(), nil, &a)
	return a, err
}

// Query asks one question in the operators' language.
func (c *Client) Query(ctx context.Context, text string) (basilapi.QueryAnswer, error) {
	var a basilapi.QueryAnswer
	err := c.post(ctx, "/v1/query", basilapi.OperatorRequest{Text: text}, &a)
	return a, err
}

// Command gives one command in the operators' language; without an id it gets a fresh one.
//
// An entry host that gives no answer is followed by the next with the same id,
// whose refusal then leaves the outcome unknown.
func (c *Client) Command(ctx context.Context, r basilapi.OperatorRequest) (basilapi.CommandAnswer, error) {
	if r.ID == "" {
		r.ID = ulid.Make().String()
	}
	var a basilapi.CommandAnswer
	var last error
	lost := false
	for _, base := range c.options.Addresses {
		last = c.ask(ctx, base, http.MethodPost, "/v1/command", r, &a)
		if !IsErrNoAnswer(last) {
			return a, uncertain(last, lost)
		}
		lost = true
	}
	return a, last
}

// uncertain turns a refusal into an unknown outcome when an earlier entry host may still carry the command out.
func uncertain(err error, lost bool) error {
	p, ok := basilapi.AsProblem(err)
	if !ok || !lost || p.Outcome != basilapi.OutcomeNotRun {
		return err
	}
	p.Outcome = basilapi.OutcomeUnknown
	p.Hint = "an entry host that was asked before gave no answer; give the command again with the same id"
	return errors.WithStack(basilapi.ErrProblem{Problem: p})
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	return c.each(ctx, http.MethodPost, path, in, out)
}

// each asks the entry hosts in turn until one answers; what it asks must be idempotent.
func (c *Client) each(ctx context.Context, method, path string, in, out any) error {
	var last error
	for _, base := range c.options.Addresses {
		last = c.ask(ctx, base, method, path, in, out)
		if !IsErrNoAnswer(last) {
			return last
		}
	}
	return last
}

func (c *Client) ask(ctx context.Context, base, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.WithStack(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	r.Header.Set("Content-Type", "application/json")
	if c.options.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	answer, err := c.options.HTTP.Do(r)
	if err != nil {
		return errors.WithStack(ErrNoAnswer{Path: path, Cause: err})
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return errors.WithStack(ErrNoAnswer{Path: path, Cause: err})
	}
	return decode(path, answer.StatusCode, b, out)
}

func decode(path string, status int, b []byte, out any) error {
	if status < http.StatusBadRequest {
		if json.Unmarshal(b, out) != nil {
			return errors.WithStack(ErrAnswerMalformed{Path: path, Status: status})
		}
		return nil
	}
	var p basilapi.Problem
	if json.Unmarshal(b, &p) != nil {
		return errors.WithStack(ErrAnswerMalformed{Path: path, Status: status})
	}
	return errors.WithStack(basilapi.ErrProblem{Problem: p})
}
