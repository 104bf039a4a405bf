// Package netfault serves HTTP over connections that can be reset, refused or
// muted (their data is dropped in both directions), to simulate crashed servers and
// broken networks. The stand-ins for engines, services and the platform use it, and
// so do tests. A Server tracks its open connections.
package netfault

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// headerTimeout is the maximum time for reading the headers of a request.
const headerTimeout = 5 * time.Second

// Network controls the connections over which a stand-in is served.
type Network interface {
	// Down resets all connections and refuses new ones.
	Down()
	// Up accepts connections again at the same address. It fails if the address
	// cannot be bound.
	Up() error
	// Mute drops all further data, in both directions, on the connections that are
	// open now, without closing them. It cannot be undone. New connections work.
	Mute()
}

// Server serves a handler at one address. It implements Network and is safe for
// concurrent use.
type Server struct {
	address string
	server  *http.Server
	failed  chan error

	mu       sync.Mutex
	listener net.Listener // nil while down
	handler  http.Handler // nil until Serve
	conns    map[*conn]struct{}
}

// Listen binds a TCP address. Connections stay in the accept queue until Serve is
// called.
func Listen(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		address:  listener.Addr().String(),
		listener: listener,
		failed:   make(chan error, 1),
		conns:    make(map[*conn]struct{}),
	}
	return s, nil
}

// Addr returns the bound address as IP:PORT.
func (s *Server) Addr() string { return s.address }

// Serve starts serving the handler and returns immediately. It must be called once.
func (s *Server) Serve(handler http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.handler = handler
	s.accept()
}

// Failed returns a channel that receives the error with which serving ended, unless
// it ended by Down, Close or Shutdown.
func (s *Server) Failed() <-chan error { return s.failed }

// accept serves the current listener in a new goroutine. The caller holds the lock.
func (s *Server) accept() {
	listener := s.listener
	tracked := &trackedListener{Listener: listener, server: s}
	go func() {
		err := s.server.Serve(tracked)
		s.mu.Lock()
		expected := s.listener != listener
		s.mu.Unlock()
		if !expected && !errors.Is(err, http.ErrServerClosed) {
			s.failed <- errors.Wrapf(err, "serve on %s", s.address)
		}
	}()
}

// Down resets all connections and refuses new ones. It has no effect on a server
// that is down.
func (s *Server) Down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	listener := s.listener
	s.listener = nil
	_ = listener.Close()
	for c := range s.conns {
		c.reset()
	}
	clear(s.conns)
	klog.InfoS("network down", "address", s.address)
}

// Up accepts connections again at the same address. It has no effect on a server
// that is up.
func (s *Server) Up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen again on %s", s.address)
	}
	s.listener = listener
	if s.handler != nil {
		s.accept()
	}
	klog.InfoS("network up", "address", s.address)
	return nil
}

// Mute drops all further data, in both directions, on the connections that are open
// now, without closing them. It cannot be undone. New connections work.
func (s *Server) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mute()
	}
	klog.InfoS("connections muted", "address", s.address, "count", len(s.conns))
}

// Shutdown refuses new connections and waits until the requests in progress have
// ended or ctx is done. It must be called after Serve.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close resets all connections and stops the server.
func (s *Server) Close() {
	s.Down()
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// add registers a connection. It returns false while the server is down.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
