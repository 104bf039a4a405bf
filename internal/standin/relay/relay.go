// Package relay is a TCP proxy that injects network faults for tests: it delays
// data, resets connections, and drops data in one direction or both. Upstream is
// the direction from the client to the target, downstream the reverse. A Relay
// tracks its open connections.
package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// copyBufferBytes is the maximum number of bytes forwarded per read.
const copyBufferBytes = 32 << 10

// Relay listens at an address and forwards each connection to a target. It is safe
// for concurrent use.
type Relay struct {
	listener   net.Listener
	target     string
	link       *rate.Limiter // of all connections together, downstream, in bytes per second
	downstream atomic.Int64  // bytes forwarded downstream

	mu        sync.Mutex
	pairs     map[*connPair]bool
	delay     time.Duration
	blackhole bool
}

// connPair is one relayed connection: the client's and the one to the target.
type connPair struct {
	relay          *Relay
	client, server net.Conn

	mu sync.Mutex
	// dropUpstream and dropDownstream are never reset: bytes forwarded after a gap
	// would corrupt the stream.
	dropUpstream, dropDownstream bool
}

// Start starts a relay from the listen address to the target address. It runs until
// Close.
func Start(listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "step=listen address=%s", listen)
	}
	r := &Relay{listener: listener, target: target, link: rate.NewLimiter(rate.Inf, copyBufferBytes), pairs: make(map[*connPair]bool)}
	go r.acceptLoop()
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close closes the listener and all connections.
func (r *Relay) Close() {
	if err := r.listener.Close(); err != nil {
		klog.ErrorS(err, "cannot close relay listener", "address", r.Address())
	}
	r.forEachPair((*connPair).close)
}

// DropBoth drops all further data on the connections that are open now, without
// closing them, like a middlebox that has lost its connection state. New
// connections work.
func (r *Relay) DropBoth() { r.forEachPair(func(p *connPair) { p.setDrop(true, true) }) }

// DropUpstream drops all further data from clients on the connections that are open
// now.
func (r *Relay) DropUpstream() { r.forEachPair(func(p *connPair) { p.setDrop(true, false) }) }

// DropDownstream drops all further data to clients on the connections that are open
// now.
func (r *Relay) DropDownstream() { r.forEachPair(func(p *connPair) { p.setDrop(false, true) }) }

// Reset sends a TCP reset to both ends of the connections that are open now.
func (r *Relay) Reset() { r.forEachPair((*connPair).reset) }

// SetDelay sets the delay before each chunk of data is forwarded, in each direction.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetRate limits what all connections together carry downstream, in bytes per second, like the link of
// the client's host; 0 for no limit.
func (r *Relay) SetRate(bytesPerSecond int) {
	if bytesPerSecond <= 0 {
		r.link.SetLimit(rate.Inf)
		return
	}
	r.link.SetLimit(rate.Limit(bytesPerSecond))
}

// Downstream returns the number of bytes forwarded downstream so far.
func (r *Relay) Downstream() int64 { return r.downstream.Load() }

// SetBlackhole starts or ends a fault in which new connections are accepted and all
// their data is dropped. Starting it also drops all further data on the
// connections that are open now. Ending it affects new connections only.
func (r *Relay) SetBlackhole(blackhole bool) {
	r.mu.Lock()
	r.blackhole = blackhole
	r.mu.Unlock()
	if blackhole {
		r.DropBoth()
	}
}

// forEachPair calls apply for each open connection, without holding the lock.
func (r *Relay) forEachPair(apply func(*connPair)) {
	r.mu.Lock()
	pairs := make([]*connPair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	r.mu.Unlock()
	for _, p := range pairs {
		apply(p)
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

// handleConn connects to the target and forwards both directions. If the target is
// unreachable it closes the client's connection.
func (r *Relay) handleConn(client net.Conn) {
	server, err := net.Dial("tcp4", r.target)
	if err != nil {
		klog.V(1).InfoS("cannot connect to target", "target", r.target, "err", err)
		closeConn(client)
		return
	}
	p := &connPair{relay: r, client: client, server: server}
	r.mu.Lock()
	p.dropUpstream, p.dropDownstream = r.blackhole, r.blackhole
	r.pairs[p] = true
	r.mu.Unlock()
	go p.forward(client, server, func() bool { return p.dropUpstream }, func(int) {})
	go p.forward(server, client, func() bool { return p.dropDownstream }, r.useLink)
}

// useLink waits until the link has carried n bytes downstream, at most copyBufferBytes.
func (r *Relay) useLink(n int) {
	if err := r.link.WaitN(context.Background(), n); err != nil {
		klog.ErrorS(err, "link not used", "bytes", n)
	}
	r.downstream.Add(int64(n))
}

// setDrop starts dropping in the directions that are true. It never ends dropping.
func (p *connPair) setDrop(dropUpstream, dropDownstream bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropUpstream, p.dropDownstream = p.dropUpstream || dropUpstream, p.dropDownstream || dropDownstream
}

// forward copies one direction until an end closes. While dropped returns true it
// discards data, and it does not propagate a close: the receiver sees neither data
// nor the end of the connection. It calls carry with the size of each piece of data before it sends it.
func (p *connPair) forward(from, to net.Conn, dropped func() bool, carry func(bytes int)) {
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
			carry(n)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				p.close()
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			p.reset()
			return
		}
		if err != nil {
			p.close()
			return
		}
	}
}

// reset closes both connections with a TCP reset.
func (p *connPair) reset() {
	for _, conn := range []net.Conn{p.client, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				klog.V(1).InfoS("cannot set SO_LINGER", "peer", conn.RemoteAddr(), "err", err)
			}
		}
	}
	p.close()
}

// close closes both connections and removes the pair from the relay.
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
		klog.V(1).InfoS("cannot close connection", "peer", conn.RemoteAddr(), "err", err)
	}
}
