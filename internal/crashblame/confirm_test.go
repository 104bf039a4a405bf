package crashblame

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Guards against parts that are blamed for connections that a network resets, and against losses that are forgotten because a check told
// nothing: a loss before the head counts if the process is confirmed to be gone, by a later confirmation as well, and not if it runs.
func TestLossesBeforeTheHeadWaitForConfirmation(t *testing.T) {
	for name, confirm := range map[string]func(l *Ledger, now domain.Instant, p Process){
		"gone":     func(l *Ledger, now domain.Instant, p Process) { l.Gone(now, p) },
		"runs":     func(l *Ledger, now domain.Instant, p Process) { l.Alive(now, p) },
		"not told": func(*Ledger, domain.Instant, Process) {},
	} {
		t.Run(name, func(t *testing.T) {
			l, peer := New(0), New(0)
			for i := range 2 * maxCrashes {
				now := start.Add(time.Duration(i) * time.Second)
				suspected, _ := l.Lost(now, l.Sent(process(i+1), []Part{7}))
				assert.Equal(t, len(suspected), 0)
				for _, c := range l.News(now).Crashes {
					assert.Assert(t, c.Process != process(i+1), "told before it is confirmed")
				}
				confirm(l, now.Add(checkDelay), process(i+1))
				for ms := checkDelay; ms < time.Second; ms += 50 * time.Millisecond {
					l.Tick(now.Add(ms))
					exchange(now.Add(ms), []*Ledger{l, peer})
				}
			}
			assert.Equal(t, l.IsBlamed([]Part{7}), name == "gone")
			assert.Equal(t, peer.IsBlamed([]Part{7}), name == "gone")
		})
	}
}

// A process is asked once for the losses that are noticed within checkDelay, and again for later ones only; the same holds for connecting.
func TestOneCheckForEachLoss(t *testing.T) {
	l := New(0)
	lose := func(after time.Duration) {
		l.Lost(start.Add(after), l.Sent(process(1), []Part{7}))
		l.Lost(start.Add(after), l.Sent(process(1), []Part{8}))
	}
	checks := func(after time.Duration) []Check { return l.StartChecks(start.Add(after)) }
	connect, ask := []Check{{Process: process(1)}}, []Check{{Process: process(1), Ask: true}}
	lose(0)
	assert.DeepEqual(t, checks(1), connect)
	lose(checkDelay / 2)
	assert.Equal(t, len(checks(checkDelay-1)), 0)
	assert.DeepEqual(t, checks(checkDelay), ask)
	assert.Equal(t, len(checks(2*checkDelay)), 0)
	assert.DeepEqual(t, l.Unconfirmed(), []Process{process(1)}) // the check may have told nothing, and the registry tell it later
	lose(3 * checkDelay)
	assert.DeepEqual(t, checks(3*checkDelay), connect)
	assert.DeepEqual(t, checks(4*checkDelay), ask)
	l.Alive(start.Add(4*checkDelay), process(1))
	assert.Equal(t, len(checks(8*checkDelay)), 0)
	lose(9 * checkDelay)
	assert.DeepEqual(t, checks(9*checkDelay), connect)
	l.Gone(start.Add(9*checkDelay), process(1))
	lose(10 * checkDelay) // noticed late; the process is known to be gone
	assert.Equal(t, len(checks(11*checkDelay))+len(l.Unconfirmed()), 0)
}

// Guards against checks that can tell nothing: a plain request that is lost has no prompt part.
func TestNoCheckWithoutParts(t *testing.T) {
	l := New(0)
	plain := l.Sent(process(1), nil)
	l.Identify(plain, 7, true)
	l.Lost(start, plain)
	assert.Equal(t, len(l.StartChecks(start))+len(l.Unconfirmed()), 0)
}

// A process that a peer has found to be gone needs no check, and its losses here count.
func TestPeersConfirmCrashes(t *testing.T) {
	l, peer := New(0), New(0)
	for i := range maxCrashes {
		now := start.Add(time.Duration(i) * time.Second)
		l.Lost(now, l.Sent(process(i+1), []Part{7}))
		peer.Lost(now, peer.Sent(process(i+1), []Part{8}))
		peer.Gone(now, process(i+1))
		exchange(now, []*Ledger{l, peer})
		assert.Equal(t, len(l.StartChecks(now.Add(checkDelay))), 0)
	}
	settled := start.Add((maxCrashes-1)*time.Second + settleCrashTime)
	assert.DeepEqual(t, l.Tick(settled), []Part{7, 8})
}

// Guards against an unframed stream that is passed on as complete, as only another gateway has lost a request in the crash that ended it; and against
// streams that are taken for broken off as long as the crash is told.
func TestPeersTellOfLosses(t *testing.T) {
	l, peer := New(0), New(0)
	lost := peer.Sent(process(1), []Part{7})
	peer.Begun(start, lost)
	peer.Lost(start, lost)
	for ms := time.Duration(0); ms < 2*newsTime; ms += 10 * time.Millisecond {
		now := start.Add(ms)
		exchange(now, []*Ledger{l, peer})
		assert.Equal(t, l.LostSince(now, process(1)), ms <= crashInstant, "%s after the loss", ms)
		assert.Assert(t, !l.LostSince(now, process(2)))
		// A stream that ended at the loss is asked for later, on a busy machine much later.
		assert.Assert(t, l.LostSince(start, process(1)) || ms >= newsTime, "%s after the loss", ms)
	}
}

