package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// The load pattern: an endpoint answers every request with bytes without end, of which each attempt reads up to its bound, or with bytes that are no
// answer. A few of them keep
// a gateway busy, whatever else it serves. Such an endpoint gets no request for a time, as if it had asked for a pause, and then one at
// a time until it answers one.

const (
	// endlessLimit is the number of such answers in a row after which an endpoint is spared: one may be due to its request.
	endlessLimit = 3
	// minEndlessPause is the first pause, which doubles with each further one up to maxEndlessPause.
	minEndlessPause, maxEndlessPause = time.Second, 30 * time.Second
)

// RecordEndless records that an endpoint sent more than any answer may have. It returns for how long the endpoint is spared; 0 if it isn't.
func (t *Table) RecordEndless(now domain.Instant, ticket *Ticket) time.Duration {
	s := ticket.endpointState
	s.endless++
	if s.endless < endlessLimit {
		return 0
	}
	if now < s.pause.until {
		// It was sent before the endpoint was spared.
		s.endless--
		return 0
	}
	length := minEndlessPause
	for range s.endless - endlessLimit {
		length = min(2*length, maxEndlessPause)
	}
	t.RecordPause(now, ticket, length)
	return length
}
