package placement

import (
	"math"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Decode pool. An engine prefills prompts in chunks between the decode steps of
// its running answers, so that a few long prompts in a row pause every stream
// there. Decode-heavy requests, which generate many tokens from a short prompt,
// therefore go first to the decode pool, and other prompts to the remaining
// endpoints, the prefill pool. The pool sizes follow from the loads of both
// kinds of requests. Every process computes them from the same digests and the same
// order of endpoints.

const (
	// decodeHeavyRatio is the number of prompt tokens per output token below which
	// a request is decode-heavy: the prefill of other requests delays it more than
	// its own prefill delays them.
	decodeHeavyRatio = 20
	// decodePoolSlotShare is the share of an endpoint's slots that decode-heavy
	// requests may fill. A decode step then takes far less time than a pause
	// that callers notice.
	decodePoolSlotShare = 0.85
	// prefillTimeShare is the share of an engine's time that prefill is planned to
	// take when the pools are sized. Decode steps take the rest.
	prefillTimeShare = 0.7
	// maxDecodePoolShare and minDecodePoolShare bound the share of the endpoints
	// in the decode pool.
	maxDecodePoolShare = 0.75
	minDecodePoolShare = 0.2
	// growthTimeConstant and shrinkTimeConstant are the time constants of the
	// average size while it rises and falls. It rises faster because decode-heavy
	// requests without a free slot are late at once.
	growthTimeConstant = 300 * time.Millisecond
	shrinkTimeConstant = 1500 * time.Millisecond
	// growthThreshold and shrinkThreshold are how far the average has to rise above
	// or fall below the current size to change it, in endpoints. They keep sessions
	// from moving back and forth with every wave of load.
	growthThreshold, shrinkThreshold = 0.6, 1.2
)

// decodePool is the size of a service's decode pool. Its members are the first
// endpoints in the order of service.endpoints, without draining ones.
type decodePool struct {
	size int
	// localSize is the size that this process computes by itself. All processes
	// use the median of their local sizes, so that they agree on the members.
	localSize int
	// endpoints[size:occupiedEnd] are the former members up to the last one that
	// still runs decode-heavy requests; empty if none does.
	occupiedEnd  int
	smoothedSize float64 // moving average of the required size
	updatedAt    domain.Instant
}

// update returns the pool size for the current load, or 0 for fewer than two
// endpoints. prefillDemand is in prompt tokens per second, prefillSpeed is that of
// one engine in prompt tokens per millisecond, and peerPoolSizes are the local
// sizes of the peers.
func (p *decodePool) update(now domain.Instant, endpoints []*endpointState, prefillDemand, prefillSpeed float64, peerPoolSizes []int) int {
	n := len(endpoints)
	if n < 2 {
		*p = decodePool{}
		return 0
	}
	requiredSize := p.requiredSize(endpoints, prefillDemand, prefillSpeed)
	if p.localSize == 0 {
		p.smoothedSize, p.localSize = requiredSize, int(requiredSize+0.5)
	}
	timeConstant := shrinkTimeConstant
	if requiredSize > p.smoothedSize {
		timeConstant = growthTimeConstant
	}
	p.smoothedSize += (requiredSize - p.smoothedSize) * (1 - math.Exp(-float64(now.Sub(p.updatedAt))/float64(timeConstant)))
	p.updatedAt = now
	if p.smoothedSize > float64(p.localSize)+growthThreshold || p.smoothedSize < float64(p.localSize)-shrinkThreshold {
		p.localSize = int(p.smoothedSize + 0.5)
	}
	p.size = max(1, min(median(append(peerPoolSizes, p.localSize)), n-1))
	p.occupiedEnd = min(max(p.occupiedEnd, p.size), n)
	for p.occupiedEnd > p.size && endpoints[p.occupiedEnd-1].decodeHeavyRequests() == 0 {
		p.occupiedEnd--
	}
	return p.size
}

// median sorts a list and returns its upper median.
func median(list []int) int {
	slices.Sort(list)
	return list[len(list)/2]
}

// requiredSize is the size at which both pools get the same share of what they
// need. If the endpoints don't suffice for both, the decode pool gets what it
// needs, because a shortage delays decode-heavy requests more. The bounds of the
// pool apply in any case.
func (p *decodePool) requiredSize(endpoints []*endpointState, prefillDemand, prefillSpeed float64) float64 {
	n := float64(len(endpoints))
	decodeHeavy, slots := 0, 0
	for _, s := range endpoints {
		decodeHeavy += s.local.decodeHeavy + s.peers.decodeHeavy
		slots += s.slots()
	}
	decodeEngines := float64(decodeHeavy) / (decodePoolSlotShare * float64(slots) / n)
	prefillEngines := prefillDemand / (prefillTimeShare * prefillSpeed * 1000)
	requiredSize := decodeEngines
	if decodeEngines+prefillEngines > 0 && decodeEngines+prefillEngines < n {
		requiredSize = n * decodeEngines / (decodeEngines + prefillEngines)
	}
	return min(max(requiredSize, minDecodePoolShare*n, 1), maxDecodePoolShare*n)
}

// isDecodeHeavy reports whether a request generates many tokens from a short prompt.
func isDecodeHeavy(q Query) bool {
	return q.MaxTokens > 0 && promptTokens(q.Parts) < decodeHeavyRatio*q.MaxTokens
}

func promptTokens(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	return tokens
}

// sharedTokens returns the tokens of all parts but the last one, which is unique
// to the request.
func sharedTokens(parts []Part) int { return promptTokens(parts[:len(parts)-1]) }

// isLongPrompt reports whether a prompt takes more than longPromptChunks prefill chunks.
func isLongPrompt(q Query) bool { return promptTokens(q.Parts) > longPromptChunks*prefillChunkTokens }
