package basilstandin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// lateCall is how long a call that is made late may take.
const lateCall = 3 * time.Second

// Link carries one process's calls over a network, with faults of its own; its zero value needs a network.
type Link struct {
	Network *Network
	mutex   sync.Mutex // guards all below
	cut     bool
	refuses string    // address whose calls are refused
	held    time.Time // until when calls wait, whatever their callers do
}

// SetCut has calls go nowhere, or puts an end to that.
func (l *Link) SetCut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
}

// Refuse has calls to an address answered with 503; the empty address puts an end to that.
func (l *Link) Refuse(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuses = address
}

// Hold has calls made only after a while, as those of a process that is frozen and wakes.
func (l *Link) Hold(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.held = time.Now().Add(d)
}

// RoundTrip makes a call, or what the faults make of it.
func (l *Link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mutex.Lock()
	cut, refuses, wait := l.cut, l.refuses, time.Until(l.held)
	l.mutex.Unlock()
	switch {
	case cut:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case refuses == r.URL.Host:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
	case wait > 0:
		return l.deliverLate(r, wait)
	}
	return l.Network.RoundTrip(r)
}

// deliverLate makes the call after a while even when its caller has given up.
func (l *Link) deliverLate(r *http.Request, wait time.Duration) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	answer := make(chan *http.Response, 1)
	time.AfterFunc(wait, func() {
		ctx, cancel := context.WithTimeout(late.Context(), lateCall)
		defer cancel()
		if a, err := l.Network.RoundTrip(late.WithContext(ctx)); err == nil {
			answer <- a
		}
	})
	select {
	case a := <-answer:
		return a, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
