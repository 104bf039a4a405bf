package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// loopback is a listen address with a port that the system chooses.
	loopback = "127.0.0.1:0"
	// idleMeasureSeconds is the wall-clock time over which idle CPU time is averaged.
	idleMeasureSeconds = 2
	// heartbeatRounds is the number of heartbeats sent in each direction on each link.
	heartbeatRounds = 10
	// linkTimeout bounds the wait for links to connect and messages to arrive.
	linkTimeout = 30 * time.Second
	// currentRevision is the revision after two years with 900 changes per day. Its
	// size affects the encoded size of messages.
	currentRevision = 657_000
)

// cpuTimePerSecond sleeps for some seconds and returns the CPU time that this
// process used meanwhile, in microseconds per second.
func cpuTimePerSecond(seconds int) float64 {
	before := cpuTime()
	time.Sleep(time.Duration(seconds) * time.Second)
	return float64((cpuTime() - before).Microseconds()) / float64(seconds)
}

// linkMeasures returns the measures of links between an entry and its agents. They
// open several hundred connections on loopback.
func linkMeasures() []Measure {
	sizes := []int{50, 150, 300}
	return []Measure{{
		Name:  "link-memory",
		Title: "Live heap and stacks of both ends of the links between one entry and its agents, with two connections per link",
		Size:  "links", Unit: "bytes", Sizes: sizes, Run: linkMemory,
	}, {
		Name:  "link-bytes-agent",
		Title: "Bytes on the connections for one heartbeat per second in each direction between one entry and its agents, with drpc framing, without TCP and IP headers",
		Size:  "links", Unit: "bytes per second in both directions", Sizes: sizes, Run: linkHeartbeatBytes, Deterministic: true,
	}, {
		Name:  "link-processor",
		Title: "CPU time of both ends for one heartbeat in each direction on each link, including the sockets",
		Size:  "links", Unit: "microseconds per second", Sizes: sizes, Run: linkHeartbeatCPUTime,
	}}
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: c.bytes}, nil
}

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// testbed is one entry with links to many agents. It receives the messages of
// both ends and counts them.
type testbed struct {
	entry    *wire.AgentLinks
	agents   []*wire.EntryLinks
	ids      []domain.EndpointID
	cancel   context.CancelFunc
	bytes    atomic.Int64 // on the connections, in both directions
	linksUp  atomic.Int64 // ends of links
	messages atomic.Int64 // received at either end
}

// AgentUp counts the entry's end of a link.
func (b *testbed) AgentUp(domain.EndpointID, domain.Incarnation) { b.linksUp.Add(1) }

// AgentDown does nothing.
func (b *testbed) AgentDown(domain.EndpointID) {}

// OnAgentMessage counts a message that the entry received.
func (b *testbed) OnAgentMessage(domain.EndpointID, *pb.ToEntry) { b.messages.Add(1) }

// EntryUp counts the agent's end of a link.
func (b *testbed) EntryUp(domain.EntryID, domain.Incarnation) { b.linksUp.Add(1) }

// EntryDown does nothing.
func (b *testbed) EntryDown(domain.EntryID, domain.Incarnation) {}

// OnEntryMessage counts a message that an agent received.
func (b *testbed) OnEntryMessage(domain.EntryID, domain.Incarnation, *pb.ToAgent) { b.messages.Add(1) }

// identity returns the identity of a process that has the revision currentRevision.
func identity(name string) wire.Identity {
	return wire.Identity{Name: name, Incarnation: 1, Revision: func() domain.Revision { return currentRevision }}
}

