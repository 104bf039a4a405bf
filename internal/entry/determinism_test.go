package entry

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// recordedSession drives a core through calls, claims, limits and faults that
// are drawn from a fixed seed.
func recordedSession(t *testing.T) *session {
	agents := []domain.EndpointID{"d1", "d2", "d3", "d4", "d5", "d6", "t1", "t2"}
	config := newTestConfig(agents...)
	config.accounts[testAccount] = domain.Account{ID: testAccount, DefaultClass: "kiosk",
		Limits: domain.Limits{RequestsPerSecond: 200, Burst: 40, Concurrency: 60}}
	s := newSession(t, config, agents...)
	s.core.settings.MaxWaitingCalls = 30
	store := newFakeStore()
	random := rand.New(rand.NewPCG(1, 2))
	nonce, next := uint64(0), 0
	for id := domain.CallID(1); id <= 400; id++ {
		switch random.IntN(4) {
		case 0:
			s.input(ticketCall(id, domain.IdempotencyKey(rune('a'+random.IntN(20)))))
		case 1:
			s.input(deskCall(id, "itinerary"))
		default:
			s.input(deskCall(id, "kiosk"))
		}
		for ; next < len(s.out); next++ {
			switch out := s.out[next].(type) {
			case SendAgent:
				nonce++
				s.respond(random, out, nonce)
			case StoreRequest:
				reply := table.Reply{Status: table.StatusLost}
				if random.IntN(8) > 0 {
					reply = store.apply(out.Request)
				}
				s.input(StoreReply{ID: out.ID, Reply: reply})
			}
		}
		a := agents[random.IntN(len(agents))]
		switch random.IntN(20) {
		case 0:
			s.input(AgentUp{Agent: a, Incarnation: domain.Incarnation(id)})
		case 1:
			s.input(AgentDown{Agent: a})
		case 2:
			s.input(AgentUp{Agent: a, Incarnation: s.core.agents.byID[a].incarnation})
		case 3:
			s.input(CallerGone{Call: id - domain.CallID(random.IntN(10))})
		case 4:
			s.input(shareAsk("e2"))
		}
		s.advance(time.Duration(random.IntN(10)) * 5 * time.Millisecond)
	}
	return s
}

// respond replies to a message as an agent whose queue is sometimes full and
// whose answers are sometimes interrupted.
func (s *session) respond(random *rand.Rand, out SendAgent, nonce uint64) {
	if r := out.Message.GetReserve(); r != nil && random.IntN(3) > 0 {
		s.fromAgent(out.Agent, &pb.Grant{Call: r.GetCall(), Attempt: r.GetAttempt(), Nonce: nonce, TtlMs: 250})
	} else if r != nil {
		s.fromAgent(out.Agent, &pb.ReserveReply{Call: r.GetCall(), Attempt: r.GetAttempt(), Reason: pb.RefuseReason_REFUSE_FULL})
	}
	h := out.Message.GetHandOver()
	if h == nil {
		return
	}
	s.fromAgent(out.Agent, dataFrame(h.GetCall(), h.GetAttempt(), 1, "answer"))
	switch random.IntN(4) {
	case 0:
		s.fromAgent(out.Agent, endFrame(h.GetCall(), h.GetAttempt(), 2, pb.EndReason_END_BROKEN, "answer"))
	case 1, 2:
		s.fromAgent(out.Agent, endFrame(h.GetCall(), h.GetAttempt(), 2, pb.EndReason_END_COMPLETE, "answer"))
	}
}

// replay passes a session's inputs to a new core and returns its outputs as text.
func replay(s *session) string {
	settings := s.core.settings
	core := New(settings)
	var text strings.Builder
	for _, step := range s.trace {
		if step.input == nil {
			core.Tick(step.now)
		} else {
			core.Step(step.now, step.input)
		}
		for _, out := range core.Take() {
			text.WriteString(describe(out) + "\n")
		}
	}
	return text.String()
}

func TestSameInputsGiveSameOutputs(t *testing.T) {
	s := recordedSession(t)
	first, second := replay(s), replay(s)
	assert.Assert(t, first == second)
	var live strings.Builder
	for _, out := range s.out {
		live.WriteString(describe(out) + "\n")
	}
	assert.Assert(t, first == live.String())
	outcomes := map[domain.Outcome]int{}
	for _, out := range s.out {
		if end, ok := out.(CallerEnd); ok {
			outcomes[end.Outcome]++
		}
	}
	t.Logf("%d inputs, %d bytes, outcomes %v", len(s.trace), len(first), outcomes)
}
