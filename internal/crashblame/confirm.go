package crashblame

import (
	"maps"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Losses that tell nothing by themselves: before the head of an answer, and for whole requests after the first event. A crash takes the
// head with it and breaks off streams, but a network or an endpoint that goes on can end the same connections. Such a loss counts once the
// endpoint's process is confirmed to be gone, here or by a peer, and is forgotten if the process is found to run.

const (
	// checkDelay is the time from a loss until the process is asked whether it runs. A process that has crashed mostly refuses connections
	// at once, so that it need not be asked; otherwise it has started again by then, or something between ends its connections.
	checkDelay = 400 * time.Millisecond
	// askAgainDelay is the time from a question that got no answer until the next one.
	askAgainDelay = time.Second
	// maxEndedQuestions is the number of questions in a row, askAgainDelay apart, that the endpoint's side has ended without an answer after
	// which a process is gone. Resets by a network don't last as long, and mostly concern other processes too.
	maxEndedQuestions = 2
	// confirmationTime is how long a loss waits for the confirmation, and how long a process is known to be gone. The registry entry of a
	// process that has ended is removed within it.
	confirmationTime = 8 * time.Second
	// maxUnconfirmed bounds the processes with losses that wait for the confirmation.
	maxUnconfirmed = 256
)

// unconfirmedLoss is the loss of requests at a process of which it is not known whether it is gone.
type unconfirmedLoss struct {
	process Process
	// firstAt and lastAt are the times of the first and the last loss.
	firstAt, lastAt domain.Instant
	askAt           domain.Instant // when the next question is due
	// connected and asked are whether these checks have been started for the losses that were noticed together.
	connected, asked bool
	ended            int           // questions that the endpoint's side has ended, since anything came from the process
	parts            map[Part]loss // the last loss of each
}

// awaitConfirmation records parts of a request that was lost at a process. begun is whether its answer had begun.
func (l *Ledger) awaitConfirmation(now domain.Instant, process Process, parts []Part, begun bool) {
	i := slices.IndexFunc(l.unconfirmed, func(u *unconfirmedLoss) bool { return u.process == process })
	if i < 0 {
		if len(l.unconfirmed) >= maxUnconfirmed {
			return
		}
		i = len(l.unconfirmed)
		l.unconfirmed = append(l.unconfirmed, &unconfirmedLoss{process: process, firstAt: now, askAt: now.Add(checkDelay), parts: make(map[Part]loss)})
	}
	u := l.unconfirmed[i]
	if u.asked {
		u.askAt, u.connected, u.asked = now.Add(checkDelay), false, false
	}
	u.lastAt = now
	for _, p := range parts {
		if known, ok := u.parts[p]; (ok || len(u.parts) < maxLostParts) && !l.isProven(now, p) {
			u.parts[p] = loss{at: now, begun: begun || known.begun}
		}
	}
}

// Unconfirmed returns the processes with losses that wait for the confirmation.
func (l *Ledger) Unconfirmed() []Process {
	list := make([]Process, len(l.unconfirmed))
	for i, u := range l.unconfirmed {
		list[i] = u.process
	}
	return list
}

// Check is a check of a process that requests were lost at.
type Check struct {
	Process Process
	// Ask is whether the process is asked when it has started. Otherwise it is only tried whether it refuses connections.
	Ask bool
}

// StartChecks returns the checks to be made now: one of each kind for the losses at a process that are noticed within checkDelay, and
// further questions while they get no answer. Gone, Alive or Unanswered has to be told what is found.
func (l *Ledger) StartChecks(now domain.Instant) []Check {
	var list []Check
	for _, u := range l.unconfirmed {
		switch {
		case !u.connected:
			u.connected = true
			list = append(list, Check{Process: u.process})
		case !u.asked && now >= u.askAt:
			u.asked = true
			list = append(list, Check{Process: u.process, Ask: true})
		}
	}
	return list
}

// Gone records that a process has ended: its losses count. It returns what Lost does.
func (l *Ledger) Gone(now domain.Instant, process Process) (suspected, blamed []Part) {
	if process.Start != 0 {
		// Without a start, the next process at the endpoint has the same number.
		l.gone[process] = now
	}
	i := slices.IndexFunc(l.unconfirmed, func(u *unconfirmedLoss) bool { return u.process == process })
	if i < 0 {
		return nil, nil
	}
	u := l.unconfirmed[i]
	l.unconfirmed = slices.Delete(l.unconfirmed, i, i+1)
	var begun, waiting []Part
	for p, lost := range u.parts {
		if lost.begun {
			begun = append(begun, p)
		} else {
			waiting = append(waiting, p)
		}
	}
	slices.Sort(begun)
	slices.Sort(waiting)
	c := l.crashOf(now, process)
	// Peers are told of it from now on.
	c.at = now
	suspected, blamed = l.suspectAll(now, c, begun, true)
	s, b := l.countCrash(now, c, waiting, false)
	return append(suspected, s...), append(blamed, b...)
}

// Alive records that a process that was asked at a time runs: its losses until then were no crash. It may have crashed since.
func (l *Ledger) Alive(asked domain.Instant, process Process) {
	l.Heard(asked, process)
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(u *unconfirmedLoss) bool { return u.process == process && u.forget(asked) })
}

// Unanswered records that a process that was asked has not answered: it is asked again. ended is whether the endpoint's side has ended the
// connection. It reports whether the process is gone: it ends all connections, while another one has been heard since the loss.
func (l *Ledger) Unanswered(now domain.Instant, process Process, ended bool) (gone bool) {
	i := slices.IndexFunc(l.unconfirmed, func(u *unconfirmedLoss) bool { return u.process == process })
	if i < 0 {
		return false
	}
	u := l.unconfirmed[i]
	if u.asked {
		u.askAt, u.asked = now.Add(askAgainDelay), false
	}
	if ended {
		u.ended++
	}
	return u.ended >= maxEndedQuestions && l.heardOther(u)
}

// heardOther reports whether anything came from another process since a loss.
func (l *Ledger) heardOther(u *unconfirmedLoss) bool {
	for process, at := range l.heard {
		if process != u.process && at > u.firstAt {
			return true
		}
	}
	return false
}

// isGone reports whether a process is known to have ended.
func (l *Ledger) isGone(process Process) bool {
	_, gone := l.gone[process]
	return gone
}

// forget removes the losses until a time, and reports whether none is left.
func (u *unconfirmedLoss) forget(until domain.Instant) bool {
	maps.DeleteFunc(u.parts, func(_ Part, l loss) bool { return l.at <= until })
	return u.lastAt <= until
}

// expireUnconfirmed forgets losses that were not confirmed, and processes that are gone for long.
func (l *Ledger) expireUnconfirmed(now domain.Instant) {
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(u *unconfirmedLoss) bool { return u.forget(now.Add(-confirmationTime)) })
	for process, at := range l.gone {
		if now.Sub(at) >= confirmationTime {
			delete(l.gone, process)
		}
	}
}
