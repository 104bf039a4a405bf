package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Slow links between data centres. The shortest time to the first bytes of an answer in a window shows the delay of the link, without that of
// queues. Answers from another data centre whose shortest time exceeds the one at home by more than linkTolerance come over a slow link.

const (
	// linkWindow is the length of the window. The shortest times of the current and of the last one count.
	linkWindow = time.Second
	// minLinkSamples is the least number of answers in a window for it to count.
	minLinkSamples = 3
	// linkTolerance is the difference of the shortest times that is not a delay of the link: data centres are up to 2 ms apart, and requests differ.
	linkTolerance = 15 * time.Millisecond
	// linkMemory is how long a delay is remembered without answers, before the link is tried again.
	linkMemory = 5 * time.Second
)

// linkDelay is the shortest time to the first bytes of answers of one service from one data centre.
type linkDelay struct {
	shortest, last   time.Duration // in this window, and the result of the last one that counts
	samples          int
	windowAt, lastAt domain.Instant // start of this window, end of the last one that counts
}

// observe adds the time to the first bytes of an answer, without the expected time of prefill.
func (l *linkDelay) observe(now domain.Instant, latency time.Duration) {
	if now.Sub(l.windowAt) >= linkWindow {
		if l.samples >= minLinkSamples {
			l.last, l.lastAt = l.shortest, now
		}
		l.samples, l.windowAt = 0, now
	}
	if l.samples == 0 || latency < l.shortest {
		l.shortest = latency
	}
	l.samples++
}

// current returns the shortest time, or false if it is not known.
func (l *linkDelay) current(now domain.Instant) (time.Duration, bool) {
	if l == nil {
		return 0, false
	}
	known := l.lastAt > 0 && now.Sub(l.lastAt) < linkMemory
	recent := l.samples > 0 && now.Sub(l.windowAt) < linkMemory
	switch {
	case known && recent:
		return min(l.shortest, l.last), true
	case known:
		return l.last, true
	default:
		return l.shortest, recent && l.samples >= minLinkSamples
	}
}

// observeDelay records the time to the first bytes of an answer from a data centre.
func (o *overflow) observeDelay(now domain.Instant, dataCentre string, latency time.Duration) {
	if o.links == nil {
		o.links = make(map[string]*linkDelay)
	}
	l := o.links[dataCentre]
	if l == nil {
		l = &linkDelay{}
		o.links[dataCentre] = l
	}
	l.observe(now, max(latency, 0))
}

// extraDelay returns by how much the link to another data centre delays answers.
func (o *overflow) extraDelay(now domain.Instant, home, dataCentre string) time.Duration {
	if home == dataCentre {
		return 0
	}
	at, known := o.links[dataCentre].current(now)
	local, knownAtHome := o.links[home].current(now)
	if !known || !knownAtHome || at-local <= linkTolerance {
		return 0
	}
	return at - local
}

// observeLink records the first bytes of the answer to a request.
func (svc *service) observeLink(now domain.Instant, ticket *Ticket) {
	prefill := time.Duration(float64(ticket.Backlog+ticket.PrefillTokens) / svc.prefillSpeed.tokens() * float64(time.Millisecond))
	svc.overflow.observeDelay(now, ticket.Endpoint.DataCentre, now.Sub(ticket.placedAt)-prefill)
}
