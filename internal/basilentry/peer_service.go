package basilentry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilpeer"
	"basilstage.example/basilstage/internal/basilsettings"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Periods and limits of the exchange with peers.
const (
	sponsorPeriod = time.Second
	askLimit      = time.Second
	stateLimit    = 5 * time.Second
	peerJobLimit  = 10 * time.Minute
)

// audience tells which peers hear an announcement.
type audience func(self, peer basilpeer.Peer) bool

func everyone(_, _ basilpeer.Peer) bool { return true }

func sameDataCentre(self, peer basilpeer.Peer) bool { return self.DataCentre == peer.DataCentre }

// peerService exchanges news, forwarded jobs and sponsorship with other entry hosts.
type peerService struct {
	self    basilpeer.Peer
	known   []basilpeer.Peer // from the settings
	mesh    *basilpeer.Mesh
	control *basilview.Control
	jobs    *jobService
	demand  *demandService

	mutex    sync.Mutex
	stopping bool
	sequence int64
	revision int64
	newest   int64 // the highest audit sequence that a peer has applied
}

func newPeerService(s basilsettings.Settings) *peerService {
	p := &peerService{self: basilpeer.Peer{ID: s.Member(), DataCentre: s.DataCentre(), Address: s.PeerAddress()}}
	for _, k := range s.Peers() {
		p.known = append(p.known, basilpeer.Peer{ID: k.ID, DataCentre: k.DataCentre, Address: k.Address})
	}
	return p
}

func (p *peerService) bind(m *basilpeer.Mesh, c *basilview.Control, j *jobService, d *demandService) {
	p.mesh = m
	p.control = c
	p.jobs = j
	p.demand = d
	m.SetPeers(p.known)
}

// published keeps the mesh to the registered members and those of the settings.
func (p *peerService) published(v *basilview.View) {
	peers := make(map[string]basilpeer.Peer)
	for _, k := range p.known {
		peers[k.ID] = k
	}
	for _, m := range v.Members() {
		peers[m.ID()] = basilpeer.Peer{ID: m.ID(), DataCentre: m.DataCentre(), Address: m.Record().Peer}
	}
	delete(peers, p.self.ID)
	all := make([]basilpeer.Peer, 0, len(peers))
	for _, k := range peers {
		all = append(all, k)
	}
	p.mesh.SetPeers(all)
	p.mutex.Lock()
	p.sequence = v.Sequence()
	p.revision = v.Configuration().Revision()
	p.mutex.Unlock()
	p.mesh.Broadcast(p.delta())
}

// delta returns what this entry host has in force.
func (p *peerService) delta() basilpeer.Delta {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return basilpeer.Delta{
		Sequence: p.sequence, Revision: p.revision, Stopping: p.stopping,
		Ready: !p.stopping && p.control.Check(time.Now()) == nil,
	}
}

func (p *peerService) announceEntries(entries []basilaudit.Entry, to audience) {
	d := p.delta()
	d.Entries = encodeEntries(entries)
	for _, s := range p.mesh.Status() {
		if to(p.self, s.Peer) {
			p.mesh.Send(s.Peer.ID, d)
		}
	}
}

func (p *peerService) announceLeaving(host string, epoch int64) {
	d := p.delta()
	d.Leaving = []basilpeer.LeavingHost{{Host: host, Epoch: epoch}}
	p.mesh.Broadcast(d)
}

// announceLoad tells all peers what this entry host is asked for, in slots by pool.
func (p *peerService) announceLoad(slots map[string]int) {
	d := p.delta()
	for pool, n := range slots {
		d.Load = append(d.Load, basilpeer.PoolLoad{Pool: pool, Slots: n})
	}
	p.mesh.Broadcast(d)
}

func (p *peerService) announceStopping() {
	p.mutex.Lock()
	p.stopping = true
	p.mutex.Unlock()
	p.mesh.Broadcast(p.delta())
}

// Copy hands final answers to the other entry hosts of the data centre.
func (p *peerService) Copy(answers []basilapi.JobAnswer) {
	d := p.delta()
	for _, a := range answers {
		b, err := json.Marshal(a)
		if err == nil {
			d.Answers = append(d.Answers, b)
		}
	}
	for _, s := range p.mesh.Status() {
		if sameDataCentre(p.self, s.Peer) {
			p.mesh.Send(s.Peer.ID, d)
		}
	}
}

// Locate finds the linked peer that runs as the incarnation.
func (p *peerService) Locate(incarnation ulid.ULID) (string, bool) {
	for _, s := range p.mesh.Status() {
		if s.Incarnation == incarnation.String() {
			return s.Peer.ID, true
		}
	}
	for _, m := range p.control.View().Members() {
		if m.Incarnation() == incarnation && m.ID() != p.self.ID {
			return m.ID(), true
		}
	}
	return "", false
}

