package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// backoffResetAfter is the minimum duration of an attempt, including its session,
// after which the backoff starts again from BackoffMin.
const backoffResetAfter = 5 * time.Second

// peerEvents are the callbacks for the state and the messages of links. The name
// is that of the peer.
type peerEvents[R proto.Message] struct {
	up      func(name string, inc domain.Incarnation)
	down    func(name string, inc domain.Incarnation)
	receive func(name string, inc domain.Incarnation, m R)
}

// bind returns session handlers for one incarnation of a peer.
func (e peerEvents[R]) bind(name string, inc domain.Incarnation) handlers[R] {
	return handlers[R]{
		up:      func() { e.up(name, inc) },
		down:    func() { e.down(name, inc) },
		receive: func(m R) { e.receive(name, inc, m) },
	}
}

// dialer maintains a link to each of its targets.
type dialer[S, R proto.Message] struct {
	protocol       protocol[S, R]
	self           Identity
	opts           Options
	events         peerEvents[R]
	lastDialNumber atomic.Uint64 // number of the last attempt to dial
	dropped        atomic.Uint64 // messages that send could not queue

	mu     sync.Mutex
	closed bool
	links  map[string]*link[S, R]
	// stopping holds the last removed link of each name until it has ended. A new
	// link of the same name waits for it.
	stopping map[string]*link[S, R]
	wg       sync.WaitGroup
}

func newDialer[S, R proto.Message](p protocol[S, R], self Identity, opts Options, events peerEvents[R]) *dialer[S, R] {
	return &dialer[S, R]{
		protocol: p,
		self:     self,
		opts:     opts.withDefaults(),
		events:   events,
		links:    map[string]*link[S, R]{},
		stopping: map[string]*link[S, R]{},
	}
}

// setTargets starts, updates and stops links so that they match the targets, a map
// from name to address. A target with an invalid address counts as absent and is
// named in the error.
func (d *dialer[S, R]) setTargets(targets map[string]string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errors.New("links are closed")
	}
	var invalid error
	wanted := make(map[string]bool, len(targets))
	for name, address := range targets {
		if err := validateAddress(address); err != nil {
			invalid = errors.CombineErrors(invalid, stepError(err, "dial", name))
			continue
		}
		wanted[name] = true
		d.startOrUpdateLocked(name, address)
	}
	for name, l := range d.links {
		if wanted[name] {
			continue
		}
		delete(d.links, name)
		d.stopping[name] = l
		l.stop()
	}
	return invalid
}

// startOrUpdateLocked starts a link, or sets the address of an existing one.
func (d *dialer[S, R]) startOrUpdateLocked(name, address string) {
	if l, ok := d.links[name]; ok {
		l.setAddress(address)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &link[S, R]{dialer: d, name: name, address: address, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	d.links[name] = l
	previous := d.stopping[name]
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		defer close(l.done)
		if previous != nil {
			<-previous.done
		}
		l.run()
		d.removeStopped(l)
	}()
}

// removeStopped removes a link that has ended from stopping.
func (d *dialer[S, R]) removeStopped(l *link[S, R]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping[l.name] == l {
		delete(d.stopping, l.name)
	}
}

// send queues a message and reports whether it did. It counts the message as
// dropped otherwise.
func (d *dialer[S, R]) send(name string, m S) bool {
	d.mu.Lock()
	l := d.links[name]
	d.mu.Unlock()
	if l != nil {
		if s := l.currentSession(); s != nil && s.send(d.protocol.route(m), m) {
			return true
		}
	}
	d.dropped.Add(1)
	return false
}

// isUp reports whether the link to a target has a session.
func (d *dialer[S, R]) isUp(name string) bool {
	d.mu.Lock()
	l := d.links[name]
	d.mu.Unlock()
	return l != nil && l.currentSession() != nil
}

// reconnect terminates the session of a link. The link then dials again without a pause.
func (d *dialer[S, R]) reconnect(name string) {
	d.mu.Lock()
	l := d.links[name]
	d.mu.Unlock()
	if l == nil {
		return
	}
	if s := l.currentSession(); s != nil {
		s.terminate(errClosedLocally)
	}
}

// close stops all links and waits until they have ended.
func (d *dialer[S, R]) close() {
	d.mu.Lock()
	d.closed = true
	for _, l := range d.links {
		l.stop()
	}
	d.mu.Unlock()
	d.wg.Wait()
}

// link maintains a session to one target.
type link[S, R proto.Message] struct {
	dialer *dialer[S, R]
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	address string
	session *session[S, R] // nil while down
}

func (l *link[S, R]) currentSession() *session[S, R] {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

// activate sets the current session and reports whether it did. It does not if the
// link's address has changed since the session was dialled.
func (l *link[S, R]) activate(s *session[S, R], address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		return false
	}
	l.session = s
	return true
}

// deactivate clears the current session.
func (l *link[S, R]) deactivate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = nil
}

// setAddress sets the address to dial. A session to another address is terminated.
func (l *link[S, R]) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return
	}
	l.address = address
	if l.session != nil {
		l.session.terminate(errClosedLocally)
	}
}

// stop stops the link. It does not wait.
func (l *link[S, R]) stop() {
	l.cancel()
	if s := l.currentSession(); s != nil {
		s.terminate(errClosedLocally)
	}
}

