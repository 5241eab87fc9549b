package basilentry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilcommand"
	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilkeys"
	"basilstage.example/basilstage/internal/basilpeer"
	"basilstage.example/basilstage/internal/basilplacement"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilquery"
	"basilstage.example/basilstage/internal/basilqueue"
	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/internal/basilsettings"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/internal/basilwave"
)

// Entry is one entry host.
type Entry struct {
	settings basilsettings.Settings
	log      *logrus.Logger
	ports    Ports
	trail    *basilaudit.Trail
	pools    *basilpool.Pools
	waves    *basilwave.Waves
	control  *basilview.Control
	router   *basilrouter.Router
	routes   *routes
	queues   *basilqueue.Queues
	registry *basiljob.Registry
	copier   *basiljob.TableCopier
	long     *basiljob.LongJobs
	placer   *basilplacement.Placer
	mesh     *basilpeer.Mesh
	peers    *peerService
	jobs     *jobService
	demand   *demandService
	fleet    *fleetService
	queries  *basilquery.Queries
	commands *basilcommand.Commands
	metrics  *metrics
	stopping atomic.Bool
}

// Options sets up an Entry.
type Options struct {
	Settings basilsettings.Settings
	Ports    Ports
	Log      *logrus.Logger
	Gate     func(peer string) bool // see basilpeer.Options
}

// New returns an entry host that serves nothing until Run; it fails with basilkeys.ErrKeysInvalid.
func New(o Options) (*Entry, error) {
	keys := o.Settings.PeerTLS()
	tls, err := basilkeys.LoadTLS(keys.CA, keys.Certificate, keys.Key)
	if err != nil {
		return nil, err
	}
	incarnation := ulid.Make()
	e := &Entry{settings: o.Settings, log: o.Log, ports: o.Ports, trail: basilaudit.NewTrail(o.Ports.Table)}
	e.pools = basilpool.NewPools(e.trail)
	e.waves = basilwave.NewWaves(e.trail)
	e.peers = newPeerService(o.Settings)
	e.mesh = basilpeer.NewMesh(basilpeer.Options{
		Self: e.peers.self, Incarnation: incarnation.String(), TLS: tls, Handler: e.peers, Logger: o.Log, Gate: o.Gate,
	})
	e.wireControl(incarnation)
	e.wireJobs(incarnation)
	e.demand = newDemandService(e.queues, e.peers)
	e.peers.bind(e.mesh, e.control, e.jobs, e.demand)
	e.trail.Observe(e.committed)
	e.fleet = newFleetService(e)
	e.queries = newQueries(e)
	e.commands = newCommands(e)
	e.metrics = newMetrics(e)
	return e, nil
}

func (e *Entry) wireControl(incarnation ulid.ULID) {
	s := e.settings
	e.router = basilrouter.NewRouter(basilrouter.RouterOptions{
		DataCentre: s.DataCentre(),
		EntryHosts: len(s.Peers()) + 1,
		OnLeaving:  e.leaving,
	})
	e.routes = newRoutes(e.router, s.DataCentre())
	e.queues = basilqueue.NewQueues(basilqueue.Options{Capacity: places{router: e.router}})
	e.placer = basilplacement.NewPlacer(workerFleet{
		view: func() *basilview.View { return e.control.View() }, dataCentre: s.DataCentre(),
	}, s.DataCentre(), rand.IntN)
	e.control = basilview.NewControl(basilview.Options{
		Member: basilview.MemberRecord{
			ID: s.Member(), DataCentre: s.DataCentre(), Incarnation: incarnation,
			HTTP: s.HTTPAddress(), Peer: s.PeerAddress(),
		},
		Trail:   e.trail,
		Hosts:   e.pools,
		List:    taughtList{HostList: e.ports.List, learn: e.placer.Learn},
		Publish: e.publish,
		Learnt:  e.relay,
	})
}

