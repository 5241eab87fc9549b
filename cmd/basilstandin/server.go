package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 30 * time.Second
)

// server is one stand-in that listens until it is told to stop.
type server struct {
	name    string
	id      string
	address string
	handler http.Handler
	leave   func() // called before the shutdown
	stdout  io.Writer
}

// serve listens, logs the address, and stops gracefully when ctx ends.
func serve(ctx context.Context, s server) error {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(s.stdout)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.WithStack(err)
	}
	log.WithFields(logrus.Fields{"name": s.name, "id": s.id, "address": listener.Addr().String()}).Info("listening")
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	if s.leave != nil {
		s.leave()
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return errors.WithStack(h.Shutdown(stopping))
}
