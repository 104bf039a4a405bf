package placement

import (
	"math"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// requestLimit is the number of requests per second that an endpoint takes from all
// processes together, as its answers name it. The zero value is no limit.
type requestLimit struct {
	named     bool
	perSecond float64
	seenAt    domain.Instant // arrival of the last answer that confirmed the limit or its absence
}

// RecordLimit records the limit that an endpoint named in its answer to a request, or
// +Inf if it named none. It reports whether the limit has changed. An answer without a
// limit ends it only if the request was placed after the limit was last seen: otherwise
// the answer may have been sent before.
func (t *Table) RecordLimit(now domain.Instant, ticket *Ticket, perSecond float64) bool {
	limit := &ticket.endpointState.limit
	named := !math.IsInf(perSecond, 1)
	if !named && ticket.placedAt <= limit.seenAt {
		return false
	}
	changed := limit.named != named || named && limit.perSecond != perSecond
	*limit = requestLimit{named: named, seenAt: now}
	if named {
		limit.perSecond = perSecond
	}
	return changed
}
