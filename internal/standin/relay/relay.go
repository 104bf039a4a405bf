// Package relay passes TCP connections on, and harms them on demand as networks
// do: it delays, resets, silences them, whole or in one direction.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// copyBufferBytes is the most that is passed on at once.
const copyBufferBytes = 32 << 10

// Relay listens at an address and passes each connection on to a target.
type Relay struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	pairs     map[*connPair]bool
	delay     time.Duration
	blackhole bool
}

// connPair is one relayed connection.
type connPair struct {
	relay          *Relay
	client, server net.Conn

	mu sync.Mutex
	// dropUpstream drops what the caller sends, mute what it would be sent. Both are for
	// good: bytes after a gap would be another stream.
	dropUpstream, dropDownstream bool
}

// Start starts a relay.
func Start(listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "step=listen address=%s", listen)
	}
	r := &Relay{listener: listener, target: target, pairs: make(map[*connPair]bool)}
	go r.acceptLoop()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	if err := r.listener.Close(); err != nil {
		klog.ErrorS(err, "relay not closed", "address", r.Address())
	}
	r.forEachPair((*connPair).close)
}

// Silence makes all connections that stand now silent for good, as a middlebox
// does that has lost track of them. New ones work.
func (r *Relay) Silence() { r.forEachPair(func(p *connPair) { p.setDrop(true, true) }) }

// DropUpstream drops what callers send on the connections that stand now.
func (r *Relay) DropUpstream() { r.forEachPair(func(p *connPair) { p.setDrop(true, false) }) }

// DropDownstream drops what callers would be sent on the connections that stand now.
func (r *Relay) DropDownstream() { r.forEachPair(func(p *connPair) { p.setDrop(false, true) }) }

// Reset resets the connections that stand now.
func (r *Relay) Reset() { r.forEachPair((*connPair).reset) }

// SetDelay lets everything wait a time on its way.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetBlackhole silences the connections that stand now and those that are made until
// it is lifted. They are taken and never answered.
func (r *Relay) SetBlackhole(blackhole bool) {
	r.mu.Lock()
	r.blackhole = blackhole
	r.mu.Unlock()
	if blackhole {
		r.Silence()
	}
}

// forEachPair does something to the connections that stand now.
func (r *Relay) forEachPair(do func(*connPair)) {
	r.mu.Lock()
	pairs := make([]*connPair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	r.mu.Unlock()
	for _, p := range pairs {
		do(p)
	}
}

func (r *Relay) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		go r.handleConn(client)
	}
}

func (r *Relay) handleConn(client net.Conn) {
	server, err := net.Dial("tcp4", r.target)
	if err != nil {
		klog.V(1).InfoS("target not reached", "target", r.target, "err", err)
		closeConn(client)
		return
	}
	p := &connPair{relay: r, client: client, server: server}
	r.mu.Lock()
	p.dropUpstream, p.dropDownstream = r.blackhole, r.blackhole
	r.pairs[p] = true
	r.mu.Unlock()
	go p.forward(client, server, func() bool { return p.dropUpstream })
	go p.forward(server, client, func() bool { return p.dropDownstream })
}

func (p *connPair) setDrop(dropUpstream, dropDownstream bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropUpstream, p.dropDownstream = p.dropUpstream || dropUpstream, p.dropDownstream || dropDownstream
}

// forward copies one direction, until it is dropped. What is dropped includes the
// end: the other side sees nothing.
func (p *connPair) forward(from, to net.Conn, dropped func() bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		p.relay.mu.Lock()
		delay := p.relay.delay
		p.relay.mu.Unlock()
		time.Sleep(delay)
		p.mu.Lock()
		drop := dropped()
		p.mu.Unlock()
		if drop && err != nil {
			return
		}
		if drop {
			continue
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				p.close()
				return
			}
		}
		if err != nil {
			p.close()
			return
		}
	}
}

func (p *connPair) reset() {
	for _, conn := range []net.Conn{p.client, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				klog.V(1).InfoS("linger not set", "peer", conn.RemoteAddr(), "err", err)
			}
		}
	}
	p.close()
}

func (p *connPair) close() {
	p.relay.mu.Lock()
	delete(p.relay.pairs, p)
	p.relay.mu.Unlock()
	closeConn(p.client)
	closeConn(p.server)
}

// closeConn closes a connection that may be closed already.
func closeConn(conn net.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		klog.V(1).InfoS("connection not closed", "peer", conn.RemoteAddr(), "err", err)
	}
}
