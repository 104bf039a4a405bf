package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// orderSession starts an agent whose endpoint is to load a model and take a role.
func orderSession(t *testing.T, checksFencing bool, store *fakeStore) *session {
	cfg := DefaultConfig()
	cfg.EndpointID = "endpoint-1"
	cfg.Incarnation = testIncarnation
	s := &session{t: t, core: New(cfg), now: domain.Instant(time.Second), store: store}
	config := endpointConfig(1, domain.EndpointServing)
	config.Endpoint.ChecksFencing = checksFencing
	config.Endpoint.Role = "prefill"
	s.in(config)
	return s
}

// holdBy puts a lease of another incarnation into the store that expires at an instant.
func (f *fakeStore) holdBy(holder domain.Incarnation, expires time.Duration) {
	value := leaseValue{Holder: holder, Fencing: 41, Expires: serviceEpoch.Add(expires)}
	f.rows["endpoint-1"] = table.Row{Table: table.Leases, Key: "endpoint-1", Version: 9, Value: encodeRow(value)}
}

func TestOrderSession(t *testing.T) {
	ok, lost, unavailable := table.StatusOK, table.StatusLost, table.StatusUnavailable
	const earlier, later = testIncarnation - 1, testIncarnation + 1
	sessions := []struct {
		name          string
		checksFencing bool
		faults        []table.Status
		holder        domain.Incarnation // of the lease until 6 s, 0 for none
		play          func(s *session)
	}{
		{"whole", true, nil, 0, func(s *session) {
			s.in(OrderEnd{Order: 1, OK: true})
			s.in(OrderEnd{Order: 2, OK: true})
		}},
		{"lost_confirmations", true, []table.Status{ok, lost, ok, ok, lost, ok}, 0, nil},
		{"lost_requests", true, []table.Status{lostRequest, ok, lostRequest, ok, ok, lostRequest, ok}, 0, nil},
		{"store_down", true, []table.Status{unavailable, unavailable, unavailable}, 0, nil},
		{"previous_lease_waited_out", false, nil, earlier, nil},
		{"previous_lease_fenced_off", true, nil, earlier, nil},
		{"later_incarnation_holds", true, nil, later, nil},
		{"paused_holder", false, nil, 0, func(s *session) {
			s.store.holdBy(later, 30*time.Second)
			s.pause(20 * time.Second)
			s.in(OrderEnd{Order: 1, OK: true}) // the role would be next
		}},
		{"fenced", true, nil, 0, func(s *session) {
			s.in(OrderEnd{Order: 1, Fenced: true, Message: "old fencing number"})
		}},
		{"failed_order_may_be_on_its_way", false, nil, 0, func(s *session) {
			s.in(OrderEnd{Order: 1, Message: "timeout"})
		}},
		{"shutdown_waits_for_order", true, nil, 0, func(s *session) {
			s.in(Shutdown{})
			s.in(OrderEnd{Order: 1, OK: true})
		}},
	}
	for _, tc := range sessions {
		t.Run(tc.name, func(t *testing.T) {
			store := newFakeStore(tc.faults...)
			if tc.holder != 0 {
				store.holdBy(tc.holder, 6*time.Second)
			}
			s := orderSession(t, tc.checksFencing, store)
			if tc.play != nil {
				tc.play(s)
			}
			s.wait(15 * time.Second)
			s.golden()
		})
	}
}

// life is one incarnation of the agent, whose clock is offset from real time.
type life struct {
	core   *Core
	offset domain.Instant
	open   *StoreRequest
	order  uint64 // in flight, 0 for none
}

func newLife(i int, now domain.Instant) *life {
	cfg := DefaultConfig()
	cfg.EndpointID = "endpoint-1"
	cfg.Incarnation = domain.Incarnation(testIncarnation + i)
	l := &life{core: New(cfg), offset: domain.Instant(i) * domain.Instant(time.Hour)}
	config := endpointConfig(1, domain.EndpointServing)
	config.Endpoint.Models, config.Endpoint.Role = nil, "prefill"
	l.core.Step(now+l.offset, config)
	return l
}

// Two incarnations share a table service that loses requests and replies, and are
// paused at random. The endpoint does not check fencing numbers.
func TestOldLifeNeverOrdersAfterNew(t *testing.T) {
	faults := []table.Status{table.StatusOK, table.StatusOK, table.StatusOK, table.StatusLost, lostRequest, table.StatusUnavailable}
	rapid.Check(t, func(t *rapid.T) {
		now := domain.Instant(time.Second) // real time
		store := newFakeStore()
		lives := []*life{newLife(0, now), newLife(1, now)}
		newest, fencing := 0, uint64(0)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "life")
			l := lives[i]
			if l.order != 0 && rapid.Bool().Draw(t, "end") {
				l.core.Step(now+l.offset, OrderEnd{Order: l.order, OK: rapid.Bool().Draw(t, "ok")})
				l.core.resetOrders()
				l.order = 0
			}
			if l.open != nil && rapid.Bool().Draw(t, "reply") {
				store.faults = []table.Status{rapid.SampledFrom(faults).Draw(t, "fault")}
				reply := StoreReply{ID: l.open.ID, Reply: store.apply(l.open.Request, now)}
				now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 5, 15}).Draw(t, "late")) * time.Second)
				l.open = nil
				l.core.Step(now+l.offset, reply)
			}
			l.core.Tick(now + l.offset)
			for _, out := range l.core.Take() {
				switch out := out.(type) {
				case StoreRequest:
					l.open = &out
				case Order:
					if out.Fencing < fencing || i < newest {
						t.Fatalf("life %d orders with %d after life %d with %d", i, out.Fencing, newest, fencing)
					}
					newest, fencing, l.order = i, out.Fencing, out.Order
				}
			}
		}
	})
}

// Each load uses a turn of its own at the weight store.
func TestWeightTurnsAreApart(t *testing.T) {
	s := orderSession(t, true, newFakeStore())
	config := endpointConfig(2, domain.EndpointServing)
	config.Endpoint.ChecksFencing = true
	config.Endpoint.Adapters = []string{"a", "b"}
	s.in(config)
	for order := uint64(1); order <= 3; order++ {
		assert.Equal(t, s.core.order.lastID, order)
		s.in(OrderEnd{Order: order, OK: true})
		s.wait(s.core.cfg.WeightLoadInterval - 5*time.Millisecond)
		assert.Equal(t, s.core.order.lastID, order)
		s.wait(5 * time.Millisecond)
	}
}
