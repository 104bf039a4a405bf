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

// Key names the connections of one start of an endpoint.
type Key struct {
	ID      string
	Address netip.AddrPort
	Start   int64
}

// ErrFull means that as many connections are open as one endpoint may get from here.
var ErrFull = errors.New("no connection left")

type shelf struct {
	idle []*Conn
	open int
}

// Pool keeps the idle connections of all endpoints.
type Pool struct {
	mu      sync.Mutex
	shelves map[Key]*shelf
	dialed  int64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{shelves: make(map[Key]*shelf)} }

// Dialed returns the number of connections made so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Get returns an idle connection, the one used last first, or makes a new one.
// It returns ErrFull when most connections are open; a most of 0 is no bound.
func (p *Pool) Get(ctx context.Context, key Key, most int, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.reuse(key); c != nil {
			return c, nil
		}
	}
	if !p.reserve(key, most) {
		return nil, errors.Wrapf(ErrFull, "step=connect peer=%s", key.Address)
	}
	c, err := dial(ctx, key.Address.String())
	if err != nil {
		p.release(key)
		return nil, err
	}
	return c, nil
}

func (p *Pool) reuse(key Key) *Conn {
	now := time.Now()
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if now.Before(c.idleAt) && c.quiet() {
			c.reused = true
			return c
		}
		p.Discard(key, c)
	}
}

func (p *Pool) pop(key Key) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shelves[key]
	if s == nil || len(s.idle) == 0 {
		return nil
	}
	c := s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	return c
}

func (p *Pool) reserve(key Key, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shelves[key]
	if s == nil {
		s = &shelf{}
		p.shelves[key] = s
	}
	if most > 0 && s.open >= most {
		return false
	}
	s.open++
	p.dialed++
	return true
}

func (p *Pool) release(key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shelves[key]
	if s == nil {
		return
	}
	s.open--
	if s.open == 0 {
		delete(p.shelves, key)
	}
}

// Discard closes a connection.
func (p *Pool) Discard(key Key, c *Conn) {
	closeConn(c.net)
	p.release(key)
}

// Whole tells of an answer that has been read to its end.
type Whole struct {
	Header http.Header
	// Close means that the endpoint closes the connection after it.
	Close bool
}

// Put keeps a connection whose answer has been read whole, unless the answer
// says that the endpoint closes it or bytes follow that belong to no request.
func (p *Pool) Put(key Key, c *Conn, answer Whole) {
	if answer.Close || c.reader.Buffered() > 0 {
		p.Discard(key, c)
		return
	}
	c.SetReadDeadline(time.Time{})
	c.idleAt = time.Now().Add(idleTime(answer.Header))
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.shelves[key]; s != nil {
		s.idle = append(s.idle, c)
	}
}

// Sweep closes the connections that have been idle too long, and all idle ones
// of endpoints that are not kept.
func (p *Pool) Sweep(keep func(Key) bool) {
	now := time.Now()
	for key, list := range p.expired(now, keep) {
		for _, c := range list {
			p.Discard(key, c)
		}
	}
}

func (p *Pool) expired(now time.Time, keep func(Key) bool) map[Key][]*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := make(map[Key][]*Conn)
	for key, s := range p.shelves {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if keep(key) && now.Before(c.idleAt) {
				kept = append(kept, c)
			} else {
				expired[key] = append(expired[key], c)
			}
		}
		s.idle = kept
	}
	return expired
}

// idleTime returns how long a connection may be kept idle after an answer.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
