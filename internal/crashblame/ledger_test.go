package crashblame

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const start = domain.Instant(time.Hour)

// process returns the n-th process of an endpoint.
func process(n int) Process { return Process{Endpoint: uint32(n), Start: int64(n)} }

// crashes records that n processes, from a number on, crash under parts.
func crashes(l *Ledger, now domain.Instant, from, n int, parts ...Part) {
	for i := range n {
		r := l.Sent(process(from+i), parts)
		l.Received(now, r)
		l.Lost(now.Add(50*time.Millisecond), r)
	}
}

func serves(l *Ledger, now domain.Instant, parts ...Part) {
	r := l.Sent(process(1000), parts)
	l.Received(now.Add(-settleTime), r)
	l.Received(now, r)
}

func TestPartIsBlamedAfterCrashesOfDifferentProcesses(t *testing.T) {
	l := New(0)
	crashes(l, start, 1, maxCrashes-1, 7)
	crashes(l, start, 1, maxCrashes-1, 7) // the same processes: their other requests
	assert.Assert(t, !l.Admit(start, []Part{7}).Refused)
	crashes(l, start, maxCrashes, 1, 7)
	v := l.Admit(start, []Part{1, 7})
	assert.Assert(t, v.Refused && v.Blamed == 7)
	assert.Assert(t, !l.Admit(start, []Part{1}).Refused)
}

// A request whose answer has not begun when its endpoint crashes is no cause of that.
func TestWaitingRequestsAreNotSuspected(t *testing.T) {
	l := New(0)
	for i := range 2 * maxCrashes {
		l.Lost(start, l.Sent(process(i), []Part{8}))
		headOnly := l.Sent(process(i), []Part{7})
		l.Begun(start, headOnly)
		l.Lost(start, headOnly)
		l.Gone(start, process(i))
	}
	for ms := range 1000 {
		l.Tick(start.Add(time.Duration(ms) * time.Millisecond))
	}
	assert.Assert(t, l.IsBlamed([]Part{7}))
	assert.Assert(t, !l.IsBlamed([]Part{8}))
}

// A part is blamed although no answer under it has begun, if the endpoints' processes are gone and nothing else explains the crashes; a
// proof by any process ends the suspicion of all.
func TestCrashesBeforeAnswers(t *testing.T) {
	lose := func(l *Ledger, now domain.Instant, n int) {
		// Another request had begun at each second endpoint.
		if n%2 == 0 {
			other := l.Sent(process(n), []Part{Part(100 + n)})
			l.Begun(now, other)
			l.Lost(now, other)
		}
		l.Lost(now, l.Sent(process(n), []Part{7}))
		l.Gone(now, process(n))
	}
	l, peer := New(0), New(0)
	for i := range maxCrashes {
		lose(l, start.Add(time.Duration(i)*time.Second), i)
		exchange(start.Add(time.Duration(i)*time.Second), []*Ledger{l, peer})
	}
	settled := start.Add((maxCrashes-1)*time.Second + settleCrashTime)
	assert.DeepEqual(t, l.Tick(settled), []Part{7})
	assert.DeepEqual(t, peer.Tick(settled), []Part{7})

	proving, told := New(0), New(0)
	for i := range 4 * maxCrashes {
		now := start.Add(time.Duration(i) * provenTime * 2)
		lose(proving, now, i)
		exchange(now, []*Ledger{proving, told})
		serves(proving, now.Add(settleTime), 7)
		exchange(now.Add(settleTime), []*Ledger{proving, told})
		assert.Assert(t, !told.IsBlamed([]Part{7}), "crash %d", i)
	}
}

// Requests that were being written, and parts under which others are written, are not suspected: only
// the part that the crashing requests have alone is.
func TestProvenPartsAreNotBlamed(t *testing.T) {
	l := New(0)
	for i := range 3 * maxCrashes {
		now := start.Add(time.Duration(i) * time.Second)
		serves(l, now, 1, 2)
		running := l.Sent(process(i), []Part{3})
		l.Received(now.Add(-time.Second), running)
		l.Received(now, running)
		crashes(l, now, i, 1, 1, 7)
		suspected, _ := l.Lost(now.Add(50*time.Millisecond), running)
		assert.Equal(t, len(suspected), 0)
	}
	assert.Assert(t, l.IsBlamed([]Part{7}))
	assert.Assert(t, !l.IsBlamed([]Part{1, 2, 3}))
}