// run dials the target and runs sessions until the link is stopped. It pauses with
// exponential backoff after a failed attempt or a failed session. A failed attempt
// is logged only if it is the first of consecutive failures. The end of a session,
// which connectAndRun logs, counts as a failure too. An attempt that lasted at least
// backoffResetAfter starts a new count.
func (l *link[S, R]) run() {
	opts := l.dialer.opts
	pause := opts.BackoffMin
	failures := 0
	for l.ctx.Err() == nil {
		start := time.Now()
		wasUp, err := l.connectAndRun()
		if l.ctx.Err() != nil {
			return
		}
		if time.Since(start) >= backoffResetAfter {
			pause = opts.BackoffMin
			failures = 0
		}
		if errors.Is(err, errClosedLocally) {
			continue
		}
		failures++
		if failures == 1 && !wasUp {
			klog.InfoS("link failed", "kind", l.dialer.protocol.name, "self", l.dialer.self.Name, "peer", l.name, "err", err)
		}
		l.sleep(jitter(pause))
		pause = min(2*pause, opts.BackoffMax)
	}
}

// connectAndRun dials once and runs the session until it ends. It reports whether
// the session came up, in which case its end has been logged.
func (l *link[S, R]) connectAndRun() (wasUp bool, err error) {
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	dialNumber := l.dialer.lastDialNumber.Add(1)
	s, conns, err := l.connect(address, dialNumber)
	defer closeAll(conns)
	if err != nil {
		return false, err
	}
	if !l.activate(s, address) {
		return false, errClosedLocally
	}
	defer l.deactivate()
	if l.ctx.Err() != nil {
		return false, l.ctx.Err()
	}
	klog.InfoS("link up", "kind", l.dialer.protocol.name, "self", l.dialer.self.Name, "peer", l.name, "incarnation", s.incarnation)
	err = s.run(l.dialer.events.bind(l.name, s.incarnation))
	klog.InfoS("link down", "kind", l.dialer.protocol.name, "self", l.dialer.self.Name, "peer", l.name, "incarnation", s.incarnation, "err", err)
	return true, err
}

// connect opens all streams of a session. The caller must close the returned
// connections, also on an error.
func (l *link[S, R]) connect(address string, dialNumber uint64) (*session[S, R], []*drpcconn.Conn, error) {
	count := l.dialer.protocol.streams
	conns := make([]*drpcconn.Conn, count)
	streams := make([]*sessionStream[S, R], count)
	incarnations := make([]domain.Incarnation, count)
	var group errgroup.Group
	for i := range count {
		group.Go(func() (err error) {
			conns[i], streams[i], incarnations[i], err = l.openStream(address, dialNumber, i)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, conns, err
	}
	inc, err := commonIncarnation(incarnations)
	if err != nil {
		return nil, conns, stepError(err, "hello", l.name)
	}
	return newSession(l.name, inc, streams), conns, nil
}

// commonIncarnation returns the peer incarnation that all streams reached, or an
// error if they differ.
func commonIncarnation(reached []domain.Incarnation) (domain.Incarnation, error) {
	for _, inc := range reached {
		if inc != reached[0] {
			return 0, errors.New("streams reached two incarnations")
		}
	}
	return reached[0], nil
}

// openStream dials one connection and exchanges Hellos on it.
func (l *link[S, R]) openStream(address string, dialNumber uint64, index int) (*drpcconn.Conn, *sessionStream[S, R], domain.Incarnation, error) {
	opts := l.dialer.opts
	p := l.dialer.protocol
	netDialer := net.Dialer{Timeout: opts.DialTimeout}
	raw, err := netDialer.DialContext(l.ctx, "tcp", address)
	if err != nil {
		return nil, nil, 0, stepError(err, "dial", l.name)
	}
	timer := time.AfterFunc(opts.HelloTimeout, func() { _ = raw.Close() })
	defer timer.Stop()
	conn := drpcconn.NewWithOptions(deadlineConn{Conn: raw, timeout: opts.WriteTimeout}, drpcconn.Options{Manager: managerOptions(opts)})
	ctx := drpcmetadata.Add(l.ctx, dialNumberKey, strconv.FormatUint(dialNumber, 10))
	st, err := p.open(ctx, conn, index)
	if err != nil {
		return conn, nil, 0, stepError(err, "open", l.name)
	}
	if err := st.Send(p.wrapHello(newHello(l.dialer.self))); err != nil {
		return conn, nil, 0, stepError(err, "hello", l.name)
	}
	name, inc, err := p.receiveHello(st)
	if err != nil {
		return conn, nil, 0, stepError(err, "hello", l.name)
	}
	if name != l.name {
		return conn, nil, 0, stepError(errors.Newf("%s identifies itself as %q", address, name), "hello", l.name)
	}
	return conn, &sessionStream[S, R]{
		stream:         st,
		closeTransport: func() { _ = raw.Close() },
		queue:          newQueue[S](opts),
	}, inc, nil
}

// sleep waits for d or until the link is stopped.
func (l *link[S, R]) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
}

// jitter returns a random duration between d/2 and d, which keeps peers from
// dialling at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// closeAll closes the connections that are not nil.
func closeAll(conns []*drpcconn.Conn) {
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}
