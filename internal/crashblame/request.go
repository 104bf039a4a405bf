package crashblame

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Whole requests. A request can crash an endpoint whatever its prompt parts are, and come again as it was. It then counts as one more
// part of itself. Its identity is the same in all processes, and has two halves: the head, which is computed for each request, and the body, which
// takes time and is computed only for requests whose head is known.

// headTime is how long a head stays known after a crash or a blame. It is not below blameTime, in which a blame is renewed.
const headTime = blameTime

// Request is what identifies a request. Requests of different callers differ.
type Request struct {
	Caller, Method, Host, Target string
	Parts                        []Part // of its prompt, all of them
	Body                         []byte
}

// Head returns the first half of the request's identity, which the content of its body is not part of.
func (r Request) Head() uint32 {
	h := sha256.New()
	for _, text := range []string{r.Caller, r.Method, r.Host, r.Target, strconv.Itoa(len(r.Body))} {
		// With its length before it, no text can be taken for the end of another one.
		h.Write(strconv.AppendInt(nil, int64(len(text)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(text))
	}
	for _, p := range r.Parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(p)))
	}
	return binary.BigEndian.Uint32(h.Sum(nil))
}

// Part returns the request's identity. head is what Head returns.
func (r Request) Part(head uint32) Part {
	sum := sha256.Sum256(r.Body)
	return Part(head)<<32 | Part(binary.BigEndian.Uint32(sum[:]))
}

// head returns the first half of a part.
func (p Part) head() uint32 { return uint32(p >> 32) }

// all returns the parts of a run, with the whole request if that is known.
func (r *Run) all() []Part {
	if r.request == 0 {
		return r.parts
	}
	return append([]Part{r.request}, r.parts...)
}

// KnowsHead reports whether a suspected or blamed request may have a head. Only then is its body of interest.
func (l *Ledger) KnowsHead(head uint32) bool {
	_, ok := l.heads[head]
	return ok
}

// learnHead records the head of a part that is suspected or blamed.
func (l *Ledger) learnHead(now domain.Instant, p Part) { l.heads[p.head()] = now }

// expireHeads forgets heads of what is neither suspected nor blamed any more.
func (l *Ledger) expireHeads(now domain.Instant) {
	for head, at := range l.heads {
		if now.Sub(at) >= headTime {
			delete(l.heads, head)
		}
	}
}
