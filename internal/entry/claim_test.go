package entry

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// answerTicketCall grants, starts and completes a claimed ticket call.
func answerTicketCall(s *session, id domain.CallID, nonce uint64) {
	a := s.grantAndStart(id, nonce)
	s.fromAgent(a, headFrame(uint64(id), 1, 201))
	s.fromAgent(a, &pb.Frame{Call: uint64(id), Attempt: 1, Seq: 2, Part: &pb.Frame_Data{Data: &pb.Data{Data: []byte("seat 9")}}})
	s.fromAgent(a, endFrame(uint64(id), 1, 3, pb.EndReason_END_COMPLETE, "seat 9"))
}

// ticketSession returns a session with one agent of the ticketing service, and a store.
func ticketSession(t *testing.T) (*session, *fakeStore) {
	return newSession(t, newTestConfig("t1"), "t1"), newFakeStore()
}

func TestKeyedCallRunsOnceAndAnswerIsStored(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "k"))
	assert.Equal(t, s.handOvers(1), 0)
	store.serve(s)
	s.input(ticketCall(2, "k"))
	assert.Assert(t, s.end(2) == nil) // waits for the first call's answer
	s.advance(s.core.settings.ClaimTimeout)
	assert.Equal(t, s.end(2).Failure.Code, CodeKeyInUse)
	s.input(ticketCall(6, "k"))
	answerTicketCall(s, 1, 1)
	s.advance(s.core.settings.KeyPollInterval)
	s.input(ticketCall(3, "k")) // while the outcome is being written
	store.serve(s)
	s.input(ticketCall(4, "k")) // answered from the table service
	other := ticketCall(5, "k")
	other.Call.Fingerprint = 8
	s.input(other)
	store.serve(s)
	for _, id := range []domain.CallID{1, 3, 4, 6} {
		assert.Equal(t, s.end(id).Outcome, domain.OutcomeComplete)
		assert.Equal(t, s.received(id), "seat 9")
	}
	store.serve(s)
	s.input(other)
	store.serve(s)
	assert.Equal(t, s.handOvers(3)+s.handOvers(4)+s.handOvers(5), 0)
	assert.Assert(t, s.core.Idle())
	s.golden("keyed-call")
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "k"))
	store.serve(s)
	for id := domain.CallID(2); id <= 3; id++ {
		other := ticketCall(id, "k")
		other.Call.Fingerprint = 8
		s.input(other) // checked first against this entry's own claim, then against the table service
		store.serve(s)
		assert.Equal(t, s.end(id).Outcome, domain.OutcomeNotRun)
		assert.Equal(t, s.end(id).Failure.Code, CodeKeyReused)
		if id == 2 {
			answerTicketCall(s, 1, 1)
			store.serve(s)
		}
	}
}

func TestLostConfirmationIsReadBack(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "k"))
	s.advance(5 * time.Millisecond)
	first := s.storeRequests()[0]
	s.input(StoreReply{ID: first.ID, Reply: store.apply(first.Request)}) // a read, which returns the time
	s.advance(5 * time.Millisecond)
	second := s.storeRequests()[0]
	store.apply(second.Request)
	s.input(StoreReply{ID: second.ID, Reply: table.Reply{Status: table.StatusLost}})
	assert.Assert(t, s.end(1) == nil)
	store.serve(s)
	answerTicketCall(s, 1, 1)
	store.serve(s)
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	assert.Equal(t, store.record("saltworks/k").State, recordEnded)
	s.golden("lost-confirmation")
}

func TestStoreDownRefusesCallsAndReleasesClaim(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "warm")) // the first reply has the service's time, so later claims are written without a read
	store.serve(s)
	s.input(ticketCall(2, "k"))
	for range 2 { // the first write takes effect; both replies are lost
		s.advance(5 * time.Millisecond)
		for _, r := range s.storeRequests() {
			store.apply(r.Request)
			s.input(StoreReply{ID: r.ID, Reply: table.Reply{Status: table.StatusLost}})
		}
	}
	s.input(ticketCall(3, "j"))
	for _, id := range []domain.CallID{2, 3} {
		assert.Equal(t, s.end(id).Outcome, domain.OutcomeNotRun)
		assert.Equal(t, s.end(id).Failure.Code, CodeStoreUnavailable)
	}
	assert.Equal(t, store.record("saltworks/k").State, recordClaimed)
	s.advance(time.Second)
	store.serve(s)
	assert.Equal(t, store.record("saltworks/k").State, recordReleased)
	s.input(ticketCall(4, "k"))
	store.serve(s)
	answerTicketCall(s, 4, 4)
	assert.Equal(t, s.end(4).Outcome, domain.OutcomeComplete)
	s.golden("store-down")
}

