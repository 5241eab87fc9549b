package basilpeer

import (
	"net"
	"sync"
)

// gate drops packets from and to peers that are cut off; it is a fault switch for tests.
type gate struct {
	net.PacketConn
	open func(peer string) bool

	mu    sync.RWMutex
	peers map[string]string // by address
}

func newGate(c net.PacketConn, open func(peer string) bool) *gate {
	return &gate{PacketConn: c, open: open, peers: map[string]string{}}
}

// name tells which peer stands behind an address.
func (g *gate) name(address, peer string) {
	if g == nil || address == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers[address] = peer
}

func (g *gate) passes(a net.Addr) bool {
	g.mu.RLock()
	peer, known := g.peers[a.String()]
	g.mu.RUnlock()
	return !known || g.open(peer)
}

// ReadFrom returns the next packet that the gate lets in.
func (g *gate) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, a, err := g.PacketConn.ReadFrom(b)
		if err != nil || g.passes(a) {
			return n, a, err
		}
	}
}

// WriteTo sends a packet unless the gate keeps it in.
func (g *gate) WriteTo(b []byte, a net.Addr) (int, error) {
	if !g.passes(a) {
		return len(b), nil
	}
	return g.PacketConn.WriteTo(b, a)
}