func (e *Entry) wireJobs(incarnation ulid.ULID) {
	copies := basiljob.NewCopies(basiljob.CopiesOptions{})
	e.copier = basiljob.NewTableCopier(e.ports.Table, e.settings.DataCentre())
	e.registry = basiljob.NewRegistry(e.settings.DataCentre(), incarnation, basiljob.RegistryOptions{
		Copiers: []basiljob.Copier{e.peers, e.copier},
	})
	e.long = basiljob.NewLongJobs(e.ports.Table, e.ports.Tasks, basiljob.LongOptions{
		DataCentre: e.settings.DataCentre(), Incarnation: incarnation, Neighbours: neighbours(e.settings),
		Placer: e.placer, Members: members{control: e.control},
	})
	e.jobs = &jobService{
		control: e.control, registry: e.registry, copies: copies, long: e.long, table: e.ports.Table,
		queues:     e.queues,
		dispatcher: basilrouter.NewDispatcher(e.router, nil, basilrouter.DispatcherOptions{RequireEcho: true}),
		peers:      e.mesh, locator: e.peers,
	}
}

// workUrgent starts urgent long jobs, which wait for no other pass, until the context ends.
func (e *Entry) workUrgent(ctx context.Context) {
	every(ctx, urgentPeriod, func(ctx context.Context) {
		if e.control.Check(time.Now()) != nil {
			return
		}
		if err := e.long.StepUrgent(ctx); err != nil {
			e.log.WithError(err).Debug("pass of the urgent jobs failed")
		}
	})
}

// neighbours returns the other data centres, whose long jobs are adopted when their entry hosts are gone.
func neighbours(s basilsettings.Settings) []string {
	var all []string
	for _, p := range s.Peers() {
		if p.DataCentre != s.DataCentre() && !slices.Contains(all, p.DataCentre) {
			all = append(all, p.DataCentre)
		}
	}
	return all
}

// members tells the long jobs which incarnations are gone.
type members struct{ control *basilview.Control }

// Gone tells whether the incarnation was seen dead.
func (m members) Gone(incarnation ulid.ULID) bool { return m.control.View().Gone(incarnation) }

// publish hands a new view to traffic; the control loop calls it.
func (e *Entry) publish(v *basilview.View) {
	e.routes.publish(v, time.Now())
	e.queues.SetQuotas(quotasOf(v), len(v.Members()))
	if t, ok := e.ports.Table.(sharedTable); ok {
		t.SetShare(1 / float64(max(1, len(v.Members()), len(e.settings.Peers())+1)))
	}
	e.peers.published(v)
}

// sharedTable is a table whose budget the entry hosts share.
type sharedTable interface{ SetShare(share float64) }

// leaving takes a backend server's own word that it leaves.
func (e *Entry) leaving(host string, epoch int64) {
	e.control.Leaving(host, epoch)
	e.peers.announceLeaving(host, epoch)
}

// committed takes a change that this entry host made.
func (e *Entry) committed(x basilaudit.Entry) {
	e.control.Entries([]basilaudit.Entry{x})
	e.peers.announceEntries([]basilaudit.Entry{x}, everyone)
}

// relay hands changes that were read from the table to the peers of the data centre, which may be cut off from it.
func (e *Entry) relay(entries []basilaudit.Entry) {
	e.peers.announceEntries(entries, sameDataCentre)
}

func encodeEntries(entries []basilaudit.Entry) [][]byte {
	encoded := make([][]byte, 0, len(entries))
	for _, x := range entries {
		b, err := json.Marshal(x)
		if err == nil {
			encoded = append(encoded, b)
		}
	}
	return encoded
}

// sweep deletes what is no longer kept of jobs until the context ends.
func (e *Entry) sweep(ctx context.Context) {
	every(ctx, sweepPeriod, func(ctx context.Context) {
		if err := e.copier.Sweep(ctx, time.Now().Add(-copyRetention)); err != nil {
			e.log.WithError(err).Debug("copied answers not swept")
		}
		if _, err := e.long.Sweep(ctx); err != nil {
			e.log.WithError(err).Debug("long jobs not swept")
		}
	})
}

// workLong runs the passes of the long jobs until the context ends.
func (e *Entry) workLong(ctx context.Context) {
	every(ctx, longPeriod, func(ctx context.Context) {
		if e.control.Check(time.Now()) != nil {
			return
		}
		if err := e.long.Step(ctx); err != nil {
			e.log.WithError(err).Debug("pass of the long jobs failed")
		}
	})
}