// A short answer that is complete just before its endpoint crashes proves nothing.
func TestCompleteAnswerBeforeCrashProvesNothing(t *testing.T) {
	l := New(0)
	for i := range maxCrashes {
		short, other := l.Sent(process(i), []Part{7}), l.Sent(process(i), []Part{8})
		l.Received(start, short)
		l.Completed(start.Add(20*time.Millisecond), short)
		l.Lost(start.Add(60*time.Millisecond), other)
		assert.Assert(t, l.suspects[7] == nil || len(l.suspects[7].crashes) == i) // a reset connection would be no crash
		l.Gone(start.Add(60*time.Millisecond), process(i))
		l.Tick(start.Add(settleTime))
	}
	assert.Assert(t, l.IsBlamed([]Part{7}))
	for p, heard := range map[Part]bool{9: true, 10: false} {
		n := int(p) + 50
		l.Completed(start, l.Sent(process(n), []Part{p}))
		later := start.Add(settleTime)
		if heard {
			l.Begun(later, l.Sent(process(n), nil))
		}
		l.Tick(later)
		assert.Equal(t, l.isProven(later, p), heard)
	}
}

// Guards against crashes that count as one because the endpoint, which starts again under its identifier, says no start: each
// of them counts. Losses at one crash are noticed within crashInstant.
func TestCrashesOfEndpointsWithoutStart(t *testing.T) {
	l := New(0)
	for i := range 2 * maxCrashes {
		now := start.Add(time.Duration(i) * 3 * time.Second)
		for range 3 {
			r := l.Sent(Process{Endpoint: uint32(i % 2)}, []Part{7})
			l.Begun(now, r)
			l.Lost(now.Add(50*time.Millisecond), r)
		}
		l.Tick(now.Add(time.Second))
	}
	assert.Assert(t, l.IsBlamed([]Part{7}))
}

// Guards against a part that is never blamed because many requests are lost at each crash and it is the last of them: what
// is told to peers is bounded, but the parts with most crashes are in it.
func TestPartOfManyLostRequestsIsBlamed(t *testing.T) {
	const bad = Part(1 << 60)
	l, peer := New(0), New(0)
	for i := range maxCrashes {
		now := start.Add(time.Duration(i) * time.Second)
		for n := range 2 * maxPartsOfCrash {
			l.Lost(now, l.Sent(process(i), []Part{Part(1000*i + n + 1)}))
		}
		l.Lost(now, l.Sent(process(i), []Part{bad}))
		l.Gone(now, process(i))
		exchange(now, []*Ledger{l, peer})
	}
	settled := start.Add((maxCrashes-1)*time.Second + settleCrashTime)
	assert.DeepEqual(t, l.Tick(settled), []Part{bad})
	for _, c := range l.News(settled).Crashes {
		assert.Assert(t, len(c.Parts) <= maxPartsOfCrash)
	}
	exchange(settled, []*Ledger{l, peer})
	assert.Assert(t, peer.IsBlamed([]Part{bad}))
}

// Guards against crashes that peers never hear of: of many at a time, the latest are told first, as the others were told before.
func TestLatestCrashesAreTold(t *testing.T) {
	l := New(0)
	for i := range 3 * maxNewsCrashes {
		crashes(l, start.Add(time.Duration(i)*time.Millisecond), i, 1, Part(i+1))
		n := l.News(start.Add(time.Duration(i+50) * time.Millisecond))
		told := false
		for _, c := range n.Crashes {
			told = told || c.Process == process(i)
		}
		assert.Assert(t, told, "crash %d", i)
		assert.Assert(t, len(n.Crashes) <= maxNewsCrashes)
	}
}

// A request is not tried again once its parts have been under two crashes, so that the third is not
// caused by the second request already.
func TestRetryAfterCrashes(t *testing.T) {
	l := New(0)
	crashes(l, start, 1, maxRetriedCrashes, 7)
	assert.Assert(t, l.MayRetry([]Part{7}))
	crashes(l, start, 10, 1, 7)
	assert.Assert(t, !l.MayRetry([]Part{7}))
	assert.Assert(t, l.MayRetry([]Part{1}))
}