// Delta takes what is new at a peer.
func (p *peerService) Delta(from basilpeer.Peer, d basilpeer.Delta) {
	p.mutex.Lock()
	p.newest = max(p.newest, d.Sequence)
	p.mutex.Unlock()
	entries := make([]basilaudit.Entry, 0, len(d.Entries))
	for _, b := range d.Entries {
		var x basilaudit.Entry
		if json.Unmarshal(b, &x) == nil {
			entries = append(entries, x)
		}
	}
	if len(entries) > 0 {
		p.control.Entries(entries)
	} else if d.Sequence > p.control.View().Sequence() {
		p.control.Behind()
	}
	for _, l := range d.Leaving {
		p.control.Leaving(l.Host, l.Epoch)
	}
	p.keep(d.Answers)
	if len(d.Load) > 0 {
		p.demand.hear(from.ID, d.Load, time.Now())
	}
}

func (p *peerService) keep(encoded [][]byte) {
	answers := make([]basilapi.JobAnswer, 0, len(encoded))
	for _, b := range encoded {
		var a basilapi.JobAnswer
		if json.Unmarshal(b, &a) == nil {
			answers = append(answers, a)
		}
	}
	if len(answers) > 0 {
		p.jobs.copies.Put(answers)
	}
}

// Request handles what another entry host asks for.
func (p *peerService) Request(ctx context.Context, from basilpeer.Peer, r basilpeer.Request) (basilpeer.Response, error) {
	switch r.Kind {
	case basilpeer.RequestKindState:
		b, err := json.Marshal(p.control.View().Snapshot())
		return basilpeer.Response{Body: b}, errors.WithStack(err)
	case basilpeer.RequestKindSponsor:
		return p.sponsor(from, r.Body)
	}
	ctx, cancel := context.WithTimeout(ctx, peerJobLimit)
	defer cancel()
	return p.jobs.serve(ctx, r.Kind, r.Body)
}

// sponsorRequest tells a sponsor what the entry host that it vouches for has applied.
type sponsorRequest struct {
	Incarnation string `json:"incarnation"`
	Applied     int64  `json:"applied"`
}

// sponsor vouches for an entry host of this data centre while this one is registered.
func (p *peerService) sponsor(from basilpeer.Peer, body []byte) (basilpeer.Response, error) {
	var r sponsorRequest
	v := p.control.View()
	if json.Unmarshal(body, &r) != nil || from.DataCentre != p.self.DataCentre ||
		v.Standing() != basilview.StandingMember || p.control.Check(time.Now()) != nil {
		return basilpeer.Response{}, errors.WithStack(basilpeer.ErrRequestRefused{Peer: p.self.ID, Detail: "not a member"})
	}
	p.control.Sponsor(r.Incarnation, r.Applied)
	return basilpeer.Response{}, nil
}

// run looks for a view and a sponsor while the table gives none.
func (p *peerService) run(ctx context.Context) {
	every(ctx, sponsorPeriod, func(ctx context.Context) {
		switch p.control.View().Standing() {
		case basilview.StandingStarting:
			p.fetchState(ctx)
		case basilview.StandingUnconfirmed, basilview.StandingSponsored:
			p.seekSponsor(ctx)
		}
		p.catchUp(ctx)
	})
}

// catchUp takes a peer's view when it is ahead and the table does not answer.
func (p *peerService) catchUp(ctx context.Context) {
	p.mutex.Lock()
	newest := p.newest
	p.mutex.Unlock()
	v := p.control.View()
	if v.Standing() != basilview.StandingStarting && newest > v.Sequence() && !v.Fresh(time.Now()) {
		p.fetchState(ctx)
	}
}

// fetchState takes the newest view that a peer has.
func (p *peerService) fetchState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateLimit)
	defer cancel()
	for _, s := range p.mesh.Status() {
		if !s.Connected {
			continue
		}
		r, err := p.mesh.Ask(ctx, s.Peer.ID, basilpeer.Request{Kind: basilpeer.RequestKindState})
		if err != nil {
			continue
		}
		var x basilview.Snapshot
		if json.Unmarshal(r.Body, &x) == nil && x.Sequence > 0 {
			p.control.Snapshot(x)
		}
	}
}

func (p *peerService) seekSponsor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	body, err := json.Marshal(sponsorRequest{
		Incarnation: p.control.Incarnation().String(), Applied: p.control.View().Sequence(),
	})
	if err != nil {
		return
	}
	for _, s := range p.mesh.Status() {
		if !s.Connected || !sameDataCentre(p.self, s.Peer) {
			continue
		}
		began := time.Now()
		if _, err := p.mesh.Ask(ctx, s.Peer.ID, basilpeer.Request{Kind: basilpeer.RequestKindSponsor, Body: body}); err == nil {
			p.control.Sponsored(s.Peer.ID, began)
			return
		}
	}
}