// A proof after the loss ends what waits for the confirmation.
func TestProofBeforeConfirmation(t *testing.T) {
	l := New(0)
	for i := range maxCrashes {
		now := start.Add(time.Duration(i) * time.Minute / maxCrashes)
		l.Lost(now, l.Sent(process(i+1), []Part{7}))
		serves(l, now.Add(settleTime), 7)
		suspected, _ := l.Gone(now.Add(provenTime+time.Second), process(i+1))
		assert.Equal(t, len(suspected), 0)
	}
}

// Guards against resets that count without a check: one refused connection marked a process as gone for confirmationTime, although it was
// found to run since.
func TestProcessFoundToRunIsNotGone(t *testing.T) {
	for name, find := range map[string]func(l *Ledger, now domain.Instant){
		"answered": func(l *Ledger, now domain.Instant) { l.Alive(now, process(1)) },
		"heard":    func(l *Ledger, now domain.Instant) { l.Heard(now, process(1)) },
		"begun":    func(l *Ledger, now domain.Instant) { l.Begun(now, l.Sent(process(1), nil)) },
	} {
		t.Run(name, func(t *testing.T) {
			l := New(0)
			l.Gone(start, process(1))
			find(l, start)
			assert.Assert(t, l.isGone(process(1)), "not found later than the mark")
			find(l, start.Add(time.Second))
			suspected, _ := l.Lost(start.Add(2*time.Second), l.Sent(process(1), []Part{7}))
			assert.Equal(t, len(suspected), 0)
			assert.DeepEqual(t, l.Unconfirmed(), []Process{process(1)})
		})
	}
}

// Guards against a crash that is forgotten because the process ran when it was asked, before the loss.
func TestAnswerToAnEarlierQuestion(t *testing.T) {
	l := New(0)
	l.Lost(start, l.Sent(process(1), []Part{7}))
	asked := start.Add(checkDelay)
	assert.Equal(t, len(l.StartChecks(start))+len(l.StartChecks(asked)), 2)
	l.Lost(asked.Add(10*time.Millisecond), l.Sent(process(1), []Part{8}))
	l.Alive(asked, process(1))
	assert.Equal(t, len(l.StartChecks(asked.Add(20*time.Millisecond))), 1)
	suspected, _ := l.Gone(asked.Add(30*time.Millisecond), process(1))
	assert.DeepEqual(t, suspected, []Part{8})

	// The process has been found to be gone after the question.
	l.Alive(asked, process(1))
	assert.Assert(t, l.isGone(process(1)))
}

// Guards against a loss that waits for longer than confirmationTime, as later ones at the process renew it.
func TestLossesExpireOneByOne(t *testing.T) {
	l := New(0)
	l.Lost(start, l.Sent(process(1), []Part{7, 8}))
	l.Lost(start.Add(confirmationTime/2), l.Sent(process(1), []Part{8, 9}))
	l.Tick(start.Add(confirmationTime))
	suspected, _ := l.Gone(start.Add(confirmationTime), process(1))
	assert.DeepEqual(t, suspected, []Part{8, 9})
}

// Guards against resets by the network that blame a part although each process answers right after: before the head of a plain answer, and within
// settleTime of a stream's first event.
func TestResetsWithAnswersFromTheProcessBlameNothing(t *testing.T) {
	for name, lose := range map[string]func(l *Ledger, now domain.Instant, p Process){
		"whole request": func(l *Ledger, now domain.Instant, p Process) {
			r := l.Sent(p, nil)
			l.Identify(r, 7, true)
			l.Lost(now, r)
		},
		"begun stream": func(l *Ledger, now domain.Instant, p Process) {
			r := l.Sent(p, []Part{7, 8})
			l.Received(now.Add(-settleTime/2), r)
			l.Lost(now, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(0)
			for i := range maxCrashes {
				now := start.Add(time.Duration(i) * time.Second)
				lose(l, now, process(i+1))
				l.StartChecks(now)
				l.Alive(now.Add(checkDelay), process(i+1))
				l.Tick(now.Add(checkDelay))
			}
			assert.Assert(t, !l.IsBlamed([]Part{7}))
		})
	}
}

// Guards against crashes that are never confirmed where something accepts connections for a process that is gone, and against resets that
// a network causes and that count for the same reason.
func TestProcessThatEndsAllConnectionsIsGone(t *testing.T) {
	const one, other = 1, 2
	for _, c := range []struct {
		name        string
		ended       []bool
		otherHeard  bool
		heardAgain  bool
		expectsGone bool
	}{
		{"all ended, others answer", []bool{true, true}, true, false, true},
		{"all ended, nobody answers", []bool{true, true}, false, false, false},
		{"one ended", []bool{true}, true, false, false},
		{"no answer in time", []bool{false, false}, true, false, false},
		{"heard between", []bool{true, true}, true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(0)
			l.Lost(start, l.Sent(process(one), []Part{7}))
			now, gone := start, false
			for _, ended := range c.ended {
				now = now.Add(askAgainDelay)
				if c.otherHeard {
					l.Heard(now, process(other))
				}
				gone = l.Unanswered(now, process(one), ended)
				if c.heardAgain {
					l.Heard(now, process(one))
				}
			}
			assert.Equal(t, gone, c.expectsGone)
		})
	}
}

// A question that gets no answer is asked again while the loss waits, at most once in askAgainDelay.
func TestUnansweredQuestionIsAskedAgain(t *testing.T) {
	l := New(0)
	l.Lost(start, l.Sent(process(1), []Part{7}))
	l.StartChecks(start)
	questions := 0
	for after := time.Duration(0); after < 2*confirmationTime; after += 50 * time.Millisecond {
		now := start.Add(after)
		for range l.StartChecks(now) {
			questions++
			l.Unanswered(now, process(1), false)
		}
		l.Tick(now)
	}
	assert.Assert(t, questions > 1 && questions <= int(confirmationTime/askAgainDelay), "%d questions", questions)
}
