package placement

import (
	"math"
	"slices"
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
	// packShare is the share of an endpoint's slots that long outputs may fill.
	// Their steps stay far below what a caller notices as a pause.
	packShare = 0.85
	// readShare is the share of an engine's time that prompts may take.
	readShare = 0.7
	// maxDecodeShare and minDecodeShare bound the endpoints that are set aside.
	maxDecodeShare = 0.75
	minDecodeShare = 0.2
	// riseTime and fallTime are the times over which a need that rises or falls
	// is averaged. Long outputs that find no room are late at once.
	riseTime = 300 * time.Millisecond
	fallTime = 1500 * time.Millisecond
	// growAt and shrinkAt are how far the need has to be from the size before it
	// changes, so that sessions don't move back and forth with every wave of load.
	growAt, shrinkAt = 0.6, 1.2
)

// split is the number of endpoints of a service set aside for long outputs.
type split struct {
	size int
	// wanted is the size that this process would choose by itself. All use the
	// median of what they want, so that they agree on which endpoints it means.
	wanted int
	// recent is the end of the endpoints that were set aside and still run long outputs.
	recent int
	needed float64 // averaged
	at     domain.Instant
}

// update returns the size for what is in progress and asked for now. reading is
// the prompt tokens a second that are asked for, pace those that one engine reads
// in a millisecond, peersWant the sizes that the peers would choose.
func (p *split) update(now domain.Instant, endpoints []*state, reading, pace float64, peersWant []int) int {
	n := len(endpoints)
	if n < 2 {
		*p = split{}
		return 0
	}
	need := p.need(endpoints, reading, pace)
	if p.wanted == 0 {
		p.needed, p.wanted = need, int(need+0.5)
	}
	over := fallTime
	if need > p.needed {
		over = riseTime
	}
	p.needed += (need - p.needed) * (1 - math.Exp(-float64(now.Sub(p.at))/float64(over)))
	p.at = now
	if p.needed > float64(p.wanted)+growAt || p.needed < float64(p.wanted)-shrinkAt {
		p.wanted = int(p.needed + 0.5)
	}
	p.size = max(1, min(median(append(peersWant, p.wanted)), n-1))
	p.recent = min(max(p.recent, p.size), n)
	for p.recent > p.size && endpoints[p.recent-1].streams() == 0 {
		p.recent--
	}
	return p.size
}

// median returns the upper median of a list, which it sorts.
func median(list []int) int {
	slices.Sort(list)
	return list[len(list)/2]
}

// need is the size that gives both sides the same share of what they need.
// When there is not enough for both, long outputs come first: they suffer more.
func (p *split) need(endpoints []*state, reading, pace float64) float64 {
	n := float64(len(endpoints))
	decoding, slots := 0, 0
	for _, s := range endpoints {
		decoding += s.own.decoding + s.peers.decoding
		slots += s.slots()
	}
	decode := float64(decoding) / (packShare * float64(slots) / n)
	read := reading / (readShare * pace * 1000)
	need := decode
	if decode+read > 0 && decode+read < n {
		need = n * decode / (decode + read)
	}
	return min(max(need, minDecodeShare*n, 1), maxDecodeShare*n)
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

// isLong reports whether a prompt is longer than an engine reads at once.
func isLong(q Query) bool { return promptTokens(q.Parts) > longChunks*chunkTokens }
