package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

func TestSplitSumsToWholeLimit(t *testing.T) {
	entries := []domain.EntryID{"e1", "e2", "e3", "e4", "e5", "e6"}
	for _, tt := range []struct {
		unit    uint32
		holders int
	}{{1, 4}, {100_000, 4}, {333_333, 3}, {500_000, 2}, {1_000_000, 1}} {
		holders, parts := SplitLimit("a", entries, tt.unit)
		sum := uint32(0)
		for _, p := range parts {
			assert.Assert(t, p >= tt.unit)
			sum += p
		}
		assert.Equal(t, len(holders), tt.holders)
		assert.Equal(t, sum, uint32(PartsPerLimit))
	}
}

// at returns the instant that is the given number of seconds after instant 0.
func at(seconds float64) domain.Instant { return domain.Instant(seconds * float64(time.Second)) }

func TestLenderKeepsHalf(t *testing.T) {
	var s LimitShare
	s.Start(at(100), 0, 400_000, 100_000)
	first, _ := s.Offer("b", 150_000)
	assert.Equal(t, first.Parts, uint32(100_000))
	s.Lend(at(100), first)
	second, _ := s.Offer("c", PartsPerLimit)
	assert.Equal(t, second.Parts, uint32(100_000))
	s.Lend(at(100), second)
	third, _ := s.Offer("d", PartsPerLimit)
	assert.Equal(t, third.Parts, uint32(0))
	assert.Equal(t, s.Parts(), uint32(200_000))
}

func TestLoanIsAcceptedOnceAndCountsFromOldestRequest(t *testing.T) {
	var s LimitShare
	loan := Loan{ID: 1, Peer: "b", Parts: 10}
	assert.Assert(t, !s.Borrow(at(100), loan, LoanDuration)) // no request
	s.RecordRequest(at(100), "b")
	assert.Assert(t, !s.Borrow(at(100.1), Loan{ID: 2, Peer: "b"}, 0)) // nothing to lend
	assert.Assert(t, !s.MayRequestLoan(at(100.2), "b"))
	assert.Assert(t, s.MayRequestLoan(at(102), "b"))
	s.RecordRequest(at(102), "b")
	assert.Assert(t, !s.Borrow(at(103), loan, LoanDuration)) // a loan with an old ID
	loan.ID = 3
	assert.Assert(t, s.Borrow(at(103), loan, LoanDuration))
	assert.Assert(t, !s.Borrow(at(103), loan, LoanDuration)) // a duplicate
	loan.ID = 4
	assert.Assert(t, !s.Borrow(at(103), loan, LoanDuration)) // a second reply to one request
	end := at(100).Add(LoanDuration - LoanMargin)
	_, ended := s.ApplyNextDue(end - 1)
	assert.Assert(t, !ended)
	when, ended := s.ApplyNextDue(end)
	assert.Assert(t, ended)
	assert.Equal(t, when, end)
	assert.Equal(t, s.Parts(), uint32(0))
}

func TestLateLoanReplyIsRejected(t *testing.T) {
	var s LimitShare
	s.RecordRequest(at(100), "b")
	assert.Assert(t, !s.MayRequestLoan(at(106), "b"))
	assert.Assert(t, !s.Borrow(at(107), Loan{ID: 1, Peer: "b", Parts: 10}, LoanDuration))
}

func TestLenderHoldsLoanLongerThanBorrower(t *testing.T) {
	var lender LimitShare
	lender.Start(at(100), 0, PartsPerLimit, 1)
	loan, _ := lender.Offer("b", 10)
	loan = lender.Lend(at(100), loan)
	assert.Equal(t, loan.Until, at(100).Add(LoanDuration+LoanMargin))
	assert.Equal(t, loan.Remaining(at(104)), LoanDuration-4*time.Second)
}

func TestLoanMarginCoversClockDrift(t *testing.T) {
	const clockDrift = 0.01 // relative clock error: the lender's clock is fast, the borrower's slow
	lender := (LoanDuration + LoanMargin).Seconds() / (1 + clockDrift)
	borrower := (LoanDuration - LoanMargin).Seconds() / (1 - clockDrift)
	assert.Assert(t, borrower <= lender)
}
