package wire

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// middlebox is a TCP proxy in front of an agent. It can stop forwarding its open
// connections without closing them, while new ones work.
type middlebox struct {
	target string
	// ignored is the number of connections, from the first on, that are accepted and
	// then ignored.
	ignored int

	mu         sync.Mutex
	generation int
	conns      []net.Conn
}

func startMiddlebox(t *testing.T, target string, ignored int) (*middlebox, string) {
	t.Helper()
	b := &middlebox{target: target, ignored: ignored}
	listener := listen(t, "127.0.0.1:0")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if b.ignored > 0 {
				b.ignored--
				t.Cleanup(func() { conn.Close() })
				continue
			}
			b.forward(conn)
		}
	}()
	t.Cleanup(b.closeConns)
	return b, listener.Addr().String()
}

func (b *middlebox) forward(conn net.Conn) {
	out, err := net.Dial("tcp", b.target)
	if err != nil {
		conn.Close()
		return
	}
	b.mu.Lock()
	generation := b.generation
	b.conns = append(b.conns, conn, out)
	b.mu.Unlock()
	go b.copy(generation, conn, out)
	go b.copy(generation, out, conn)
}

// copy forwards bytes in one direction. It discards them once the connection is stalled.
func (b *middlebox) copy(generation int, to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		b.mu.Lock()
		stalled := b.generation != generation
		b.mu.Unlock()
		if stalled {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// stall stops forwarding the open connections without closing them.
func (b *middlebox) stall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.generation++
}

// closeConns closes all connections of the proxy.
func (b *middlebox) closeConns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, conn := range b.conns {
		conn.Close()
	}
	b.conns = nil
}

func TestLostConnectionIsReplaced(t *testing.T) {
	a := startAgent(t, 7, "127.0.0.1:0")
	box, address := startMiddlebox(t, a.address, 0)
	r, links := startEntry(t, 3, address)
	r.expect(t, "up engine-1/7")
	a.expect(t, "up entry-1/3")
	stall := func() {
		box.stall()
		links.Send("engine-1", reserve(1))
		a.links.Send("entry-1", 3, grant(1))
		links.Reconnect("engine-1")
	}
	disconnect := func() { a.links.Disconnect("entry-1", 3) }
	for _, lose := range []func(){box.closeConns, disconnect, stall} {
		lose()
		r.expect(t, "down engine-1", "up engine-1/7")
		a.expect(t, "down entry-1/3", "up entry-1/3")
		links.Send("engine-1", reserve(2))
		a.expect(t, "reserve 2 from entry-1/3")
		a.links.Send("entry-1", 3, grant(2))
		r.expect(t, "grant 2 from engine-1")
	}
}

func TestRestartedAgentReportsNewIncarnation(t *testing.T) {
	a := startAgent(t, 7, "127.0.0.1:0")
	r, links := startEntry(t, 3, a.address)
	r.expect(t, "up engine-1/7")
	a.stop()
	r.expect(t, "down engine-1")
	links.Send("engine-1", reserve(1))
	assert.Equal(t, links.Dropped(), uint64(1))
	startAgent(t, 8, a.address)
	r.expect(t, "up engine-1/8")
}

func TestRestartedEntrySupersedesOldLink(t *testing.T) {
	a := startAgent(t, 7, "127.0.0.1:0")
	box, address := startMiddlebox(t, a.address, 0)
	old, _ := startEntry(t, 3, address)
	old.expect(t, "up engine-1/7")
	a.expect(t, "up entry-1/3")
	box.stall()
	a.delay.Store(int64(20 * time.Millisecond))
	startEntry(t, 4, a.address)
	a.expect(t, "down entry-1/3", "up entry-1/4")
	a.links.Send("entry-1", 3, grant(1))
	assert.Equal(t, a.links.Dropped(), uint64(1))
	a.links.Disconnect("entry-1", 3)
	a.links.Send("entry-1", 4, grant(2))
	assert.Equal(t, a.links.Dropped(), uint64(1))
}

