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
	acceptBody     = 1 << 20
	forwardTime    = 700 * time.Millisecond // of a forwarded job, on a slow store too, that answers in some 400 ms
	forwardPause   = 2 * time.Second        // without forwarding to an entry host that did not answer
	parameterShard = "service"
	parameterRelay = "relay" // the receiver writes the job itself if it does not own the shard
)

// ErrNotForwarded says that no owner of the shard stores a job that was to be forwarded.
type ErrNotForwarded struct{ Shard string }

func (e ErrNotForwarded) Error() string { return "job not forwarded [shard: " + e.Shard + "]" }

// IsErrNotForwarded tells whether the error is an ErrNotForwarded.
func IsErrNotForwarded(err error) bool { return errors.As(err, new(ErrNotForwarded)) }

// peers are the other entry hosts, as far as jobs are forwarded to them.
type peers struct {
	client *http.Client // nil forwards nothing
	mutex  sync.Mutex   // guards silent
	silent map[string]time.Time
}

func newPeers(t http.RoundTripper) *peers {
	p := &peers{silent: make(map[string]time.Time)}
	if t != nil {
		p.client = &http.Client{Transport: t}
	}
	return p
}

// answers tells whether an entry host is worth asking.
func (p *peers) answers(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.client != nil && address != "" && time.Since(p.silent[address]) >= forwardPause
}

func (p *peers) note(address string, answered bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answered {
		delete(p.silent, address)
		return
	}
	p.silent[address] = time.Now()
}

// forward has the shard's owner store a job together with others. It fails with ErrLineFull or ErrNotForwarded when the
// job is not stored and never will be by the owner, and with ErrOutcomeUnknown when it may be.
func (n *Node) forward(ctx context.Context, shard string, a basilledger.Acceptance) error {
	if o := n.owner(shard); o != nil {
		err := o.acceptor.Accept(ctx, a)
		if basilplatform.IsErrUnavailable(err) && !basilledger.IsErrLineFull(err) {
			return ErrNotForwarded{Shard: shard}
		}
		return err
	}
	_, address := n.keeper.Holder(shard)
	return n.sendTo(ctx, address, shard, false, a)
}

// sendTo has the entry host at the address store a job: the shard's owner, or one that is to write it by itself.
func (n *Node) sendTo(ctx context.Context, address, shard string, relay bool, a basilledger.Acceptance) error {
	if !n.peers.answers(address) {
		return ErrNotForwarded{Shard: shard}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	err := n.peers.accept(ctx, address, shard, relay, a)
	n.peers.note(address, !basilplatform.IsErrOutcomeUnknown(err) && !IsErrNotForwarded(err))
	return err
}

// accept sends a job to another entry host.
func (p *peers) accept(ctx context.Context, address, shard string, relay bool, a basilledger.Acceptance) error {
	q := url.Values{parameterShard: {shard}}
	if relay {
		q.Set(parameterRelay, "1")
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
	_, _ = io.Copy(io.Discard, response.Body) // the status says it all; a connection that broke is not used again
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusMisdirectedRequest:
		return ErrNotForwarded{Shard: shard}
	case http.StatusBadGateway: // the owner does not reach the store, this entry host may
		return ErrNotForwarded{Shard: shard}
	case http.StatusServiceUnavailable:
		return basilledger.NewErrLineFull(shard)
	}
	return errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: acceptPath, Cause: ErrPeerAnswer{Status: response.StatusCode}})
}

// ErrPeerAnswer says that another entry host gave an answer that tells nothing.
type ErrPeerAnswer struct{ Status int }

func (e ErrPeerAnswer) Error() string {
	return "answer of a peer [status: " + strconv.Itoa(e.Status) + "]"
}

// Peer returns the handler of other entry hosts' requests.
func (n *Node) Peer() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+acceptPath, n.serveAccept)
	return mux
}

// serveAccept stores a job that another entry host forwards, if this one owns its shard or is asked to all the same.
func (n *Node) serveAccept(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	shard, relay := q.Get(parameterShard), q.Get(parameterRelay) != ""
	o := n.owner(shard)
	if o == nil && !relay || n.storeAway() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, acceptBody))
	var job basilledger.Acceptance
	if err == nil {
		job, err = basilledger.ParseAcceptance(body)
	}
	if err != nil {
		n.log.WithError(err).WithField(basillog.FieldAddress, r.RemoteAddr).Warn("forwarded job unreadable")
		w.WriteHeader(http.StatusMisdirectedRequest) // nothing was done
		return
	}
	if o != nil {
		err = o.acceptor.Accept(r.Context(), job)
	} else {
		err = n.write(r.Context(), shard, job)
	}
	switch {
	case err == nil:
	case basilledger.IsErrLineFull(err):
		w.WriteHeader(http.StatusServiceUnavailable)
	case basilplatform.IsErrUnavailable(err):
		w.WriteHeader(http.StatusBadGateway)
	default:
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// owner returns the owner of a pool that this entry host is, or nil.
func (n *Node) owner(shard string) *owner {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.owners[shard]
}
