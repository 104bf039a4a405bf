package endpointconn

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Key identifies a process of an endpoint by the endpoint's ID, its address and
// the Unix time of its start in milliseconds. Connections to an earlier process
// are not used.
type Key struct {
	ID      string
	Address netip.AddrPort
	Start   int64
}

const (
	// An endpoint with an eighth of the connections to all has many of them, and leaves the last quarter to others: one that does not answer must not
	// take all.
	crowdedDivisor, reservedDivisor = 8, 4
)

// ErrFull means that the limit of connections to an endpoint has been reached.
var ErrFull = errors.New("no connection left")

// ErrAllFull means that the limit of connections to all endpoints together has been reached and none is idle.
var ErrAllFull = errors.New("no connection left to any endpoint")

// endpointConns holds the connections to one endpoint.
type endpointConns struct {
	idle []*Conn
	open int
}

// Pool keeps the idle connections to all endpoints and counts the open ones. It
// is safe for concurrent use.
type Pool struct {
	mu         sync.Mutex
	byEndpoint map[Key]*endpointConns
	dialed     int64
	open       int // connections to all endpoints
	limit      int // of open; 0 for none
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{byEndpoint: make(map[Key]*endpointConns)} }

// Dialed returns the number of connections that the pool has tried to open so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// SetLimit bounds the connections to all endpoints together. 0 means no limit.
func (p *Pool) SetLimit(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = connections
}

// Get returns the most recently used idle connection, or opens a new one if
// there is none or fresh is set. It returns ErrFull if limit connections are
// open, and ErrAllFull if as many as SetLimit allows are in use; a limit of 0 means no limit. The caller passes the connection to Put or
// Discard when it is done. After an error nothing has been sent to the endpoint.
func (p *Pool) Get(ctx context.Context, key Key, limit int, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.reuse(key); c != nil {
			return c, nil
		}
	}
	err := p.reserve(key, limit)
	if errors.Is(err, ErrAllFull) && p.evictIdle() {
		err = p.reserve(key, limit)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "step=connect peer=%s", key.Address)
	}
	c, err := dial(ctx, key.Address.String())
	if err != nil {
		p.release(key)
		return nil, err
	}
	return c, nil
}

// reuse returns a usable idle connection, or nil, and discards those that
// expired or are unusable.
func (p *Pool) reuse(key Key) *Conn {
	now := time.Now()
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.usable() {
			c.reused = true
			return c
		}
		p.Discard(key, c)
	}
}

// Alive reports whether an idle connection to an endpoint's process is open.
func (p *Pool) Alive(key Key) bool {
	c := p.pop(key)
	if c == nil {
		return false
	}
	if !c.usable() {
		p.Discard(key, c)
		return false
	}
	p.giveBack(key, c)
	return true
}

// Outlasts reports whether a connection to an endpoint's process, an idle or a new one, stays open for a time. It returns an error as Get
// does if there is no connection.
func (p *Pool) Outlasts(ctx context.Context, key Key, limit int, d time.Duration) (bool, error) {
	c, err := p.Get(ctx, key, limit, false)
	if err != nil {
		return false, err
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	if !c.usable() {
		p.Discard(key, c)
		return false, nil
	}
	p.giveBack(key, c)
	return true, nil
}

// giveBack returns a connection on which nothing was exchanged.
func (p *Pool) giveBack(key Key, c *Conn) {
	if c.idleUntil.IsZero() {
		c.idleUntil = time.Now().Add(defaultIdleTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.byEndpoint[key]; conns != nil {
		conns.idle = append(conns.idle, c)
	}
}

// pop removes and returns the most recently used idle connection, or nil.
func (p *Pool) pop(key Key) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byEndpoint[key]
	if conns == nil || len(conns.idle) == 0 {
		return nil
	}
	c := conns.idle[len(conns.idle)-1]
	conns.idle = conns.idle[:len(conns.idle)-1]
	return c
}

// reserve counts a new connection as open, or returns ErrFull, also if the endpoint has to leave the rest to others, or ErrAllFull. A limit of 0 means no limit.
func (p *Pool) reserve(key Key, limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byEndpoint[key]
	if limit > 0 && conns != nil && conns.open >= limit {
		return ErrFull
	}
	if p.limit > 0 && p.open >= p.limit {
		return ErrAllFull
	}
	if conns != nil && p.isCrowded(conns) {
		return ErrFull
	}
	if conns == nil {
		conns = &endpointConns{}
		p.byEndpoint[key] = conns
	}
	conns.open++
	p.open++
	p.dialed++
	return nil
}

// isCrowded reports whether an endpoint has so many connections that it has to leave the rest to others. The caller must hold p.mu.
func (p *Pool) isCrowded(conns *endpointConns) bool {
	return p.limit > 0 && p.open >= p.limit-p.limit/reservedDivisor && conns.open >= max(1, p.limit/crowdedDivisor)
}

// evictIdle closes an idle connection if there are as many as SetLimit allows, and reports whether it did.
func (p *Pool) evictIdle() bool {
	p.mu.Lock()
	if p.limit == 0 || p.open < p.limit {
		p.mu.Unlock()
		return false
	}
	var oldest Key
	var found *endpointConns
	for key, conns := range p.byEndpoint {
		if len(conns.idle) > 0 && (found == nil || conns.idle[0].idleUntil.Before(found.idle[0].idleUntil)) {
			oldest, found = key, conns
		}
	}
	if found == nil {
		p.mu.Unlock()
		return false
	}
	c := found.idle[0]
	found.idle = append(found.idle[:0], found.idle[1:]...)
	p.mu.Unlock()
	p.Discard(oldest, c)
	return true
}

// release counts a connection as closed.
func (p *Pool) release(key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byEndpoint[key]
	if conns == nil {
		return
	}
	conns.open--
	p.open--
	if conns.open == 0 {
		delete(p.byEndpoint, key)
	}
}

// Discard closes a connection that Get returned.
func (p *Pool) Discard(key Key, c *Conn) {
	closeConn(c.net)
	p.release(key)
}

// CompletedAnswer describes an answer that has been read to its end.
type CompletedAnswer struct {
	Header http.Header
	// Close means that the endpoint closes the connection after the answer.
	Close bool
}

// Put returns a connection to the pool after its answer has been read to the
// end. It closes the connection if the endpoint is going to close it, or if
// bytes follow that belong to no request.
func (p *Pool) Put(key Key, c *Conn, answer CompletedAnswer) {
	if answer.Close || c.reader.Buffered() > 0 {
		p.Discard(key, c)
		return
	}
	c.SetReadDeadline(time.Time{})
	c.AccountHeads(nil)
	c.idleUntil = time.Now().Add(idleTime(answer.Header))
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.byEndpoint[key]; conns != nil {
		conns.idle = append(conns.idle, c)
	}
}

// Sweep closes the connections that have been idle too long, and the idle ones
// for which keep returns false.
func (p *Pool) Sweep(keep func(Key) bool) {
	now := time.Now()
	for key, conns := range p.expired(now, keep) {
		for _, c := range conns {
			p.Discard(key, c)
		}
	}
}

// expired removes from the pool and returns the connections that Sweep closes.
func (p *Pool) expired(now time.Time, keep func(Key) bool) map[Key][]*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := make(map[Key][]*Conn)
	for key, conns := range p.byEndpoint {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if keep(key) && now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired[key] = append(expired[key], c)
			}
		}
		conns.idle = kept
	}
	return expired
}

// idleTime returns how long a connection may stay idle after an answer, from
// the answer's Keep-Alive header. The result is negative for a short timeout.
func idleTime(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(parameter), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTime
}