func TestOutcomeIsWrittenAfterStoreRecovers(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "k"))
	store.serve(s)
	answerTicketCall(s, 1, 1)
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	for range 5 {
		s.advance(time.Second)
		for _, r := range s.storeRequests() {
			s.input(StoreReply{ID: r.ID, Reply: table.Reply{Status: table.StatusUnavailable}})
		}
	}
	assert.Assert(t, !s.core.Idle())
	s.advance(time.Second)
	store.serve(s)
	assert.Equal(t, store.record("saltworks/k").State, recordEnded)
	assert.Assert(t, s.core.Idle())
}

func TestConflictDoesNotFailRestOfBatch(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "a"))
	store.serve(s)
	store.rows["saltworks/b"] = table.Row{Key: "saltworks/b", Version: 1, Value: claimRecord{
		State: recordClaimed, Owner: claimOwner{Entry: "e2", Incarnation: 9, Call: 1}, Fingerprint: 7,
		TimeMS: store.time.UnixMilli()}.encode()}
	s.input(ticketCall(2, "b"))
	s.input(ticketCall(3, "c"))
	store.serve(s)
	assert.Assert(t, s.end(3) == nil)
	answerTicketCall(s, 3, 3)
	assert.Equal(t, s.end(3).Outcome, domain.OutcomeComplete)
	assert.Assert(t, s.end(2) == nil)
	s.advance(s.core.settings.ClaimTimeout)
	assert.Equal(t, s.end(2).Failure.Code, CodeKeyInUse)
	s.golden("claim-conflict")
}

// TestExistingClaimRow starts a call whose key has another call's row.
func TestExistingClaimRow(t *testing.T) {
	earlierIncarnation := claimOwner{Entry: "e1", Incarnation: 0, Call: 1}
	otherEntry := claimOwner{Entry: "e2", Incarnation: 9, Call: 1}
	tests := []struct {
		name    string
		record  claimRecord
		age     time.Duration
		outcome domain.Outcome // none if the call continues
		code    Code
	}{
		{"in progress", claimRecord{State: recordClaimed, Owner: otherEntry}, time.Minute, domain.OutcomeUnknown, CodeKeyInUse},
		{"abandoned", claimRecord{State: recordClaimed, Owner: otherEntry}, 16 * time.Minute, domain.OutcomeUnknown, CodeEndpointFailed},
		{"of an earlier incarnation", claimRecord{State: recordClaimed, Owner: earlierIncarnation}, time.Minute, domain.OutcomeUnknown, CodeEndpointFailed},
		{"released", claimRecord{State: recordReleased, Owner: otherEntry}, time.Minute, domain.OutcomeNone, ""},
		{"expired", claimRecord{State: recordEnded, Owner: otherEntry, Outcome: domain.OutcomeComplete}, 25 * time.Hour, domain.OutcomeNone, ""},
		{"ended unknown", claimRecord{State: recordEnded, Owner: otherEntry, Outcome: domain.OutcomeUnknown}, time.Minute, domain.OutcomeUnknown, CodeEndpointFailed},
		{"ended with an answer too large", claimRecord{State: recordEnded, Owner: otherEntry, Outcome: domain.OutcomeComplete}, time.Minute, domain.OutcomeUnknown, CodeEndpointFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, store := ticketSession(t)
			tt.record.Fingerprint = 7
			tt.record.TimeMS = store.time.Add(-tt.age).UnixMilli()
			store.rows["saltworks/k"] = table.Row{Key: "saltworks/k", Version: 3, Value: tt.record.encode()}
			s.input(ticketCall(1, "k"))
			store.serve(s)
			if tt.code == CodeKeyInUse {
				assert.Assert(t, s.end(1) == nil)
				s.advance(s.core.settings.ClaimTimeout)
			}
			end := s.end(1)
			if tt.outcome == domain.OutcomeNone {
				assert.Assert(t, end == nil)
				assert.Equal(t, store.record("saltworks/k").Owner.Call, domain.CallID(1))
				return
			}
			assert.Equal(t, end.Outcome, tt.outcome)
			assert.Equal(t, end.Failure.Code, tt.code)
		})
	}
}

