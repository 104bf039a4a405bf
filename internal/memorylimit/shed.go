package memorylimit

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// The load pattern: many large bodies at once, most of which stop short of their end, and answers that clients don't
// read. Transfers that lag behind are closed first, those that hold the most for the longest time before others. If
// all bodies move, the last one to begin gives way to those before it, so that the oldest come to their end and no two
// wait for each other. An answer, whose request has run, comes before bodies that arrive. A complete body is never shed: its request may have run.

// victim returns the holder that has to give its bytes back so that h can have n more; nil if h has to do without.
func (b *Budget) victim(now domain.Instant, h *Holder, n int64) *Holder {
	sameShare := !b.fitsShare(h, n)
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
		return b.youngestForAnswer()
	}
	return nil
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
