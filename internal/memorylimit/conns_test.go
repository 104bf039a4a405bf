package memorylimit

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

var client = netip.MustParseAddr("127.0.0.1")

// Guards against a request in progress that is closed for a new connection, and connections or heads beyond the limits.
func TestConnsHoldTheirLimits(t *testing.T) {
	const headLimit = mib
	rapid.Check(t, func(t *rapid.T) {
		table := NewConns(ConnLimits{Conns: 8, Heads: headLimit})
		var now domain.Instant
		var open []*Conn
		pick := func() *Conn {
			if len(open) == 0 {
				t.Skip("none is open")
			}
			return rapid.SampledFrom(open).Draw(t, "connection")
		}
		remove := func(c *Conn) {
			table.Close(c)
			for i := range open {
				if open[i] == c {
					open = append(open[:i], open[i+1:]...)
					return
				}
			}
			t.Fatal("the one to close is not open")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				var heads int64
				for _, c := range open {
					heads += c.head
				}
				assert.Assert(t, table.Len() == len(open) && len(open) <= 8 && table.Heads() == heads)
				assert.Assert(t, heads <= headLimit)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"open": func(t *rapid.T) {
				c, victim := table.Open(now, client)
				if victim != nil {
					assert.Assert(t, victim.phase != connBusy || victim.draining || victim.stalled(now) > stallGrace)
					remove(victim)
				}
				if c == nil {
					assert.Equal(t, len(open), 8)
					return
				}
				open = append(open, c)
			},
			"read": func(t *rapid.T) {
				c, bytes := pick(), rapid.IntRange(1, 4096).Draw(t, "bytes")
				for victim := table.Read(now, c, bytes, bytes/4); victim != nil; victim = table.Read(now, c, 0, 0) {
					assert.Assert(t, victim == c || victim.phase == connHead)
					remove(victim)
				}
			},
			"begin": func(t *rapid.T) {
				c := pick()
				if !table.Begin(now, c, int64(rapid.IntRange(1, 200<<10).Draw(t, "cost")), rapid.Bool().Draw(t, "body")) {
					remove(c)
				}
			},
			"arrived": func(*rapid.T) { table.BodyArrived(pick()) },
			"drain": func(*rapid.T) {
				if c := pick(); c.phase == connBusy {
					table.Draining(c)
				}
			},
			"idle":  func(*rapid.T) { table.Idle(now, pick()) },
			"close": func(*rapid.T) { remove(pick()) },
		})
	})
}

// openIdle opens a connection that has served a request.
func openIdle(t *Conns, now domain.Instant) *Conn {
	c, _ := t.Open(now, client)
	t.Begin(now, c, 0, false)
	t.Idle(now, c)
	return c
}

// Guards against a flood of silent connections that closes those that callers reuse: beyond a quarter of all, the
// silent ones go first, the oldest of them before the others.
func TestUnusedConnectionsAreClosedFirst(t *testing.T) {
	table := NewConns(ConnLimits{Conns: 4})
	reused := openIdle(table, 0)
	_ = openIdle(table, 0)
	silent, _ := table.Open(at(time.Second), client)
	_, _ = table.Open(at(2*time.Second), client)
	_, victim := table.Open(at(3*time.Second), client)
	assert.Equal(t, victim, silent)
	table.Close(silent)
	_, victim = table.Open(at(4*time.Second), client)
	assert.Assert(t, victim != nil && !victim.served && victim != reused)
}

// Guards against an ordinary burst of new connections that is closed instead of those that have long been idle.
func TestBurstClosesTheIdlest(t *testing.T) {
	const conns, burst = 100, 50
	table := NewConns(ConnLimits{Conns: conns})
	for range conns - 1 {
		openIdle(table, 0)
	}
	now := at(12 * time.Second)
	for range burst {
		now = now.Add(100 * time.Microsecond)
		c, victim := table.Open(now, client)
		assert.Assert(t, victim == nil || victim.served)
		if victim != nil {
			table.Close(victim)
		}
		if table.unused() > conns/8 { // each sends its request some milliseconds after it has been opened
			for other := range table.conns {
				if other != c && !other.served {
					table.Begin(now, other, 0, false)
				}
			}
		}
	}
}

// Guards against an upload that moves and is closed for a new connection: only one that has stopped is.
func TestMovingUploadIsKept(t *testing.T) {
	table := NewConns(ConnLimits{Conns: 1})
	upload, _ := table.Open(0, client)
	table.Begin(0, upload, 0, true)
	upload.Received(at(4 * time.Second))
	opened, victim := table.Open(at(4*time.Second+stallGrace), client)
	assert.Assert(t, opened == nil && victim == nil)
	_, victim = table.Open(at(4*time.Second+stallGrace+1), client)
	assert.Equal(t, victim, upload)
}

// Guards against refused uploads that keep new connections out: they give way although they move.
func TestDrainingConnectionGivesWay(t *testing.T) {
	table := NewConns(ConnLimits{Conns: 2})
	served, _ := table.Open(0, client)
	table.Begin(0, served, 0, true)
	refused, _ := table.Open(0, client)
	table.Begin(0, refused, 0, true)
	table.Draining(refused)
	served.Received(at(time.Second))
	refused.Received(at(time.Second))
	next, victim := table.Open(at(time.Second), client)
	assert.Equal(t, victim, refused)
	table.Begin(at(time.Second), next, 0, true)
	table.Idle(at(time.Second), refused)
	table.Begin(at(time.Second), refused, 0, true)
	opened, _ := table.Open(at(time.Second), client)
	assert.Assert(t, opened == nil, "a later request on the connection is not refused")
}

// Guards against one address that takes all connections: it loses its own first.
func TestAddressWithMostConnectionsGivesWay(t *testing.T) {
	table := NewConns(ConnLimits{Conns: 3})
	_, _ = table.Open(0, netip.MustParseAddr("127.0.0.2"))
	many, _ := table.Open(at(time.Second), client)
	_, _ = table.Open(at(time.Second+1), client)
	_, victim := table.Open(at(2*time.Second), client)
	assert.Equal(t, victim, many)
}

// Guards against a limit of the configuration that is not enforced, or that cuts a connection within it.
func TestOverdueConnections(t *testing.T) {
	const idle, head = time.Minute, time.Second
	for _, c := range []struct {
		name    string
		play    func(*Conns, *Conn)
		after   time.Duration
		overdue bool
	}{
		{"new without a byte", func(*Conns, *Conn) {}, 50 * time.Second, false},
		{"new without a byte for long", func(*Conns, *Conn) {}, 66 * time.Second, true},
		{"slow head", func(t *Conns, c *Conn) { t.Read(0, c, 10, 0) }, 7 * time.Second, true},
		{"head within the limit", func(t *Conns, c *Conn) { t.Read(0, c, 10, 0) }, 900 * time.Millisecond, false},
		{"request in progress", func(t *Conns, c *Conn) { t.Begin(0, c, 0, true) }, time.Hour, false},
		{"idle after a request", func(t *Conns, c *Conn) { t.Begin(0, c, 0, false); t.Idle(0, c) }, 50 * time.Second, false},
		{"idle for long", func(t *Conns, c *Conn) { t.Begin(0, c, 0, false); t.Idle(0, c) }, 66 * time.Second, true},
	} {
		table := NewConns(ConnLimits{})
		conn, _ := table.Open(0, client)
		c.play(table, conn)
		assert.Equal(t, len(table.Overdue(at(c.after), idle, head)) == 1, c.overdue, c.name)
		assert.Equal(t, len(table.Overdue(at(c.after), 0, 0)), 0, c.name)
	}
}