func TestUnresponsivePeerIsRedialled(t *testing.T) {
	a := startAgent(t, 7, "127.0.0.1:0")
	_, address := startMiddlebox(t, a.address, 5)
	r, _ := startEntry(t, 3, address, func(o *Options) { o.HelloTimeout = 50 * time.Millisecond })
	r.expect(t, "up engine-1/7")
	a.expect(t, "up entry-1/3")
}

func TestBlockedWriteTimesOut(t *testing.T) {
	blocked := make(chan struct{})
	a := startAgent(t, 7, "127.0.0.1:0")
	box, address := startMiddlebox(t, a.address, 0)
	r, links := startEntry(t, 3, address, func(o *Options) { o.WriteTimeout = 50 * time.Millisecond })
	r.expect(t, "up engine-1/7")
	box.mu.Lock() // stops forwarding, so that the buffers of the connection fill up
	go func() {
		defer close(blocked)
		body := make([]byte, 1<<20)
		m := &pb.ToAgent{Kind: &pb.ToAgent_HandOver{HandOver: &pb.HandOver{Body: body}}}
		for links.dialer.send("engine-1", m) {
			time.Sleep(time.Millisecond)
		}
	}()
	r.expect(t, "down engine-1")
	<-blocked
	box.mu.Unlock()
	r.expect(t, "up engine-1/7")
}

func TestSetTargets(t *testing.T) {
	first := startAgent(t, 7, "127.0.0.1:0")
	second := startAgent(t, 8, "127.0.0.1:0")
	r, links := startEntry(t, 3, first.address)
	r.expect(t, "up engine-1/7")
	r.delay.Store(int64(20 * time.Millisecond))
	assert.NilError(t, links.SetTargets([]AgentTarget{{ID: "engine-1", Address: second.address}}))
	r.expect(t, "down engine-1", "up engine-1/8")
	assert.NilError(t, links.SetTargets(nil))
	assert.NilError(t, links.SetTargets([]AgentTarget{{ID: "engine-1", Address: first.address}}))
	r.expect(t, "down engine-1", "up engine-1/7")

	err := links.SetTargets([]AgentTarget{{ID: "engine-1", Address: first.address}, {ID: "engine-2", Address: "localhost:80"}})
	assert.ErrorContains(t, err, `peer=engine-2: address "localhost:80" is not an IP address with a port`)
	assert.ErrorContains(t, links.SetTargets([]AgentTarget{{ID: "engine-3", Address: "127.0.0.1:0"}}), "has no port")
	r.expect(t, "down engine-1")
	links.Close()
	assert.ErrorContains(t, links.SetTargets(nil), "closed")
}

func TestUnexpectedPeerIsRejected(t *testing.T) {
	a := startAgent(t, 7, "127.0.0.1:0")
	l := &link[*pb.ToAgent, *pb.ToEntry]{
		dialer: newDialer(entryToAgent, identity("entry-1", 3), shortBackoff, peerEvents[*pb.ToEntry]{}),
		name:   "engine-2",
		ctx:    context.Background(),
	}
	_, conns, err := l.connect(a.address, 1)
	closeAll(conns)
	assert.ErrorContains(t, err, `step=hello peer=engine-2`)
	assert.ErrorContains(t, err, `identifies itself as "engine-1"`)

	_, err = commonIncarnation([]domain.Incarnation{7, 8})
	assert.ErrorContains(t, err, "two incarnations")

	// A session dialled before the address of its link changed is not used.
	l.address = "127.0.0.1:2"
	assert.Assert(t, !l.activate(nil, "127.0.0.1:1"))
}

