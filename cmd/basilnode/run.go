package main

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilnode"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilwork"
	"basilstage.example/basilstage/platform"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
)

const (
	metricsPort      = 9464                    // of the deployment's metrics address
	storeTimeout     = 4 * time.Second         // longest one of a call; on a store that answers soon, calls are ended earlier
	directoryTimeout = 2500 * time.Millisecond // of one read of the configuration or of the backend servers, beside its wait
	machinesTimeout  = 1200 * time.Millisecond // of one call
	lease            = 1250 * time.Millisecond // four renewals; work waits for an owner that is lost for that long
	maxLease         = 5 * time.Second         // on a store that takes 0.6 s and more for a renewal; see docs/decisions/membership.md
	renewalShare     = 0.6                     // of what a partition of the store takes, for the renewals of all members
	holdLimit        = 3500 * time.Millisecond // with the leases, work outlasts an outage of the store of some 9 s
	noticeDrain      = 2500 * time.Millisecond // the balancer needs two looks, a second apart
	closeTime        = 1500 * time.Millisecond
	headerTime       = 3 * time.Second        // where the configuration does not tell
	idleTime         = 15 * time.Second       // as above
	peerDial         = 300 * time.Millisecond // a path between data centres takes single milliseconds
	peerKeepAlive    = 5 * time.Second
	peerIdle         = 2  // connections to an owner; each is memory on both sides
	peerConnections  = 16 // as above
	heapShare        = 2  // of the process's memory: the collector keeps the heap below half
	defaultBodyLimit = 16 << 10
)

// run works until SIGTERM and returns the exit status.
func run(ctx context.Context, env func(string) string, stdout io.Writer) int {
	queue := basillog.NewQueue(stdout)
	log, err := basillog.New(queue, "info")
	if err != nil {
		return exitFailure
	}
	err = serve(ctx, env(basilsite.SettingsVariable), log)
	if err != nil {
		log.WithError(err).Error("stopped by an error")
	}
	select {
	case <-queue.Close():
	case <-time.After(closeTime):
	}
	if err != nil {
		return exitFailure
	}
	return exitOK
}

// serve runs the entry host with the settings of the file.
func serve(ctx context.Context, path string, log *logrus.Logger) error {
	settings, err := basilsite.LoadSettings(path)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	log.WithFields(logrus.Fields{basillog.FieldMember: settings.Node, basillog.FieldDataCentre: settings.Zone}).Info("started")
	if m := settings.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(m) << 20 / heapShare)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	node := basilnode.New(options(settings, log))
	servers, err := listen(settings, node, log)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.Run(ctx)
	}()
	wait(ctx, signals, path, settings, log)
	shutDown(node, servers, settings, log)
	cancel()
	<-done
	return nil
}

// wait returns when the process is to stop; it takes up changes of the settings file until then.
func wait(ctx context.Context, signals <-chan os.Signal, path string, settings *basilsite.Settings, log *logrus.Logger) {
	w := basilsite.NewWatcher(path, settings)
	ticker := time.NewTicker(basilsite.ReloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.WithField("signal", s.String()).Info("stopping")
				return
			}
		case <-ticker.C:
		}
		switch changed, err := w.Check(); {
		case err != nil:
			log.WithError(err).Warn("settings not read again")
		case changed:
			log.Info("settings read again")
		}
	}
}

