package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// newOrderSession starts an agent whose endpoint has a model and a role declared.
func newOrderSession(t *testing.T, checksFencing bool, store *fakeStore) *session {
	cfg := DefaultConfig()
	cfg.EndpointID = "endpoint-1"
	cfg.Incarnation = testIncarnation
	s := &session{t: t, core: New(cfg), now: domain.Instant(time.Second), store: store}
	config := endpointConfig(1, domain.EndpointServing)
	config.Endpoint.ChecksFencing = checksFencing
	config.Endpoint.Role = "prefill"
	s.input(config)
	return s
}

// setLease stores a lease of another incarnation with the given expiry after
// serviceEpoch.
func (f *fakeStore) setLease(holder domain.Incarnation, expires time.Duration) {
	value := leaseValue{Holder: holder, Fencing: 41, Expires: serviceEpoch.Add(expires)}
	f.rows["endpoint-1"] = table.Row{Table: table.Leases, Key: "endpoint-1", Version: 9, Value: encodeRow(value)}
}

func TestOrderSession(t *testing.T) {
	ok, lost, unavailable := table.StatusOK, table.StatusLost, table.StatusUnavailable
	const earlier, later = testIncarnation - 1, testIncarnation + 1
	scenarios := []struct {
		name          string
		checksFencing bool
		faults        []table.Status
		holder        domain.Incarnation // holder of a lease that expires at 6 s, 0 for none
		run           func(s *session)
	}{
		{"whole", true, nil, 0, func(s *session) {
			s.input(OrderEnd{Order: 1, OK: true})
			s.input(OrderEnd{Order: 2, OK: true})
		}},
		{"lost_confirmations", true, []table.Status{ok, lost, ok, ok, lost, ok}, 0, nil},
		{"lost_requests", true, []table.Status{statusRequestLost, ok, statusRequestLost, ok, ok, statusRequestLost, ok}, 0, nil},
		{"store_down", true, []table.Status{unavailable, unavailable, unavailable}, 0, nil},
		{"previous_lease_waited_out", false, nil, earlier, nil},
		{"previous_lease_fenced_off", true, nil, earlier, nil},
		{"later_incarnation_holds", true, nil, later, nil},
		{"paused_holder", false, nil, 0, func(s *session) {
			s.store.setLease(later, 30*time.Second)
			s.pause(20 * time.Second)
			s.input(OrderEnd{Order: 1, OK: true}) // the order for the role is due next
		}},
		{"fenced", true, nil, 0, func(s *session) {
			s.input(OrderEnd{Order: 1, Fenced: true, Message: "old fencing number"})
		}},
		{"failed_order_may_be_on_its_way", false, nil, 0, func(s *session) {
			s.input(OrderEnd{Order: 1, Message: "timeout"})
		}},
		{"shutdown_waits_for_order", true, nil, 0, func(s *session) {
			s.input(Shutdown{})
			s.input(OrderEnd{Order: 1, OK: true})
		}},
	}
	for _, tc := range scenarios {
		t.Run(tc.name, func(t *testing.T) {
			store := newFakeStore(tc.faults...)
			if tc.holder != 0 {
				store.setLease(tc.holder, 6*time.Second)
			}
			s := newOrderSession(t, tc.checksFencing, store)
			if tc.run != nil {
				tc.run(s)
			}
			s.advance(15 * time.Second)
			s.golden()
		})
	}
}

// incarnation is one incarnation of the agent with its own clock.
type incarnation struct {
	core           *Core
	clockOffset    domain.Instant
	pendingRequest *StoreRequest
	orderInFlight  uint64 // ID, 0 for none
}

// newIncarnation starts incarnation i, whose clock is i hours ahead of real time.
func newIncarnation(i int, now domain.Instant) *incarnation {
	cfg := DefaultConfig()
	cfg.EndpointID = "endpoint-1"
	cfg.Incarnation = domain.Incarnation(testIncarnation + i)
	created := &incarnation{core: New(cfg), clockOffset: domain.Instant(i) * domain.Instant(time.Hour)}
	config := endpointConfig(1, domain.EndpointServing)
	config.Endpoint.Models, config.Endpoint.Role = nil, "prefill"
	created.core.Step(now+created.clockOffset, config)
	return created
}

// Two incarnations of an agent, which are paused at random, share a table service that
// loses requests and replies. The endpoint does not check fencing numbers, so an order of
// the old incarnation after one of the new incarnation would take effect.
func TestOldIncarnationNeverSendsOrderAfterNew(t *testing.T) {
	faults := []table.Status{table.StatusOK, table.StatusOK, table.StatusOK, table.StatusLost, statusRequestLost, table.StatusUnavailable}
	rapid.Check(t, func(t *rapid.T) {
		now := domain.Instant(time.Second) // real time
		store := newFakeStore()
		incarnations := []*incarnation{newIncarnation(0, now), newIncarnation(1, now)}
		newest, fencing := 0, uint64(0)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "life")
			current := incarnations[i]
			if current.orderInFlight != 0 && rapid.Bool().Draw(t, "end") {
				current.core.Step(now+current.clockOffset, OrderEnd{Order: current.orderInFlight, OK: rapid.Bool().Draw(t, "ok")})
				current.core.resetOrders() // all orders are due again, as for an endpoint that was unreachable
				current.orderInFlight = 0
			}
			if current.pendingRequest != nil && rapid.Bool().Draw(t, "reply") {
				store.faults = []table.Status{rapid.SampledFrom(faults).Draw(t, "fault")}
				reply := StoreReply{ID: current.pendingRequest.ID, Reply: store.apply(current.pendingRequest.Request, now)}
				now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 5, 15}).Draw(t, "late")) * time.Second)
				current.pendingRequest = nil
				current.core.Step(now+current.clockOffset, reply)
			}
			current.core.Tick(now + current.clockOffset)
			for _, out := range current.core.Take() {
				switch out := out.(type) {
				case StoreRequest:
					current.pendingRequest = &out
				case Order:
					if out.Fencing < fencing || i < newest {
						t.Fatalf("incarnation %d sent an order with fencing number %d after incarnation %d with %d", i, out.Fencing, newest, fencing)
					}
					newest, fencing, current.orderInFlight = i, out.Fencing, out.Order
				}
			}
		}
	})
}

// Each load uses its own permit, and the permits are WeightLoadInterval apart.
func TestWeightLoadsAreSpaced(t *testing.T) {
	s := newOrderSession(t, true, newFakeStore())
	config := endpointConfig(2, domain.EndpointServing)
	config.Endpoint.ChecksFencing = true
	config.Endpoint.Adapters = []string{"a", "b"}
	s.input(config)
	for order := uint64(1); order <= 3; order++ {
		assert.Equal(t, s.core.order.lastID, order)
		s.input(OrderEnd{Order: order, OK: true})
		s.advance(s.core.cfg.WeightLoadInterval - 5*time.Millisecond)
		assert.Equal(t, s.core.order.lastID, order)
		s.advance(5 * time.Millisecond)
	}
}
