package basilentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilpeer"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilqueue"
	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits of jobs.
const (
	defaultJobTimeout = 30 * time.Second
	maxMintCount      = 1000
	maxForwards       = 1 // a job id names its minter, so one hop is enough
)

// asker sends requests to other entry hosts.
type asker interface {
	Ask(ctx context.Context, peer string, r basilpeer.Request) (basilpeer.Response, error)
}

// locator finds the peer that runs as an incarnation.
type locator interface {
	Locate(incarnation ulid.ULID) (peer string, ok bool)
}

// jobService decides where a job is decided: here, at the entry host that minted its id, or in the table.
type jobService struct {
	control    *basilview.Control
	registry   *basiljob.Registry
	copies     *basiljob.Copies
	long       *basiljob.LongJobs
	queues     *basilqueue.Queues
	dispatcher *basilrouter.Dispatcher
	table      basilplatform.Table
	peers      asker
	locator    locator
}

// Mint returns fresh job ids.
func (s *jobService) Mint(count int) ([]basilapi.JobID, error) {
	if count < 1 || count > maxMintCount {
		return nil, refuse(basilapi.CodeMalformed, "count is out of range", "ask for 1 to 1000 ids", 0)
	}
	return s.registry.Mint(count), nil
}

// Submit runs a team's short job or accepts its long one; forwards counts the hops that the request has made.
func (s *jobService) Submit(ctx context.Context, team string, r basilapi.SubmitRequest, forwards int) (basilapi.JobAnswer, error) {
	if len(r.Payload) > basilapi.MaxPayloadBytes {
		return basilapi.JobAnswer{ID: r.ID}, refuseJob(r, refuse(basilapi.CodeBodyTooLarge, "the payload is too large", "send at most 256 KiB", 0))
	}
	declared, ok := s.control.View().Configuration().Service(r.Service)
	if !ok {
		return basilapi.JobAnswer{ID: r.ID}, refuseJob(r, refuse(basilapi.CodeUnknownService, "no such service: "+r.Service, "list the services", 0))
	}
	if r.ID.IsZero() {
		r.ID = s.registry.Mint(1)[0]
	}
	if declared.Class == basilmodel.ServiceClassLong {
		if err := s.charge(team, r); err != nil {
			return basilapi.JobAnswer{ID: r.ID}, err
		}
		return s.long.Accept(ctx, r)
	}
	if r.ID.Incarnation() == s.registry.Incarnation() {
		return s.registry.Submit(ctx, r, s.runFor(team))
	}
	peer, ok := s.locator.Locate(r.ID.Incarnation())
	if !ok || forwards >= maxForwards {
		return basiljob.SubmitAfterMinterGone(ctx, r, s.copies, s.table)
	}
	a, err := s.forwardSubmit(ctx, peer, forwarded{Team: team, Submit: r, ID: r.ID, Forwards: forwards + 1})
	if basilpeer.IsErrPeerUnreachable(err) {
		return basiljob.SubmitAfterMinterGone(ctx, r, s.copies, s.table)
	}
	return a, err
}

// refuseJob tells the refusal of a submit by an entry host that does not decide on the job.
//
// The first submit was not run. A repeat says nothing of the submits before it.
func refuseJob(r basilapi.SubmitRequest, err error) error {
	p := problemOf(err)
	p.Job = r.ID
	if r.Retry {
		p.Outcome = basilapi.OutcomeUnknown
		p.AskAt = basiljob.AskAt(r.ID)
	}
	return errors.WithStack(basilapi.ErrProblem{Problem: p})
}

func (s *jobService) timeout(service string) time.Duration {
	declared, _ := s.control.View().Configuration().Service(service)
	if declared.TimeoutMillis > 0 {
		return time.Duration(declared.TimeoutMillis) * time.Millisecond
	}
	return defaultJobTimeout
}

// Get returns what is known of the job.
func (s *jobService) Get(ctx context.Context, id basilapi.JobID, forwards int) (basilapi.JobAnswer, error) {
	if id.Incarnation() == s.registry.Incarnation() {
		return s.getOwn(ctx, id)
	}
	if a, ok := s.copies.Get(id); ok {
		return a, nil
	}
	peer, ok := s.locator.Locate(id.Incarnation())
	if ok && forwards < maxForwards {
		a, err := s.forwardID(ctx, peer, basilpeer.RequestKindAnswer, id)
		if err == nil {
			return a, nil
		}
	}
	a, err := s.long.Get(ctx, id)
	if basiljob.IsErrJobNotExist(err) || basilplatform.IsErrUnavailable(err) {
		return basiljob.AnswerAfterMinterGone(ctx, id, s.copies, s.table)
	}
	return a, err
}

