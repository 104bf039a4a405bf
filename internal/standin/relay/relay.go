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

// bufferBytes is the most that is passed on at once.
const bufferBytes = 32 << 10

// Relay listens at an address and passes each connection on to a target.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]bool
	delay time.Duration
	dark  bool
}

// pair is one relayed connection.
type pair struct {
	relay   *Relay
	in, out net.Conn

	mu sync.Mutex
	// deaf drops what the caller sends, mute what it would be sent. Both are for
	// good: bytes after a gap would be another stream.
	deaf, mute bool
}

// Start starts a relay.
func Start(listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "step=listen address=%s", listen)
	}
	r := &Relay{listener: listener, target: target, pairs: make(map[*pair]bool)}
	go r.serve()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	if err := r.listener.Close(); err != nil {
		klog.ErrorS(err, "relay not closed", "address", r.Address())
	}
	r.each((*pair).close)
}

// Silence makes all connections that stand now silent for good, as a middlebox
// does that has lost track of them. New ones work.
func (r *Relay) Silence() { r.each(func(p *pair) { p.drop(true, true) }) }

// Deafen drops what callers send on the connections that stand now.
func (r *Relay) Deafen() { r.each(func(p *pair) { p.drop(true, false) }) }

// Mute drops what callers would be sent on the connections that stand now.
func (r *Relay) Mute() { r.each(func(p *pair) { p.drop(false, true) }) }

// Reset resets the connections that stand now.
func (r *Relay) Reset() { r.each((*pair).reset) }

// SetDelay lets everything wait a time on its way.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetDark silences the connections that stand now and those that are made until
// it is lifted. They are taken and never answered.
func (r *Relay) SetDark(dark bool) {
	r.mu.Lock()
	r.dark = dark
	r.mu.Unlock()
	if dark {
		r.Silence()
	}
}

// each does something to the connections that stand now.
func (r *Relay) each(do func(*pair)) {
	r.mu.Lock()
	pairs := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	r.mu.Unlock()
	for _, p := range pairs {
		do(p)
	}
}

func (r *Relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		go r.connect(in)
	}
}

func (r *Relay) connect(in net.Conn) {
	out, err := net.Dial("tcp4", r.target)
	if err != nil {
		klog.V(1).InfoS("target not reached", "target", r.target, "err", err)
		closeConn(in)
		return
	}
	p := &pair{relay: r, in: in, out: out}
	r.mu.Lock()
	p.deaf, p.mute = r.dark, r.dark
	r.pairs[p] = true
	r.mu.Unlock()
	go p.pass(in, out, func() bool { return p.deaf })
	go p.pass(out, in, func() bool { return p.mute })
}

func (p *pair) drop(deaf, mute bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf, p.mute = p.deaf || deaf, p.mute || mute
}

// pass copies one direction, until it is dropped. What is dropped includes the
// end: the other side sees nothing.
func (p *pair) pass(from, to net.Conn, dropped func() bool) {
	buffer := make([]byte, bufferBytes)
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

func (p *pair) reset() {
	for _, conn := range []net.Conn{p.in, p.out} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				klog.V(1).InfoS("linger not set", "peer", conn.RemoteAddr(), "err", err)
			}
		}
	}
	p.close()
}

func (p *pair) close() {
	p.relay.mu.Lock()
	delete(p.relay.pairs, p)
	p.relay.mu.Unlock()
	closeConn(p.in)
	closeConn(p.out)
}

// closeConn closes a connection that may be closed already.
func closeConn(conn net.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		klog.V(1).InfoS("connection not closed", "peer", conn.RemoteAddr(), "err", err)
	}
}
