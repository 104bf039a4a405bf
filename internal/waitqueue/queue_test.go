package waitqueue

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// room places a number of requests and then none.
type room struct {
	left  int
	ranks []int
}

func (r *room) Pick(_ domain.Instant, q placement.Query) *placement.Ticket {
	if r.left == 0 {
		return nil
	}
	r.left--
	r.ranks = append(r.ranks, q.Rank)
	return &placement.Ticket{}
}

func waiter(rank int, arrived, inTime, until domain.Instant) *Waiter {
	return &Waiter{Query: placement.Query{Service: "s", Rank: rank}, Arrived: arrived, InTime: inTime, Until: until}
}

func TestMostUrgentFirst(t *testing.T) {
	var q Queue
	for _, rank := range []int{3, 1, 2, 0} {
		q.Add(waiter(rank, 1, 100, 100))
	}
	r := &room{left: 2}
	assert.Equal(t, len(q.Dispatch(10, r)), 2)
	assert.DeepEqual(t, r.ranks, []int{0, 1})
	assert.Equal(t, q.Len(), 2)
}

// In overload those that can still be in time go before those that can't.
func TestInTimeBeforeLate(t *testing.T) {
	var q Queue
	late, inTime := waiter(1, 1, 5, 100), waiter(1, 2, 50, 100)
	q.Add(late)
	q.Add(inTime)
	done := q.Dispatch(10, &room{left: 1})
	assert.Equal(t, len(done), 1)
	assert.Equal(t, done[0], inTime)
}

func TestTurnedAwayAtTheEndOfTheWait(t *testing.T) {
	var q Queue
	w := waiter(0, 1, 5, 10)
	q.Add(w)
	assert.Equal(t, len(q.Dispatch(9, &room{})), 0)
	done := q.Dispatch(10, &room{})
	assert.Equal(t, len(done), 1)
	assert.Assert(t, done[0].Ticket == nil)
	assert.Equal(t, q.Len(), 0)
}

// A service without room doesn't keep another one's requests waiting.
func TestServicesDontBlockEachOther(t *testing.T) {
	var q Queue
	for range 2 * maxMisses {
		q.Add(waiter(0, 1, 100, 100))
	}
	other := waiter(5, 1, 100, 100)
	other.Query.Service = "other"
	q.Add(other)
	done := q.Dispatch(10, onlyService("other"))
	assert.Equal(t, len(done), 1)
	assert.Equal(t, done[0], other)
}

type onlyService string

func (s onlyService) Pick(_ domain.Instant, q placement.Query) *placement.Ticket {
	if q.Service != string(s) {
		return nil
	}
	return &placement.Ticket{}
}

func TestRemove(t *testing.T) {
	var q Queue
	w := waiter(0, 1, 100, 100)
	q.Add(w)
	q.Remove(w)
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, len(q.Dispatch(10, &room{left: 1})), 0)
}
