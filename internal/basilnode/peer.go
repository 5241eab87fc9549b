package basilnode

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
)

const (
	acceptPath     = "/accept"
	maxAcceptBody  = 1 << 20
	forwardTimeout = 700 * time.Millisecond // shortest timeout of a forwarded job; on a slow store it is the time that a write may take
	peerBackoff    = 2 * time.Second        // how long nothing is forwarded to an entry host that did not answer

	// Parameters of acceptPath.
	shardParameter    = "service"
	gateParameter     = "gate"     // version of the gate that is the job's precondition
	relayParameter    = "relay"    // if set, the receiver stores the job under the service that it finds the queue to be assigned to
	revisionParameter = "revision" // of the configuration that routes the queue to the service; of a relay
)

// acceptRequest asks another entry host to store a job.
type acceptRequest struct {
	basilledger.Acceptance
	shard    string
	revision int64
	relay    bool
}

func (a *acceptRequest) parameters() url.Values {
	q := url.Values{shardParameter: {a.shard}}
	if a.relay {
		q.Set(relayParameter, "1")
		q.Set(revisionParameter, strconv.FormatInt(a.revision, 10))
		return q
	}
	q.Set(gateParameter, strconv.FormatInt(a.Gate(), 10))
	return q
}

// parseAcceptRequest decodes the request for a job that another entry host sent.
func parseAcceptRequest(q url.Values, body []byte) (acceptRequest, error) {
	a := acceptRequest{shard: q.Get(shardParameter), relay: q.Get(relayParameter) != ""}
	var err error
	if a.Acceptance, err = basilledger.ParseAcceptance(body); err != nil {
		return a, err
	}
	if a.relay {
		a.revision, err = strconv.ParseInt(q.Get(revisionParameter), 10, 64)
		return a, errors.Wrap(err, "invalid revision")
	}
	gate, err := strconv.ParseInt(q.Get(gateParameter), 10, 64)
	a.Acceptance = a.WithGate(gate)
	return a, errors.Wrap(err, "invalid gate")
}

// ErrNotForwarded is returned when a job could not be forwarded, so that the shard's owner doesn't store it.
type ErrNotForwarded struct{ Shard string }

func (e ErrNotForwarded) Error() string { return "job not forwarded [shard: " + e.Shard + "]" }

// IsErrNotForwarded reports whether the error is an ErrNotForwarded.
func IsErrNotForwarded(err error) bool { return errors.As(err, new(ErrNotForwarded)) }

// peers is the client for forwarding jobs to other entry hosts.
type peers struct {
	client       *http.Client         // if nil, no jobs are forwarded
	mutex        sync.Mutex           // guards unansweredAt
	unansweredAt map[string]time.Time // when an entry host last failed to answer, by address
}

func newPeers(t http.RoundTripper) *peers {
	p := &peers{unansweredAt: make(map[string]time.Time)}
	if t != nil {
		p.client = &http.Client{Transport: t}
	}
	return p
}

// available reports whether to try an entry host, which is not so for a while after it failed to answer.
func (p *peers) available(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.client != nil && address != "" && time.Since(p.unansweredAt[address]) >= peerBackoff
}

// recordAnswer records whether an entry host answered.
func (p *peers) recordAnswer(address string, answered bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answered {
		delete(p.unansweredAt, address)
		return
	}
	p.unansweredAt[address] = time.Now()
}

// forward passes a job to the shard's owner, which stores it together with others. It returns ErrQueueFull, ErrAssignmentChanged or
// ErrNotForwarded when the owner has not stored the job and never will, and ErrOutcomeUnknown when it may have.
func (n *Node) forward(ctx context.Context, shard string, a basilledger.Acceptance) error {
	if o := n.owner(shard); o != nil {
		err := o.acceptor.Accept(ctx, a)
		if basilplatform.IsErrUnavailable(err) && !basilledger.IsErrQueueFull(err) {
			return ErrNotForwarded{Shard: shard}
		}
		return err
	}
	_, address := n.keeper.Owner(shard)
	return n.send(ctx, address, acceptRequest{shard: shard, Acceptance: a})
}

// send has the entry host at the address store a job: the shard's owner or, with relay, any.
func (n *Node) send(ctx context.Context, address string, a acceptRequest) error {
	if !n.peers.available(address) {
		return ErrNotForwarded{Shard: a.shard}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.recovery.CancelAfterWriteTime(cancel, forwardTimeout)()
	err := n.peers.accept(ctx, address, a)
	n.peers.recordAnswer(address, !basilplatform.IsErrOutcomeUnknown(err) && !IsErrNotForwarded(err))
	return err
}

// accept makes the request that has another entry host store a job.
func (p *peers) accept(ctx context.Context, address string, a acceptRequest) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+acceptPath+"?"+a.parameters().Encode(), bytes.NewReader(a.Body()))
	if err != nil {
		return ErrNotForwarded{Shard: a.shard}
	}
	response, err := p.client.Do(r)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return ErrNotForwarded{Shard: a.shard}
	}
	if err != nil {
		return errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: acceptPath, Cause: err})
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters; a broken connection isn't reused
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusMisdirectedRequest:
		return ErrNotForwarded{Shard: a.shard}
	case http.StatusBadGateway: // the owner can't reach the store, but this entry host may
		return ErrNotForwarded{Shard: a.shard}
	case http.StatusServiceUnavailable:
		return basilledger.NewErrQueueFull(a.shard)
	case http.StatusConflict:
		record := a.Record()
		return errors.WithStack(basilledger.ErrAssignmentChanged{Queue: record.Job.Queue})
	}
	return errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: acceptPath, Cause: ErrPeerResponse{Status: response.StatusCode}})
}

// ErrPeerResponse is returned for a response of another entry host that doesn't tell whether the job is stored.
type ErrPeerResponse struct{ Status int }

func (e ErrPeerResponse) Error() string {
	return "inconclusive response from peer [status: " + strconv.Itoa(e.Status) + "]"
}

// Peer returns the handler for requests of other entry hosts.
func (n *Node) Peer() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+acceptPath, n.serveAccept)
	return mux
}

// serveAccept stores a job that another entry host forwards, if this one owns the job's shard or the request is a relay.
func (n *Node) serveAccept(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAcceptBody))
	var a acceptRequest
	if err == nil {
		a, err = parseAcceptRequest(r.URL.Query(), body)
	}
	if err != nil {
		n.log.WithError(err).WithField(basillog.FieldAddress, r.RemoteAddr).Warn("cannot decode forwarded job")
		w.WriteHeader(http.StatusMisdirectedRequest) // the job is not stored
		return
	}
	o := n.owner(a.shard)
	if o == nil && !a.relay || n.storeUnreachable() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if a.relay {
		record := a.Record()
		err = n.acceptRelayed(r.Context(), queueRoute{key: record.Job.QueueKey(), name: record.Job.Queue, service: a.shard, revision: a.revision}, a.Acceptance)
	} else {
		err = o.acceptor.Accept(r.Context(), a.Acceptance)
	}
	switch {
	case err == nil:
	case basilledger.IsErrQueueFull(err):
		w.WriteHeader(http.StatusServiceUnavailable)
	case basilledger.IsErrAssignmentChanged(err):
		w.WriteHeader(http.StatusConflict)
	case basilplatform.IsErrUnavailable(err):
		w.WriteHeader(http.StatusBadGateway)
	default:
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// owner returns the owner of a pool's shard if it is this entry host, or nil.
func (n *Node) owner(shard string) *owner {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.owners[shard]
}
