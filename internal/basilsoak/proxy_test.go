package basilsoak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// way is what a proxy does with what passes.
type way struct {
	reset  bool          // connections are reset, new ones too
	hold   bool          // nothing passes in either direction
	oneWay bool          // nothing passes to the caller
	delay  time.Duration // of each piece
}

// proxy carries connections to a target.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	way      way
	changed  chan struct{}
	open     map[net.Conn]*atomic.Bool // by the caller's side: whether it has gone silent
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), open: make(map[net.Conn]*atomic.Bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

func (p *proxy) carry(c net.Conn) {
	defer p.drop(c)
	p.mutex.Lock()
	silent := new(atomic.Bool)
	p.open[c] = silent
	w := p.way
	p.mutex.Unlock()
	if w.reset {
		return
	}
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer d.Close()
	go p.copy(d, c, silent, false)
	p.copy(c, d, silent, true)
}

// drop closes a connection without a goodbye.
func (p *proxy) drop(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, c)
}

// copy passes on what is read until either side ends.
func (p *proxy) copy(to io.Writer, from io.Reader, silent *atomic.Bool, back bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !silent.Load() {
			p.wait(back)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}

// wait returns when a piece may pass.
func (p *proxy) wait(back bool) {
	for {
		p.mutex.Lock()
		w, changed := p.way, p.changed
		p.mutex.Unlock()
		if !w.hold && !(w.oneWay && back) {
			time.Sleep(w.delay)
			return
		}
		<-changed
	}
}

// silence has the open connections go silent for good, while new ones work.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.open {
		s.Store(true)
	}
}

// set changes what happens on the way.
func (p *proxy) set(w way) {
	p.mutex.Lock()
	p.way = w
	close(p.changed)
	p.changed = make(chan struct{})
	var drop []net.Conn
	if w.reset {
		for c := range p.open {
			drop = append(drop, c)
		}
	}
	p.mutex.Unlock()
	for _, c := range drop {
		p.drop(c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(way{reset: true})
}
