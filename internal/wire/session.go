package wire

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// errClosedLocally is the reason of a session that this process terminated: the
// address of the target has changed, the target was removed, or Disconnect, Reconnect
// or Close was called.
var errClosedLocally = errors.New("connection closed by this process")

// stream is a drpc stream that sends messages of type S and receives messages of type R.
type stream[S, R proto.Message] interface {
	Send(S) error
	Recv() (R, error)
}

// sessionStream is a stream on which the Hellos were exchanged, with its send queue.
type sessionStream[S, R proto.Message] struct {
	stream stream[S, R]
	// closeTransport closes the connection, which fails all reads and writes of the
	// stream. It does not block.
	closeTransport func()
	queue          *queue[S]
}

// handlers are the callbacks of a session. They are not called concurrently.
type handlers[R proto.Message] struct {
	up      func()
	down    func()
	receive func(R)
}

// session is the period during which a link is up, with one incarnation of the peer.
// It has one or two streams, each on a connection of its own.
type session[S, R proto.Message] struct {
	peer        string
	incarnation domain.Incarnation
	streams     []*sessionStream[S, R]
	// handlerMu is held while a handler is called.
	handlerMu sync.Mutex

	stopOnce sync.Once
	stop     chan struct{} // closed on termination, to wake waiting goroutines
	stopped  atomic.Bool   // set on termination, for checks that do not wait
	reason   error         // set before stop is closed
}

func newSession[S, R proto.Message](peer string, inc domain.Incarnation, streams []*sessionStream[S, R]) *session[S, R] {
	return &session[S, R]{
		peer:        peer,
		incarnation: inc,
		streams:     streams,
		stop:        make(chan struct{}),
	}
}

// terminate ends the session. Only a message whose handler is already running is
// still delivered. It does not block.
func (s *session[S, R]) terminate(reason error) {
	s.stopOnce.Do(func() {
		s.reason = reason
		s.stopped.Store(true)
		close(s.stop)
		for _, ss := range s.streams {
			ss.closeTransport()
		}
	})
}

// send queues a message on the stream with an index. It reports false if the
// session is terminated or the queue rejects the message.
func (s *session[S, R]) send(index int, m S) bool {
	return !s.stopped.Load() && s.streams[index].queue.push(m)
}

// run calls the up handler, transfers messages until the session is terminated or
// a stream fails, and calls the down handler. It returns the reason of the end.
// If the session was terminated before, run calls no handler.
func (s *session[S, R]) run(h handlers[R]) error {
	if s.stopped.Load() {
		return s.reason
	}
	s.handlerMu.Lock()
	h.up()
	s.handlerMu.Unlock()

	var wg sync.WaitGroup
	for _, ss := range s.streams {
		wg.Add(2)
		go func() {
			defer wg.Done()
			s.readLoop(ss, h.receive)
		}()
		go func() {
			defer wg.Done()
			s.writeLoop(ss)
		}()
	}
	<-s.stop
	s.handlerMu.Lock()
	h.down()
	s.handlerMu.Unlock()
	wg.Wait()
	return s.reason
}

// readLoop passes received messages to the handler until the stream fails, which
// terminates the session.
func (s *session[S, R]) readLoop(ss *sessionStream[S, R], receive func(R)) {
	for {
		m, err := ss.stream.Recv()
		if err != nil {
			s.terminate(stepError(err, "read", s.peer))
			return
		}
		s.handlerMu.Lock()
		if !s.stopped.Load() && isDeliverable(m) {
			receive(m)
		}
		s.handlerMu.Unlock()
	}
}

// writeLoop sends queued messages until the session is terminated or the stream
// fails, which terminates the session.
func (s *session[S, R]) writeLoop(ss *sessionStream[S, R]) {
	for {
		m, ok := ss.queue.pop(s.stop)
		if !ok {
			return
		}
		if err := ss.stream.Send(m); err != nil {
			s.terminate(stepError(err, "write", s.peer))
			return
		}
	}
}