func TestRepeatGetsAnswerAfterCallerGone(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "k"))
	store.serve(s)
	a := s.grantAndStart(1, 1)
	s.input(CallerGone{Call: 1})
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeUnknown)
	s.fromAgent(a, headFrame(1, 1, 201))
	s.fromAgent(a, endFrame(1, 1, 2, pb.EndReason_END_COMPLETE, ""))
	store.serve(s)
	s.input(ticketCall(2, "k"))
	store.serve(s)
	assert.Equal(t, s.end(2).Outcome, domain.OutcomeComplete)
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeUnknown)
}

func TestExpiredClaimsAreRemoved(t *testing.T) {
	s, store := ticketSession(t)
	put := func(key string, version uint64, age time.Duration) {
		record := claimRecord{State: recordEnded, TimeMS: store.time.Add(-age).UnixMilli()}
		store.rows[key] = table.Row{Key: key, Version: version, Value: record.encode()}
	}
	put("old", 3, 25*time.Hour)
	put("renewed", 3, 25*time.Hour)
	put("young", 3, 23*time.Hour)
	s.advance(sweepInterval)
	scan := s.storeRequests()[0]
	s.input(StoreReply{ID: scan.ID, Reply: store.apply(scan.Request)})
	put("renewed", 4, 0) // between the read and the removal
	for range 2 {
		store.serve(s)
		s.advance(sweepBusyInterval)
	}
	store.serve(s)
	assert.DeepEqual(t, slices.Sorted(maps.Keys(store.rows)), []string{"renewed", "young"})
}

func TestLargeAnswerIsNotStored(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "k"))
	store.serve(s)
	a := s.grantAndStart(1, 1)
	large := string(make([]byte, s.core.settings.MaxStoredAnswer+1))
	s.fromAgent(a, dataFrame(1, 1, 1, large))
	s.fromAgent(a, endFrame(1, 1, 2, pb.EndReason_END_COMPLETE, large))
	store.serve(s)
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	assert.Assert(t, store.record("saltworks/k").Answer == nil)
	s.input(ticketCall(2, "k"))
	store.serve(s)
	assert.Equal(t, s.end(2).Outcome, domain.OutcomeUnknown)
}

func TestClaimsAreBatchedAndBounded(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "warm")) // the first reply has the service's time, so later claims are written without a read
	store.serve(s)
	calls := maxClaimsPerRequest * (maxClaimRequestsInFlight + 1)
	for i := range calls {
		s.input(ticketCall(domain.CallID(i+2), domain.IdempotencyKey(rune('a'+i))))
	}
	s.advance(5 * time.Millisecond)
	requests := s.storeRequests()
	assert.Equal(t, len(requests), maxClaimRequestsInFlight)
	for _, r := range requests {
		assert.Equal(t, len(r.Request.Writes), maxClaimsPerRequest)
		s.input(StoreReply{ID: r.ID, Reply: table.Reply{Status: table.StatusUnavailable}})
	}
	for i := range calls { // in flight and queued
		assert.Equal(t, s.end(domain.CallID(i+2)).Outcome, domain.OutcomeNotRun)
	}
}

func TestClaimTimeoutReleasesClaim(t *testing.T) {
	s, store := ticketSession(t)
	s.input(ticketCall(1, "warm")) // the first reply has the service's time, so later claims are written without a read
	store.serve(s)
	s.input(ticketCall(2, "k"))
	s.advance(s.core.settings.ClaimTimeout + 10*time.Millisecond)
	assert.Equal(t, s.end(2).Outcome, domain.OutcomeNotRun)
	assert.Equal(t, s.end(2).Failure.Code, CodeStoreUnavailable)
	late := s.storeRequests()[0]
	s.input(StoreReply{ID: late.ID, Reply: store.apply(late.Request)})
	store.serve(s)
	assert.Equal(t, store.record("saltworks/k").State, recordReleased)
	assert.Equal(t, s.handOvers(2), 0)
}

func TestUnwrittenAnswersAreBounded(t *testing.T) {
	s, store := ticketSession(t)
	s.core.settings.MaxUnwrittenAnswers = 7 // bytes; room for one answer "seat 9", not for two
	for id := domain.CallID(1); id <= 2; id++ {
		s.input(ticketCall(id, domain.IdempotencyKey(rune('a'+id))))
		store.serve(s)
	}
	answerTicketCall(s, 1, 1)
	answerTicketCall(s, 2, 2)
	assert.Equal(t, s.core.claims.unwrittenBytes, 6)
	store.serve(s)
	assert.Equal(t, s.core.claims.unwrittenBytes, 0)
}
