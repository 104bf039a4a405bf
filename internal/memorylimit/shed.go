package memorylimit

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// The load pattern: many large bodies at once, most of which stop short of their end, and answers that clients don't
// read. Transfers that lag behind are closed first, those that hold the most for the longest time before others. If
// all bodies move, the last one to begin gives way to those before it, so that the oldest come to their end and no two
// wait for each other. An answer, whose request has run, comes before bodies that arrive. A complete body is never shed: its request may have run.
//
// Endpoints can send answers without end, fast or slowly. A small answer goes before a large one that says no end.

// shedFor marks the holders that have to give their bytes back so that h can have n more after those that wait before it.
// It returns false and sheds none if all that may give way do not hold enough.
func (b *Budget) shedFor(now domain.Instant, h *Holder, n int64) ([]*Holder, bool) {
	var shed []*Holder
	for {
		expected, ahead := b.used, b.ahead(h)
		for share := range expected {
			expected[share] += ahead[share] - b.freeing[share]
		}
		ofShare, ofTotal := b.excess(h, n, expected)
		if ofShare <= 0 && ofTotal <= 0 {
			return shed, true
		}
		v := b.victim(now, h, ofShare > 0)
		if v == nil {
			break
		}
		v.shed = true
		b.freeing[v.share] += v.held
		shed = append(shed, v)
	}
	for _, v := range shed {
		v.shed = false
		b.freeing[v.share] -= v.held
	}
	return nil, false
}

// victim returns the holder that has to give its bytes back for h, nil if h has to do without. If sameShare is set, only
// the bytes of h's own share help.
func (b *Budget) victim(now domain.Instant, h *Holder, sameShare bool) *Holder {
	var worst *Holder
	var worstScore float64
	for v := range b.holders {
		if v == h || v.shed || v.held == 0 || sameShare && v.share != h.share {
			continue
		}
		if v.phase != sending && (v.phase != receiving || v.share != Bodies) {
			continue
		}
		lag := v.lag(now)
		if lag <= lagGrace {
			continue
		}
		if score := float64(v.held) * lag.Seconds(); score > worstScore || score == worstScore && worst != nil && v.began < worst.began {
			worst, worstScore = v, score
		}
	}
	if worst != nil {
		return worst
	}
	if h.share == Bodies {
		return b.youngest(h)
	}
	if !sameShare {
		if last := b.youngestForAnswer(); last != nil {
			return last
		}
	}
	if h.held < SmallBytes {
		return b.largestOpenEnded()
	}
	return nil
}

// largestOpenEnded returns the answer that holds the most of those that are large, arrive and say no end; nil if there is none.
func (b *Budget) largestOpenEnded() *Holder {
	var largest *Holder
	for v := range b.holders {
		if v.openEnded && v.phase == receiving && !v.shed && v.held > SmallBytes && (largest == nil || v.held > largest.held || v.held == largest.held && v.began > largest.began) {
			largest = v
		}
	}
	return largest
}

// youngestForAnswer returns the body that began to arrive last, nil if none arrives. Less urgent ones come first.
func (b *Budget) youngestForAnswer() *Holder {
	var last *Holder
	for v := range b.holders {
		if v.shed || v.share != Bodies || v.phase != receiving || v.held == 0 || last != nil && v.urgent && !last.urgent {
			continue
		}
		if last == nil || last.urgent && !v.urgent || v.began > last.began || v.began == last.began && v.held > last.held {
			last = v
		}
	}
	return last
}

// youngest returns the body that began to arrive last, nil if that is h. Less urgent ones come first.
func (b *Budget) youngest(h *Holder) *Holder {
	last := h
	for v := range b.holders {
		if v == h || v.shed || v.share != Bodies || v.phase != receiving || v.held == 0 || v.urgent && !h.urgent {
			continue
		}
		if v.urgent != last.urgent {
			if last.urgent {
				last = v
			}
			continue
		}
		if v.began > last.began || v.began == last.began && last != h && v.held > last.held {
			last = v
		}
	}
	if last == h {
		return nil
	}
	return last
}