// startTestbed connects one entry to linkCount agents and waits until all links
// are up.
func startTestbed(linkCount int) (*testbed, error) {
	ctx, cancel := context.WithCancel(context.Background())
	bench := &testbed{cancel: cancel}
	targets := make([]wire.AgentTarget, 0, linkCount)
	for i := range linkCount {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			bench.close()
			return nil, errors.Wrapf(err, "step=listen peer=%s", endpointName(i))
		}
		id := domain.EndpointID(endpointName(i))
		agent := wire.NewEntryLinks(identity(string(id)), bench, wire.Options{})
		go func() { _ = agent.Serve(ctx, countingListener{Listener: listener, bytes: &bench.bytes}) }()
		bench.agents = append(bench.agents, agent)
		bench.ids = append(bench.ids, id)
		targets = append(targets, wire.AgentTarget{ID: id, Address: listener.Addr().String()})
	}
	bench.entry = wire.NewAgentLinks(identity("entry-000"), bench, wire.Options{})
	if err := bench.entry.SetTargets(targets); err != nil {
		bench.close()
		return nil, err
	}
	if !waitFor(func() bool { return bench.linksUp.Load() >= int64(2*linkCount) }) {
		bench.close()
		return nil, errors.New("step=links peer=agents not all links are up")
	}
	return bench, nil
}

func (b *testbed) close() {
	if b.entry != nil {
		b.entry.Close()
	}
	b.cancel()
	for _, agent := range b.agents {
		agent.Close()
	}
}

// exchangeHeartbeats sends heartbeats in both directions on each link and reports
// whether all arrived within linkTimeout.
func (b *testbed) exchangeHeartbeats(rounds int) bool {
	expected := b.messages.Load() + int64(2*rounds*len(b.ids))
	for range rounds {
		for i, id := range b.ids {
			b.entry.Send(id, &pb.ToAgent{Kind: &pb.ToAgent_Heartbeat{Heartbeat: &pb.EntryHeartbeat{Revision: currentRevision}}})
			b.agents[i].Send("entry-000", 1, &pb.ToEntry{Kind: &pb.ToEntry_Heartbeat{Heartbeat: fullHeartbeat()}})
		}
	}
	return waitFor(func() bool { return b.messages.Load() >= expected })
}

// fullHeartbeat returns an agent's heartbeat with all fields set.
func fullHeartbeat() *pb.AgentHeartbeat {
	return &pb.AgentHeartbeat{
		Revision: currentRevision, FreeSlots: 3, Slots: 60, Queued: 12, LowestTierQueued: 6, ServiceUs: 4_000_000,
	}
}

// waitFor polls until a condition is true. It reports false after linkTimeout.
func waitFor(condition func() bool) bool {
	for deadline := time.Now().Add(linkTimeout); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func linkMemory(linkCount int) (float64, error) {
	var bench *testbed
	bytes, err := memoryGrowth(func() (any, error) {
		var err error
		if bench, err = startTestbed(linkCount); err != nil {
			return nil, err
		}
		bench.exchangeHeartbeats(heartbeatRounds)
		return bench, nil
	})
	if bench != nil {
		bench.close()
	}
	return bytes, err
}

// linkHeartbeatBytes returns the bytes of one round of heartbeats, that is, of one
// second in which each side sends one heartbeat on each link.
func linkHeartbeatBytes(linkCount int) (float64, error) {
	bench, err := startTestbed(linkCount)
	if err != nil {
		return 0, err
	}
	defer bench.close()
	before := bench.bytes.Load()
	if !bench.exchangeHeartbeats(heartbeatRounds) {
		return 0, errors.New("step=heartbeat peer=agents heartbeats not received")
	}
	return float64(bench.bytes.Load()-before) / heartbeatRounds, nil
}

// linkHeartbeatCPUTime returns the CPU time of one round of heartbeats, that is, of
// one second in which each side sends one heartbeat on each link.
func linkHeartbeatCPUTime(linkCount int) (float64, error) {
	bench, err := startTestbed(linkCount)
	if err != nil {
		return 0, err
	}
	defer bench.close()
	before := cpuTime()
	for range heartbeatRounds {
		if !bench.exchangeHeartbeats(1) {
			return 0, errors.New("step=heartbeat peer=agents heartbeats not received")
		}
	}
	return float64((cpuTime() - before).Microseconds()) / heartbeatRounds, nil
}