// getOwn looks for a job whose id was minted here: among the short jobs, then the long ones.
func (s *jobService) getOwn(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	if !s.registry.Holds(id) {
		a, err := s.long.Get(ctx, id)
		if !basiljob.IsErrJobNotExist(err) {
			return a, err
		}
	}
	a, ok := s.registry.Answer(id)
	if !ok {
		return a, errors.WithStack(basiljob.ErrJobNotExist{ID: id})
	}
	return a, nil
}

// cancelOwn ends a job whose id was minted here; an id that names no long job is voided.
func (s *jobService) cancelOwn(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	if !s.registry.Holds(id) {
		a, err := s.long.Cancel(ctx, id)
		if !basiljob.IsErrJobNotExist(err) {
			return a, err
		}
	}
	return s.registry.Cancel(id)
}

// Cancel ends the job if it has not started.
func (s *jobService) Cancel(ctx context.Context, id basilapi.JobID, forwards int) (basilapi.JobAnswer, error) {
	if id.Incarnation() == s.registry.Incarnation() {
		return s.cancelOwn(ctx, id)
	}
	peer, ok := s.locator.Locate(id.Incarnation())
	if ok && forwards < maxForwards {
		return s.forwardID(ctx, peer, basilpeer.RequestKindCancel, id)
	}
	return s.long.Cancel(ctx, id)
}

// forwarded is the body of a request that travels between entry hosts.
type forwarded struct {
	Submit   basilapi.SubmitRequest `json:"submit,omitzero"`
	ID       basilapi.JobID         `json:"id,omitzero"`
	Team     string                 `json:"team,omitempty"`
	Forwards int                    `json:"forwards"`
}

// forwardedAnswer is the body of its response.
type forwardedAnswer struct {
	Answer  basilapi.JobAnswer `json:"answer"`
	Problem *basilapi.Problem  `json:"problem,omitempty"`
}

func (s *jobService) forwardSubmit(ctx context.Context, peer string, f forwarded) (basilapi.JobAnswer, error) {
	a, err := s.forward(ctx, peer, basilpeer.RequestKindSubmit, f)
	if basilpeer.IsErrAnswerLost(err) {
		return basilapi.JobAnswer{ID: f.ID}, lost(f.ID)
	}
	return a, err
}

func (s *jobService) forwardID(ctx context.Context, peer string, k basilpeer.RequestKind, id basilapi.JobID) (basilapi.JobAnswer, error) {
	a, err := s.forward(ctx, peer, k, forwarded{ID: id, Forwards: maxForwards})
	if basilpeer.IsErrAnswerLost(err) || basilpeer.IsErrPeerUnreachable(err) {
		return basilapi.JobAnswer{ID: id}, lost(id)
	}
	return a, err
}

// lost is the answer for a job whose minter may have had the request but did not answer.
func lost(id basilapi.JobID) error {
	return errors.WithStack(basilapi.ErrProblem{Problem: basilapi.Problem{
		Code: basilapi.CodeOutcomeUnknown, Outcome: basilapi.OutcomeUnknown, Job: id,
		Message: "the entry host that decides on the job did not answer", Hint: "ask again with the same id",
		RetryAfterMS: retryStale.Milliseconds(), AskAt: basiljob.AskAt(id),
	}})
}

func (s *jobService) forward(ctx context.Context, peer string, k basilpeer.RequestKind, f forwarded) (basilapi.JobAnswer, error) {
	body, err := json.Marshal(f)
	if err != nil {
		return basilapi.JobAnswer{}, errors.WithStack(err)
	}
	r, err := s.peers.Ask(ctx, peer, basilpeer.Request{Kind: k, Body: body})
	if err != nil {
		return basilapi.JobAnswer{}, err
	}
	var a forwardedAnswer
	if json.Unmarshal(r.Body, &a) != nil {
		return basilapi.JobAnswer{}, lost(f.ID)
	}
	if a.Problem != nil {
		return a.Answer, errors.WithStack(basilapi.ErrProblem{Problem: *a.Problem})
	}
	return a.Answer, nil
}

// serve answers a request that another entry host has forwarded.
func (s *jobService) serve(ctx context.Context, k basilpeer.RequestKind, body []byte) (basilpeer.Response, error) {
	var f forwarded
	if err := json.Unmarshal(body, &f); err != nil {
		return basilpeer.Response{}, refuse(basilapi.CodeMalformed, "the forwarded request can't be read", "", 0)
	}
	var a forwardedAnswer
	var err error
	switch k {
	case basilpeer.RequestKindSubmit:
		a.Answer, err = s.Submit(ctx, f.Team, f.Submit, f.Forwards)
	case basilpeer.RequestKindCancel:
		a.Answer, err = s.Cancel(ctx, f.ID, f.Forwards)
	default:
		a.Answer, err = s.Get(ctx, f.ID, f.Forwards)
	}
	if err != nil {
		p := problemOf(err)
		a.Problem = &p
	}
	b, err := json.Marshal(a)
	return basilpeer.Response{Body: b}, errors.WithStack(err)
}
