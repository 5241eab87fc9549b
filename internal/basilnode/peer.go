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
	shardParameter = "service"
	relayParameter = "relay" // if set, a receiver that does not own the shard stores the job itself
)

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

// forward passes a job to the shard's owner, which stores it together with others. It returns ErrQueueFull or
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
	return n.forwardTo(ctx, address, shard, false, a)
}

// forwardTo forwards a job to the entry host at the address: the shard's owner or, with relay, any that may store it directly.
func (n *Node) forwardTo(ctx context.Context, address, shard string, relay bool, a basilledger.Acceptance) error {
	if !n.peers.available(address) {
		return ErrNotForwarded{Shard: shard}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.recovery.CancelAfterWriteTime(cancel, forwardTimeout)()
	err := n.peers.accept(ctx, address, shard, relay, a)
	n.peers.recordAnswer(address, !basilplatform.IsErrOutcomeUnknown(err) && !IsErrNotForwarded(err))
	return err
}

// accept makes the request that has another entry host store a job.
func (p *peers) accept(ctx context.Context, address, shard string, relay bool, a basilledger.Acceptance) error {
	q := url.Values{shardParameter: {shard}}
	if relay {
		q.Set(relayParameter, "1")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+acceptPath+"?"+q.Encode(), bytes.NewReader(a.Body()))
	if err != nil {
		return ErrNotForwarded{Shard: shard}
	}
	response, err := p.client.Do(r)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return ErrNotForwarded{Shard: shard}
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
		return ErrNotForwarded{Shard: shard}
	case http.StatusBadGateway: // the owner can't reach the store, but this entry host may
		return ErrNotForwarded{Shard: shard}
	case http.StatusServiceUnavailable:
		return basilledger.NewErrQueueFull(shard)
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
	q := r.URL.Query()
	shard, relay := q.Get(shardParameter), q.Get(relayParameter) != ""
	o := n.owner(shard)
	if o == nil && !relay || n.storeUnreachable() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAcceptBody))
	var job basilledger.Acceptance
	if err == nil {
		job, err = basilledger.ParseAcceptance(body)
	}
	if err != nil {
		n.log.WithError(err).WithField(basillog.FieldAddress, r.RemoteAddr).Warn("cannot decode forwarded job")
		w.WriteHeader(http.StatusMisdirectedRequest) // the job is not stored
		return
	}
	if o != nil {
		err = o.acceptor.Accept(r.Context(), job)
	} else {
		err = n.acceptDirectly(r.Context(), shard, job)
	}
	switch {
	case err == nil:
	case basilledger.IsErrQueueFull(err):
		w.WriteHeader(http.StatusServiceUnavailable)
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