// TestMessagesAreNotDuplicated sends numbered messages while the link is
// reconnected, disconnected, closed and stalled. Messages must arrive at most once, in
// order, and only between up and down.
func TestMessagesAreNotDuplicated(t *testing.T) {
	const messages = 400
	random := rand.New(rand.NewPCG(1, 2))
	a := startAgent(t, 7, "127.0.0.1:0")
	box, address := startMiddlebox(t, a.address, 0)
	r, links := startEntry(t, 3, address)
	r.expect(t, "up engine-1/7")
	for i := range uint64(messages) {
		links.Send("engine-1", reserve(i+1))
		switch random.IntN(20) {
		case 0:
			links.Reconnect("engine-1")
		case 1:
			a.links.Disconnect("entry-1", 3)
		case 2:
			box.closeConns()
		case 3:
			box.stall()
			links.Reconnect("engine-1")
		}
	}
	up := false
	last := 0
	for last <= messages {
		var line string
		select {
		case line = <-a.lines:
		case <-time.After(time.Millisecond):
			links.Send("engine-1", reserve(messages+1))
			continue
		}
		isUp, isDown := strings.HasPrefix(line, "up "), strings.HasPrefix(line, "down ")
		assert.Equal(t, up, !isUp, line)
		up = !isDown
		if !isUp && !isDown {
			var call int
			_, err := fmt.Sscanf(line, "reserve %d", &call)
			assert.NilError(t, err, line)
			assert.Assert(t, call > last, "%s after %d", line, last)
			last = call
		}
	}
}

func TestQueueIsBounded(t *testing.T) {
	q := newQueue[*pb.ToAgent](Options{QueueCount: 2, QueueBytes: 100})
	assert.Assert(t, q.push(reserve(1)))
	assert.Assert(t, q.push(reserve(2)))
	assert.Assert(t, !q.push(reserve(3)))
	m, ok := q.tryPop()
	assert.Assert(t, ok)
	assert.Equal(t, m.GetReserve().GetCall(), uint64(1))
	big := &pb.ToAgent{Kind: &pb.ToAgent_HandOver{HandOver: &pb.HandOver{Body: make([]byte, 100)}}}
	assert.Assert(t, !q.push(big))
	q = newQueue[*pb.ToAgent](Options{QueueCount: 2, QueueBytes: 1 << 30})
	big.GetHandOver().Body = make([]byte, MaxMessageBytes)
	assert.Assert(t, !q.push(big))
	big.GetHandOver().Body = make([]byte, 60)
	q = newQueue[*pb.ToAgent](Options{QueueCount: 2, QueueBytes: 100})
	for range 3 {
		assert.Assert(t, q.push(big))
		_, ok = q.tryPop()
		assert.Assert(t, ok)
	}
}

func startPeer(t *testing.T, name string) (*recorder, *PeerLinks, string) {
	t.Helper()
	r := newRecorder()
	links := NewPeerLinks(identity(name, domain.Incarnation(len(name))), r, shortBackoff)
	listener := listen(t, "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(links.Close)
	t.Cleanup(cancel)
	go links.Serve(ctx, listener)
	return r, links, listener.Addr().String()
}

func TestPeerMessagesBothWays(t *testing.T) {
	documentsRequest := func(n uint64) *pb.ToPeer {
		return &pb.ToPeer{Kind: &pb.ToPeer_DocumentsRequest{DocumentsRequest: &pb.DocumentsRequest{After: n}}}
	}
	r1, first, address1 := startPeer(t, "a")
	r2, second, address2 := startPeer(t, "bb")
	targets := []PeerTarget{{ID: "a", Address: address1}, {ID: "bb", Address: address2}}
	assert.NilError(t, second.SetTargets(targets))
	assert.NilError(t, first.SetTargets(targets))
	r1.expect(t, "up bb/2")
	r2.expect(t, "up a/1")
	first.Send("bb", documentsRequest(1))
	r2.expect(t, "documents_request 1 from a")
	second.Send("a", documentsRequest(2))
	r1.expect(t, "documents_request 2 from bb")
	second.Reconnect("a")
	r1.expect(t, "down bb", "up bb/2")
	r2.expect(t, "down a", "up a/1")
	first.Reconnect("bb")
	r1.expect(t, "down bb", "up bb/2")
	first.Send("nobody", documentsRequest(3))
	second.Send("a0", documentsRequest(4))
	assert.Equal(t, first.Dropped()+second.Dropped(), uint64(2))
	assert.ErrorContains(t, second.acceptor.validatePeer("bb"), "must be dialled by")
	assert.ErrorContains(t, second.acceptor.validatePeer("c"), "must be dialled by")
}
