package crashblame

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Whole requests. A request can crash an endpoint whatever its prompt parts are, and come again as it was. It then counts as one more
// part of itself. Its identity is the same in all processes, and has two halves: the head, which is computed for each request, and the hash of the
// body, which takes long for a large one and is computed only for requests whose head is that of a suspected or blamed one.

// Request is what identifies a request. Requests of different callers differ.
type Request struct {
	Caller, Method, Host, Target string
	Parts                        []Part   // of its prompt, all of them
	Body                         [][]byte // in pieces of any size
}

// Head returns the first half of the request's identity, which the content of its body is not part of.
func (r Request) Head() uint32 {
	h := sha256.New()
	size := 0
	for _, piece := range r.Body {
		size += len(piece)
	}
	for _, text := range []string{r.Caller, r.Method, r.Host, r.Target, strconv.Itoa(size)} {
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
	h := sha256.New()
	for _, piece := range r.Body {
		h.Write(piece)
	}
	return Part(head)<<32 | Part(binary.BigEndian.Uint32(h.Sum(nil)))
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
	return l.heads[head]
}

// collectHeads derives the heads from what is suspected and blamed.
func (l *Ledger) collectHeads() {
	clear(l.heads)
	for p := range l.suspects {
		l.heads[p.head()] = true
	}
	for p := range l.blames {
		l.heads[p.head()] = true
	}
}
