package wire

import (
	"cmp"
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcserver"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

var (
	errSuperseded      = errors.New("superseded by another connection, or late or duplicate stream")
	errIncompleteGroup = errors.New("timed out waiting for the second stream of the session")
	errClosed          = errors.New("links are closed")
)

// groupID identifies a stream group of a peer. Newer groups compare greater.
type groupID struct {
	incarnation domain.Incarnation
	dialNumber  uint64 // increases with each attempt to dial within the incarnation
}

func (g groupID) compare(other groupID) int {
	return cmp.Or(cmp.Compare(g.incarnation, other.incarnation), cmp.Compare(g.dialNumber, other.dialNumber))
}

// streamGroup is the set of streams that a peer dialled together for one session.
// It is complete once it has as many streams as the protocol.
type streamGroup[S, R proto.Message] struct {
	id      groupID
	streams []*sessionStream[S, R] // by index; nil if the stream has not arrived
	session *session[S, R]         // set when all streams have arrived
	ended   bool
	// previous is the superseded group. It must be reported down before this one is
	// reported up.
	previous *streamGroup[S, R]
	done     chan struct{}
}

// acceptor serves the links that peers dial. A newer stream group of a peer
// supersedes the older one.
type acceptor[S, R proto.Message] struct {
	protocol protocol[S, R]
	self     Identity
	opts     Options
	events   peerEvents[R]
	// validatePeer returns an error for a peer that may not connect. It may be nil.
	validatePeer func(name string) error
	dropped      atomic.Uint64 // messages that send could not queue

	mu     sync.Mutex
	closed bool
	peers  map[string]*streamGroup[S, R] // newest stream group of each peer
	wg     sync.WaitGroup
}

func newAcceptor[S, R proto.Message](p protocol[S, R], self Identity, opts Options, events peerEvents[R]) *acceptor[S, R] {
	return &acceptor[S, R]{
		protocol: p,
		self:     self,
		opts:     opts.withDefaults(),
		events:   events,
		peers:    map[string]*streamGroup[S, R]{},
	}
}

// serveDRPC serves connections until the context is cancelled or the listener fails.
func (a *acceptor[S, R]) serveDRPC(ctx context.Context, handler drpc.Handler, listener net.Listener) error {
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions(a.opts)})
	return server.Serve(ctx, deadlineListener{Listener: listener, timeout: a.opts.WriteTimeout})
}

// serve handles the accepted stream with an index and returns when it has ended.
func (a *acceptor[S, R]) serve(ctx context.Context, st stream[S, R], index int) error {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return errors.New("stream has no transport")
	}
	closeConn := func() { _ = transport.Close() }
	name, id, err := a.exchangeHellos(ctx, st, closeConn)
	if err != nil {
		klog.InfoS("stream refused", "self", a.self.Name, "peer", name, "err", err)
		return err
	}
	ss := &sessionStream[S, R]{stream: st, closeTransport: closeConn, queue: newQueue[S](a.opts)}
	group, complete, err := a.join(name, id, ss, index)
	if err != nil {
		return stepError(err, "join", name)
	}
	if complete {
		return a.run(name, group)
	}
	return a.waitForGroup(ctx, name, group)
}

// exchangeHellos exchanges Hellos within HelloTimeout, after which closeConn is
// called. It returns the peer's name and the ID of the stream's group.
func (a *acceptor[S, R]) exchangeHellos(ctx context.Context, st stream[S, R], closeConn func()) (string, groupID, error) {
	timer := time.AfterFunc(a.opts.HelloTimeout, closeConn)
	defer timer.Stop()
	name, inc, err := a.protocol.receiveHello(st)
	if err != nil {
		return name, groupID{}, err
	}
	if a.validatePeer != nil {
		if err := a.validatePeer(name); err != nil {
			return name, groupID{}, err
		}
	}
	meta, _ := drpcmetadata.Get(ctx)
	dialNumber, err := strconv.ParseUint(meta[dialNumberKey], 10, 64)
	if err != nil {
		return name, groupID{}, errors.Wrap(err, "parse dial number in stream metadata")
	}
	if err := st.Send(a.protocol.wrapHello(newHello(a.self))); err != nil {
		return name, groupID{}, err
	}
	return name, groupID{incarnation: inc, dialNumber: dialNumber}, nil
}

