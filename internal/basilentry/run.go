package basilentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilkeys"
	"basilstage.example/basilstage/internal/basiltimer"
)

// Periods of the entry host's background work, and limits of its stop.
const (
	longPeriod     = 500 * time.Millisecond
	urgentPeriod   = 100 * time.Millisecond
	fleetPeriod    = time.Second
	sweepPeriod    = time.Minute
	copyRetention  = 24 * time.Hour         // of short jobs' answers in the table
	unreadyPeriod  = 500 * time.Millisecond // between going unready and taking no more requests
	shutdownMargin = time.Second
)

// Run serves until the context ends, then stops gracefully: it goes unready,
// finishes the requests in progress within the settings' grace, and leaves.
func (e *Entry) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := e.listen()
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	failed := make(chan error, 2)
	group.Go(func() { failed <- e.mesh.Serve(background) })
	group.Go(func() { failed <- e.control.Run(background) })
	group.Go(func() { e.sweep(background) })
	group.Go(func() { e.peers.run(background) })
	group.Go(func() { e.demand.run(background) })
	group.Go(func() { e.workLong(background) })
	group.Go(func() { e.workUrgent(background) })
	group.Go(func() { e.fleet.run(background) })
	e.log.WithField("http", e.settings.HTTPAddress()).WithField("incarnation", e.registry.Incarnation().String()).Info("entry host serves")
	select {
	case <-ctx.Done():
	case err = <-failed:
		e.log.WithError(err).Error("entry host can't go on")
	}
	e.stop(context.WithoutCancel(ctx), servers)
	cancel()
	group.Wait()
	if err := e.control.Leave(context.WithoutCancel(ctx)); err != nil {
		e.log.WithError(err).Warn("registration not given up")
	}
	e.log.Info("entry host left")
	return err
}

// stop ends all requests in progress, or those that end within the grace.
func (e *Entry) stop(ctx context.Context, servers []*http.Server) {
	e.stopping.Store(true)
	e.peers.announceStopping()
	e.log.Info("entry host stops")
	_ = basiltimer.Wait(ctx, unreadyPeriod) // the context has no end here
	ctx, cancel := context.WithTimeout(ctx, e.settings.StopGrace())
	defer cancel()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				e.log.WithError(err).Warn("requests cut off at the end of the grace")
				_ = s.Close()
			}
		})
	}
	group.Wait()
	e.registry.Stop()
	if err := e.registry.Drain(ctx); err != nil {
		e.log.WithError(err).Warn("jobs in progress at the end of the grace")
	}
}

// listen opens the HTTP listeners and serves on them.
func (e *Entry) listen() ([]*http.Server, error) {
	addresses := []struct {
		address string
		handler http.Handler
	}{
		{e.settings.HTTPAddress(), e.Handler()},
		{e.ownOperatorAddress(), e.OperatorHandler()},
		{e.settings.MetricsAddress(), e.MetricsHandler()},
	}
	var servers []*http.Server
	for _, a := range addresses {
		if a.address == "" {
			continue
		}
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			closeAll(servers)
			return nil, errors.WithStack(ErrListen{Address: a.address, Cause: err})
		}
		s := newServer(a.handler)
		servers = append(servers, s)
		if err := e.serve(s, l); err != nil {
			closeAll(servers)
			return nil, err
		}
	}
	return servers, nil
}

func (e *Entry) serve(s *http.Server, l net.Listener) error {
	if e.settings.PlainText() {
		go func() { _ = s.Serve(l) }()
		return nil
	}
	f := e.settings.HTTPTLS()
	tls, err := basilkeys.LoadServerTLS(f.Certificate, f.Key)
	if err != nil {
		_ = l.Close()
		return err
	}
	s.TLSConfig = tls
	go func() { _ = s.ServeTLS(l, "", "") }()
	return nil
}

func closeAll(servers []*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// every calls f at once and then each period until the context ends.
func every(ctx context.Context, period time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		if basiltimer.Wait(ctx, period) != nil {
			return
		}
	}
}
