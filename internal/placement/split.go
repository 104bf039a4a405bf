package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// The load pattern that the split answers: an engine reads prompts in chunks
// between the tokens of the answers that it makes, so a few long prompts in a
// row make a pause in every stream that runs there. Requests that make many
// tokens from a short prompt therefore go first to some of the endpoints, and
// the others' prompts elsewhere. How many endpoints that are follows from how
// much of either is in progress. Every process works it out from the same
// digests and the same order of endpoints.

const (
	// decodeRatio is the prompt tokens for each output token below which a
	// request suffers from its neighbours' prompts more than it makes them suffer.
	decodeRatio = 20
	// packShare is the share of an endpoint's slots that long outputs fill
	// before another endpoint is set aside for them.
	packShare = 0.35
	// maxDecodeShare and minDecodeShare bound the endpoints that are set aside.
	maxDecodeShare = 0.75
	minDecodeShare = 0.2
	// shrinkTime is how long the split stays at a size that is no longer needed,
	// so that sessions don't move back and forth in a wave of load.
	shrinkTime = 3 * time.Second
)

// split is the number of endpoints of a service set aside for long outputs.
type split struct {
	size  int
	until domain.Instant // not made smaller before
}

// update returns the size for what is in progress now.
func (p *split) update(now domain.Instant, endpoints []*state) int {
	n := len(endpoints)
	if n < 2 {
		p.size = 0
		return 0
	}
	decoding, slots := 0, 0
	for _, s := range endpoints {
		decoding += s.own.decoding + s.peers.decoding
		slots += s.slots()
	}
	perEndpoint := packShare * float64(slots) / float64(n)
	need := int(float64(decoding)/perEndpoint) + 1
	need = max(need, int(minDecodeShare*float64(n)+0.5), 1)
	need = min(need, int(maxDecodeShare*float64(n)), n-1)
	switch {
	case need >= p.size:
		p.size, p.until = need, now.Add(shrinkTime)
	case now >= p.until:
		p.size--
		p.until = now.Add(shrinkTime / time.Duration(n))
	}
	p.size = min(p.size, n-1)
	return p.size
}

// decodeHeavy reports whether a request makes many tokens from a short prompt.
func decodeHeavy(q Query) bool {
	return q.Output > 0 && promptTokens(q.Parts) < decodeRatio*q.Output
}

func promptTokens(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	return tokens
}

// sharedTokens returns the tokens of the parts that other requests share.
func sharedTokens(parts []Part) int { return promptTokens(parts[:len(parts)-1]) }