// join adds a stream to its group and reports whether the group is complete. A
// group newer than the peer's current one supersedes it. A stream of an older or
// ended group, or one whose index is already in use, is rejected.
func (a *acceptor[S, R]) join(name string, id groupID, ss *sessionStream[S, R], index int) (*streamGroup[S, R], bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, false, errClosed
	}
	current := a.peers[name]
	comparison := 1
	if current != nil {
		comparison = id.compare(current.id)
	}
	if comparison < 0 {
		return nil, false, errSuperseded
	}
	if comparison > 0 {
		next := &streamGroup[S, R]{
			id:       id,
			streams:  make([]*sessionStream[S, R], a.protocol.streams),
			previous: current,
			done:     make(chan struct{}),
		}
		if current != nil {
			a.endLocked(current, errSuperseded)
		}
		a.peers[name] = next
		current = next
	}
	if current.ended || current.streams[index] != nil {
		return nil, false, errSuperseded
	}
	current.streams[index] = ss
	for _, other := range current.streams {
		if other == nil {
			return current, false, nil
		}
	}
	current.session = newSession(name, id.incarnation, current.streams)
	a.wg.Add(1)
	return current, true, nil
}

// endLocked ends a group. It does not wait until the link is reported down. The
// reason is that of the group's session, and is not used without a session.
func (a *acceptor[S, R]) endLocked(group *streamGroup[S, R], reason error) {
	if group.ended {
		return
	}
	group.ended = true
	if group.session != nil {
		group.session.terminate(reason)
		return
	}
	for _, ss := range group.streams {
		if ss != nil {
			ss.closeTransport()
		}
	}
	close(group.done)
}

// waitForGroup keeps a stream of an incomplete group open until the group has ended.
// If the group is not complete within HelloTimeout, it ends the group.
func (a *acceptor[S, R]) waitForGroup(ctx context.Context, name string, group *streamGroup[S, R]) error {
	timer := time.NewTimer(a.opts.HelloTimeout)
	defer timer.Stop()
	select {
	case <-group.done:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	if group.session == nil {
		a.endLocked(group, errIncompleteGroup)
		if a.peers[name] == group {
			delete(a.peers, name)
		}
	}
	a.mu.Unlock()
	<-group.done
	return nil
}

// run runs the session of a complete group until it ends.
func (a *acceptor[S, R]) run(name string, group *streamGroup[S, R]) error {
	defer a.wg.Done()
	if group.previous != nil {
		<-group.previous.done
		group.previous = nil
	}
	klog.InfoS("link up", "kind", a.protocol.name, "self", a.self.Name, "peer", name, "incarnation", group.id.incarnation)
	err := group.session.run(a.events.bind(name, group.id.incarnation))
	klog.InfoS("link down", "kind", a.protocol.name, "self", a.self.Name, "peer", name, "incarnation", group.id.incarnation, "err", err)
	a.mu.Lock()
	group.ended = true
	if a.peers[name] == group {
		delete(a.peers, name)
	}
	a.mu.Unlock()
	close(group.done)
	return err
}

// findSession returns the session of a peer's incarnation, or nil. Incarnation 0
// matches any.
func (a *acceptor[S, R]) findSession(name string, inc domain.Incarnation) *session[S, R] {
	a.mu.Lock()
	defer a.mu.Unlock()
	group := a.peers[name]
	if group == nil || group.session == nil {
		return nil
	}
	if inc != 0 && group.id.incarnation != inc {
		return nil
	}
	return group.session
}

// send queues a message and reports whether it was queued.
func (a *acceptor[S, R]) send(name string, inc domain.Incarnation, m S) bool {
	if s := a.findSession(name, inc); s != nil && s.send(a.protocol.route(m), m) {
		return true
	}
	a.dropped.Add(1)
	return false
}

// closeSession terminates the session of a peer's incarnation, if any.
func (a *acceptor[S, R]) closeSession(name string, inc domain.Incarnation) {
	if s := a.findSession(name, inc); s != nil {
		s.terminate(errClosedLocally)
	}
}

// close ends all sessions, rejects new ones and waits until all have ended.
func (a *acceptor[S, R]) close() {
	a.mu.Lock()
	a.closed = true
	for _, group := range a.peers {
		a.endLocked(group, errClosed)
	}
	a.mu.Unlock()
	a.wg.Wait()
}
