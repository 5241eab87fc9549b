package main

import (
	"io"
	"net"
	"sync"
)

// line carries channels from an entry host to the store. Those that are open can go silent for good, without a reset, while new ones work.
type line struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex // guards the following fields
	open     map[*lineChannel]bool
}

// lineChannel is one channel of a line, with both of its connections.
type lineChannel struct {
	near, far net.Conn
	silent    chan struct{} // closed once nothing passes any more
}

func newLine(address, target string) (*line, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	x := &line{listener: l, target: target, open: make(map[*lineChannel]bool)}
	go x.serve()
	return x, nil
}

func (x *line) address() string { return x.listener.Addr().String() }

func (x *line) serve() {
	for {
		near, err := x.listener.Accept()
		if err != nil {
			return
		}
		go x.carry(near)
	}
}

func (x *line) carry(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", x.target)
	if err != nil {
		return
	}
	defer far.Close()
	c := &lineChannel{near: near, far: far, silent: make(chan struct{})}
	x.mutex.Lock()
	x.open[c] = true
	x.mutex.Unlock()
	defer func() {
		x.mutex.Lock()
		defer x.mutex.Unlock()
		delete(x.open, c)
	}()
	ended := make(chan struct{}, 2)
	copyTo := func(to, from net.Conn) {
		c.copy(to, from)
		ended <- struct{}{}
	}
	go copyTo(far, near)
	go copyTo(near, far)
	<-ended
}

// copy passes on what is read until the sender ends. What comes once the channel is silent is lost.
func (c *lineChannel) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			if err == nil {
				continue
			}
		default:
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence has all open channels go silent, and returns how many there were.
func (x *line) silence() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	count := 0
	for c := range x.open {
		select {
		case <-c.silent:
		default:
			close(c.silent)
			count++
		}
	}
	return count
}