// Of all processes one makes a probe, once in each of two stages; an answer ends the blame, a crash
// does not.
func TestProbes(t *testing.T) {
	for _, crashing := range []bool{true, false} {
		ledgers := make([]*Ledger, 4)
		for i := range ledgers {
			ledgers[i] = New(0)
			var others []uint64
			for j := range ledgers {
				if i != j {
					others = append(others, uint64(j))
				}
			}
			ledgers[i].SetProcesses(uint64(i), others)
		}
		crashes(ledgers[0], start, 1, maxCrashes, 7)
		exchange(start, ledgers)
		probes, admitted := 0, 0
		for ms := 0; ms < 400_000; ms += 100 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i, l := range ledgers {
				v := l.Admit(now, []Part{7})
				if !v.Probe {
					continue
				}
				// The first one admitted finds no endpoint.
				l.EndProbe(v.Blamed, admitted > 0)
				admitted++
				if admitted == 1 {
					continue
				}
				probes++
				if crashing {
					crashes(l, now, 100+i, 1, 7)
				} else {
					serves(l, now.Add(settleTime), 7)
				}
			}
			exchange(now, ledgers)
		}
		if crashing {
			assert.Equal(t, probes, len(probeAfter))
		} else {
			assert.Equal(t, probes, 1)
		}
		for _, l := range ledgers {
			assert.Equal(t, l.IsBlamed([]Part{7}), crashing)
		}
	}
}

// exchange delivers the news of each ledger to all others.
func exchange(now domain.Instant, ledgers []*Ledger) {
	for i, from := range ledgers {
		from.Tick(now)
		n := from.News(now)
		for j, to := range ledgers {
			if i != j {
				to.PeerNews(now, n)
			}
		}
	}
}

// A process that has just started learns of blames with the first message, makes no probe at first, and
// clears what it has proven itself.
func TestStartedProcess(t *testing.T) {
	old, started := New(0), New(start)
	crashes(old, start, 1, maxCrashes, 7)
	crashes(old, start, 1, maxCrashes, 8)
	serves(started, start, 8)
	exchange(start.Add(100*time.Millisecond), []*Ledger{old, started})
	exchange(start.Add(200*time.Millisecond), []*Ledger{old, started})
	for _, l := range []*Ledger{old, started} {
		assert.Assert(t, l.IsBlamed([]Part{7}))
		assert.Assert(t, !l.IsBlamed([]Part{8}))
	}
	assert.Assert(t, !started.Admit(start.Add(learningTime-1), []Part{7}).Probe)
}

// What a ledger holds is bounded, and forgotten when no request brings it any more.
func TestLedgerIsBounded(t *testing.T) {
	l := New(0)
	for p := range Part(3 * maxSuspects) {
		crashes(l, start, int(p), 1, p)
	}
	assert.Assert(t, len(l.suspects) <= maxSuspects)
	for p := range Part(3 * maxBlames) {
		crashes(l, start, 1, maxCrashes, p+1e6)
		l.blame(start, p+1e6, blame{since: start, seenAt: start.Add(time.Duration(p))})
	}
	assert.Assert(t, len(l.blames) <= maxBlames)
	for p := range 3 * maxUnconfirmed {
		for part := range Part(3) {
			l.Lost(start, l.Sent(process(p+1), []Part{part}))
		}
		l.Gone(start, process(p+1e4))
	}
	for p := range Part(3 * maxLostParts) {
		l.Lost(start, l.Sent(process(1), []Part{p}))
	}
	assert.Assert(t, len(l.unconfirmed) <= maxUnconfirmed && len(l.unconfirmed[0].parts) <= maxLostParts)
	n := l.News(start)
	assert.Assert(t, len(n.Crashes) <= maxNewsCrashes && len(n.Cleared) <= maxNewsCleared)
	l.Tick(start.Add(2 * blameTime))
	assert.Equal(t, len(l.suspects)+len(l.blames)+len(l.proofs)+len(l.crashes)+len(l.settling)+len(l.cleared)+len(l.heard)+len(l.pending)+len(l.unconfirmed)+len(l.gone)+len(l.told), 0)
}