func options(s *basilsite.Settings, log *logrus.Logger) basilnode.Options {
	onSilent := func(address string, closed int) {
		log.WithFields(logrus.Fields{basillog.FieldAddress: address, "connections": closed}).Warn("idle connections closed, which may have gone silent")
	}
	client := basilsite.NewClient(onSilent)
	control := basilsite.NewClient(onSilent)
	store := basilsite.NewStore(client, func() string { return s.Addresses().Store }, storeTimeout)
	bootClock := basilshard.BootClock()
	storeClock := basilwork.NewStoreClock(bootClock)
	store.SetClock(storeClock)
	return basilnode.Options{
		Self: basilshard.Member{
			Node: s.Node, Incarnation: incarnation(s.Node), Zone: s.Zone, Address: peerAddress(s), Weight: s.Limits.CPUShare,
			Started: time.Now().UnixMilli(),
		},
		Clock: bootClock, StoreClock: storeClock, Lease: lease, MaxLease: maxLease, HoldLimit: holdLimit,
		MaxHold:             basilsite.Milliseconds(s.Bounds.MaxHoldMS),
		StatusRetention:     basilsite.Seconds(s.Bounds.StatusS),
		StopTimeout:         basilsite.Milliseconds(s.Bounds.StopTimeoutMS),
		HolderChangeDelay:   basilsite.Milliseconds(s.Bounds.LeaseMS),
		CancelStartWindow:   basilsite.Milliseconds(s.Bounds.CancelMS),
		DrainStartWindow:    basilsite.Milliseconds(s.Bounds.DrainMS),
		MoveDuration:        basilsite.Seconds(s.Bounds.MigrateS),
		MaintenanceDuration: basilsite.Seconds(s.Bounds.MaintenanceS),
		OrderRate:           s.Cloud.DutyPerS,
		Store:               store,
		Control:             basilsite.NewStore(control, func() string { return s.Addresses().Store }, storeTimeout),
		SinglePartition:     !s.Platform.CrossShard,
		RenewalRate:         renewalShare * s.Platform.PartitionWritesS,
		Directory:           basilsite.NewDirectory(basilsite.NewStore(client, func() string { return s.Addresses().Store }, directoryTimeout)),
		Commander:           basilsite.NewCommander(client),
		Advisor:             basilsite.NewAdvisor(client, func() string { return s.Addresses().Advisor }),
		Machines:            basilsite.NewMachines(client, func() string { return s.Addresses().Machines }, machinesTimeout),
		Codec:               basilsite.Codec{}, Log: log,
		Peers:        peerTransport(onSilent),
		CallCounts:   func() map[string]basilwork.CallCount { return sumCalls(client.Calls(), control.Calls()) },
		SetGCPercent: func(percent int) { debug.SetGCPercent(percent) },
	}
}

// sumCalls adds up the counts of two clients, by kind.
func sumCalls(a, b map[string]basilwork.CallCount) map[string]basilwork.CallCount {
	for kind, c := range b {
		a[kind] = a[kind].Add(c)
	}
	return a
}

// incarnation returns a name that no other process has had.
//
// The entropy is the operating system's: processes that start at the same instant would draw alike
// from a source that is seeded by the time.
func incarnation(node string) string {
	return node + "." + ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// listener is an address with what serves it.
type listener struct {
	address string
	handler http.Handler
}

// peerAddress returns where other entry hosts reach this one, or an empty text if the settings leave no port for that.
func peerAddress(s *basilsite.Settings) string {
	if len(s.InternalPorts) == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPorts[0]))
}

// peerTransport returns what carries calls to other entry hosts. Each calls the owners of pools, some at a time.
func peerTransport(onSilent func(address string, closed int)) http.RoundTripper {
	t := basilsite.NewTransport(basilsite.DialResetting(peerDial, peerKeepAlive))
	t.MaxIdleConnsPerHost, t.MaxConnsPerHost, t.IdleConnTimeout, t.OnSilent = peerIdle, peerConnections, idleTime, onSilent
	return t
}

// listen opens the front, the readiness address and the metrics.
func listen(s *basilsite.Settings, n *basilnode.Node, log *logrus.Logger) ([]*http.Server, error) {
	ready := http.NewServeMux()
	ready.Handle(basilsite.ReadinessPath, n.Readiness())
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", n.Metrics())
	addresses := []listener{
		{s.Listen.Front, n.Front()},
		{s.Listen.Readiness, ready},
		{net.JoinHostPort(s.IP, strconv.Itoa(metricsPort)), metrics},
	}
	if address := peerAddress(s); address != "" {
		addresses = append(addresses, listener{address, n.Peer()})
	}
	var servers []*http.Server
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			return nil, errors.WithStack(basilsite.ErrNotListening{Address: a.address, Cause: err})
		}
		server := &http.Server{Handler: a.handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: defaultBodyLimit}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				log.WithError(err).WithField(basillog.FieldAddress, a.address).Error("no longer listening")
			}
		}()
	}
	return servers, nil
}

// shutDown hands over the work, serves callers until the balancer has noticed, and closes.
func shutDown(n *basilnode.Node, servers []*http.Server, s *basilsite.Settings, log *logrus.Logger) {
	grace := basilsite.Seconds(s.Bounds.GraceS)
	ctx, cancel := context.WithTimeout(context.Background(), grace*4/5)
	defer cancel()
	noticed := time.After(min(noticeDrain, grace/2))
	n.Stop(ctx)
	log.Info("shards handed over")
	<-noticed
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			log.WithError(err).Warn("connections cut off at the stop")
		}
	}
	log.Info("stopped")
}
