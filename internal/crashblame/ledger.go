package crashblame

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// settleTime is how long an endpoint goes on after the first event of an answer if the
	// prompt has no part that crashes it.
	settleTime = 300 * time.Millisecond
	// provenTime is how long a proof keeps a part from being suspected.
	provenTime = 2 * time.Second
	// maxCrashes is the number of crashes under a part at which it is blamed. The crashes
	// under one part must not come to five.
	maxCrashes = 3
	// settleCrashTime is how long after a crash the parts of answers that had not begun wait for their blame: until then all
	// losses by the crash are known here, and what peers have seen of it mostly is.
	settleCrashTime = 100 * time.Millisecond
	// maxRetriedCrashes is the number of crashes under a part up to which a request with it is
	// tried again after the endpoint was lost.
	maxRetriedCrashes = 1
	// suspicionTime is how long a crash counts against a part.
	suspicionTime = time.Minute
	// expiryInterval is the time between two removals of what is too old. Each of them visits all suspects.
	expiryInterval = 500 * time.Millisecond
	// maxLostParts bounds the suspected parts of one crash.
	maxLostParts = 512
	// maxSuspects bounds the suspected parts.
	maxSuspects = 4096
)

// Part identifies what a request has in common with others: a prompt part, or the whole request (see RequestPart).
type Part uint64

// Process identifies one process of an endpoint: the low 32 bits of the hash of the endpoint's
// identifier and the Unix time of its start in milliseconds.
type Process struct {
	Endpoint uint32
	Start    int64
}

// Run is a request at an endpoint.
type Run struct {
	process Process
	parts   []Part
	request Part           // the whole request; 0 while it is of no interest
	plain   bool           // whether the answer is no stream
	begun   bool           // whether the head of the answer has arrived
	firstAt domain.Instant // first event; 0 before it
	proven  bool
}

// settled reports whether the endpoint has gone on for settleTime after the run's first event.
func (r *Run) settled(now domain.Instant) bool {
	return r.firstAt > 0 && now.Sub(r.firstAt) >= settleTime
}

// crash is the loss of all requests at an endpoint's process, as this process has seen it.
type crash struct {
	process Process
	at      domain.Instant // first loss, or the confirmation
	lastAt  domain.Instant
	// parts are the suspected ones: of requests whose answers had not settled, without proven ones. The value is whether an
	// answer had begun.
	parts map[Part]bool
}

// suspicion is what counts against a part: the crashes under it since its last proof.
type suspicion struct {
	crashes map[Process]loss
	lastAt  domain.Instant
}

// loss is the loss of requests with a part at a crash.
type loss struct {
	at    domain.Instant
	begun bool // whether the answer of one of them had begun
}

// Ledger is what a process knows of parts and crashes. It is not safe for concurrent use.
type Ledger struct {
	settling  map[*Run]bool              // complete answers that have not settled
	heard     map[Process]domain.Instant // last arrival of a part of an answer from each process
	proofs    map[Part]domain.Instant
	suspects  map[Part]*suspicion
	blames    map[Part]*blame
	heads     map[uint32]bool         // of suspected and blamed parts, and of some that lately were; see KnowsHead
	expiredAt domain.Instant          // when what was too old was last removed
	crashes   []crash                 // of the last newsTime, oldest first
	cleared   map[Part]domain.Instant // parts to tell peers that they are proven, and since when
	pending   map[Part]bool           // suspects with maxCrashes that blameSettled decides on
	probing   prober
	// unconfirmed are losses before the head of an answer, oldest first; gone are processes that have ended, and when that was found.
	unconfirmed []*unconfirmedLoss
	gone        map[Process]domain.Instant
	// told are processes that peers tell crashes of.
	told map[Process]told
}

// New returns a ledger that knows nothing. startedAt is the start of this process.
func New(startedAt domain.Instant) *Ledger {
	return &Ledger{
		settling: make(map[*Run]bool), heard: make(map[Process]domain.Instant), heads: make(map[uint32]bool), proofs: make(map[Part]domain.Instant), suspects: make(map[Part]*suspicion), blames: make(map[Part]*blame),
		cleared: make(map[Part]domain.Instant), pending: make(map[Part]bool), gone: make(map[Process]domain.Instant), told: make(map[Process]told), probing: prober{startedAt: startedAt},
	}
}

// Sent records that a request is sent to an endpoint. parts are the parts of its prompt that other
// requests can have too.
func (l *Ledger) Sent(process Process, parts []Part) *Run {
	return &Run{process: process, parts: parts}
}

// Identify sets the part that is the whole request of a run. plain is whether the answer is no stream.
func (l *Ledger) Identify(r *Run, request Part, plain bool) { r.request, r.plain = request, plain }

// Begun records that the head of a run's answer has arrived.
func (l *Ledger) Begun(now domain.Instant, r *Run) {
	r.begun = true
	l.Heard(now, r.process)
}

// Begun returns whether the head of the run's answer has arrived.
func (r *Run) Begun() bool { return r.begun }

// Received records that events of a run's answer have arrived.
func (l *Ledger) Received(now domain.Instant, r *Run) {
	l.Begun(now, r)
	if r.firstAt == 0 {
		r.firstAt = now
	}
	if !r.proven && r.settled(now) {
		r.proven = true
		l.prove(now, r.all())
	}
}

// Completed records that the whole answer of a run has arrived. It proves the parts if the endpoint is
// heard again, or known to be alive, after the time in which the answer settles: a short answer can be
// complete before its prompt crashes the endpoint.
func (l *Ledger) Completed(now domain.Instant, r *Run) {
	l.Begun(now, r)
	if r.plain && r.request != 0 {
		// A plain answer comes when the run has ended.
		l.prove(now, []Part{r.request})
		return
	}
	if len(r.parts) == 0 && r.request == 0 || r.proven {
		return
	}
	if r.firstAt == 0 {
		r.firstAt = now
	}
	l.settling[r] = true
}

// Lost records that the connection of a run has ended from the endpoint's side before the answer was
// complete. It returns the parts that now count more crashes than before, and those that
// are blamed from now on. Before the head of the answer, the prompt parts wait until the process is confirmed to be gone; after the first
// event of a stream, the whole request does.
func (l *Ledger) Lost(now domain.Instant, r *Run) (suspected, blamed []Part) {
	c := l.crashOf(now, r.process)
	c.lastAt = now
	switch {
	case r.request == 0 || r.proven:
	case r.plain || r.firstAt == 0 || l.isGone(r.process):
		suspected, blamed = l.suspectAll(now, c, []Part{r.request}, true)
	default:
		// A stream that breaks off after events may have been cut by an endpoint that goes on.
		l.awaitConfirmation(now, r.process, []Part{r.request}, true)
	}
	if !r.begun && !l.isGone(r.process) {
		if len(r.parts) > 0 || l.unsettled(r.process) {
			l.awaitConfirmation(now, r.process, r.parts, false)
		}
		return suspected, blamed
	}
	var parts []Part
	if !r.proven {
		parts = r.parts
	}
	s, b := l.countCrash(now, c, parts, r.begun)
	return append(suspected, s...), append(blamed, b...)
}

// countCrash suspects parts of requests that were lost in a crash, and the parts of complete answers that had not settled. begun is
// whether the answers to the former had begun.
func (l *Ledger) countCrash(now domain.Instant, c *crash, parts []Part, begun bool) (suspected, blamed []Part) {
	suspected, blamed = l.suspectAll(now, c, parts, begun)
	for other := range l.settling {
		if l.isUnsettled(other, c.process) {
			s, b := l.suspectAll(now, c, other.all(), true)
			suspected, blamed = append(suspected, s...), append(blamed, b...)
			delete(l.settling, other)
		}
	}
	return suspected, blamed
}

// isUnsettled reports whether a complete answer is of a process that has not been heard since the answer should have settled.
func (l *Ledger) isUnsettled(r *Run, process Process) bool {
	return r.process == process && l.heard[process].Sub(r.firstAt) < settleTime
}

// unsettled reports whether there is such an answer of a process.
func (l *Ledger) unsettled(process Process) bool {
	for r := range l.settling {
		if l.isUnsettled(r, process) {
			return true
		}
	}
	return false
}

// suspectAll suspects parts of a request for a crash, unless they are proven. begun is whether its answer had begun.
// It returns the parts that this tells something new of, and those that are blamed from now on.
func (l *Ledger) suspectAll(now domain.Instant, c *crash, parts []Part, begun bool) (suspected, blamed []Part) {
	l.countBlamed(now, c.process, parts, begun)
	for _, p := range parts {
		before, known := c.parts[p]
		if l.isProven(now, p) || known && (before || !begun) || !known && len(c.parts) >= maxLostParts {
			continue
		}
		c.parts[p] = begun
		suspected = append(suspected, p)
		if l.suspect(now, p, c.process, begun) {
			blamed = append(blamed, p)
		}
	}
	return suspected, blamed
}

// countBlamed counts a crash against those of some parts that are blamed. That comes before it counts against the others, which they may explain.
func (l *Ledger) countBlamed(now domain.Instant, process Process, parts []Part, begun bool) {
	for _, p := range parts {
		if b := l.blames[p]; b != nil && !l.isProven(now, p) {
			b.count(process, loss{at: now, begun: begun})
		}
	}
}

// crashOf returns the record of the crash of a process, and adds one if it is the first loss there.
func (l *Ledger) crashOf(now domain.Instant, process Process) *crash {
	for i := range l.crashes {
		if l.crashes[i].process == process {
			return &l.crashes[i]
		}
	}
	l.crashes = append(l.crashes, crash{process: process, at: now, parts: make(map[Part]bool)})
	return &l.crashes[len(l.crashes)-1]
}

// Unheard returns the processes of complete answers that have settled, if nothing has come from them since
// then. If one is found to run, as a connection to it is open, Heard says so.
func (l *Ledger) Unheard(now domain.Instant) []Process {
	var list []Process
	for r := range l.settling {
		if r.settled(now) && l.heard[r.process].Sub(r.firstAt) < settleTime && !slices.Contains(list, r.process) {
			list = append(list, r.process)
		}
	}
	return list
}

// Heard records that a process has run at a time. A mark that it was gone before that is wrong.
func (l *Ledger) Heard(at domain.Instant, process Process) {
	l.heard[process] = max(l.heard[process], at)
	for _, u := range l.unconfirmed {
		if u.process == process {
			u.ended = 0
		}
	}
	if goneAt, gone := l.gone[process]; gone && at > goneAt {
		delete(l.gone, process)
	}
}

// crashInstant is the time within which the loss of all requests at a crashing endpoint is noticed.
const crashInstant = 100 * time.Millisecond

// LostSince reports whether a request was lost at a process since a moment before a time, or a peer told so for the first time.
func (l *Ledger) LostSince(at domain.Instant, process Process) bool {
	t, ok := l.told[process]
	return ok && at.Sub(t.firstAt) <= crashInstant || slices.ContainsFunc(l.crashes, func(c crash) bool { return c.process == process && at.Sub(c.lastAt) <= crashInstant })
}

// Tick has to be called a few times a second. It proves the parts of answers that have settled and forgets
// what is too old to matter. It returns the parts that are blamed from now on.
func (l *Ledger) Tick(now domain.Instant) (blamed []Part) {
	for r := range l.settling {
		switch {
		case l.heard[r.process].Sub(r.firstAt) >= settleTime:
			delete(l.settling, r)
			l.prove(now, r.all())
		case now.Sub(r.firstAt) >= provenTime:
			delete(l.settling, r)
		}
	}
	l.expireNews(now)
	l.expireUnconfirmed(now)
	blamed = l.blameSettled(now)
	if now.Sub(l.expiredAt) < expiryInterval {
		return blamed
	}
	l.expiredAt = now
	for process, at := range l.heard {
		if now.Sub(at) >= provenTime {
			delete(l.heard, process)
		}
	}
	for p, at := range l.proofs {
		if now.Sub(at) >= provenTime {
			delete(l.proofs, p)
		}
	}
	for p, s := range l.suspects {
		if now.Sub(s.lastAt) >= suspicionTime {
			delete(l.suspects, p)
		}
	}
	l.expireBlames(now)
	l.collectHeads()
	return blamed
}

// prove records that an endpoint went on writing under parts.
func (l *Ledger) prove(now domain.Instant, parts []Part) {
	for _, p := range parts {
		l.proofs[p] = now
		told := l.blames[p] != nil
		for _, c := range l.crashes {
			if _, suspected := c.parts[p]; suspected {
				told = true
				delete(c.parts, p)
			}
		}
		if told {
			l.cleared[p] = now
		}
		l.acquit(p)
	}
}

// acquit forgets what counts against a part.
func (l *Ledger) acquit(p Part) {
	delete(l.suspects, p)
	delete(l.blames, p)
	for _, u := range l.unconfirmed {
		delete(u.parts, p)
	}
}

// isProven reports whether the last proof of a part is recent.
func (l *Ledger) isProven(now domain.Instant, p Part) bool {
	at, ok := l.proofs[p]
	return ok && now.Sub(at) < provenTime
}

// suspect counts a crash under a part that is not blamed, and reports whether that is what makes it blamed. begun is whether an answer
// under the part had begun.
func (l *Ledger) suspect(now domain.Instant, p Part, process Process, begun bool) bool {
	if l.blames[p] != nil {
		return false // see countBlamed
	}
	s := l.suspects[p]
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			return false
		}
		s = &suspicion{crashes: make(map[Process]loss)}
		l.suspects[p] = s
		l.heads[p.head()] = true
	}
	at := now
	if known, ok := s.crashes[process]; ok {
		at, begun = known.at, begun || known.begun
	}
	s.crashes[process], s.lastAt = loss{at: at, begun: begun}, now
	if len(s.crashes) < maxCrashes {
		return false
	}
	l.pending[p] = true
	certain := 0
	for _, lost := range s.crashes {
		if lost.begun {
			certain++
		}
	}
	if certain < maxCrashes || l.blamedBefore(s) {
		return false
	}
	l.blameSuspect(now, p)
	return true
}

// blamedBefore reports whether one part was blamed before all crashes of a suspicion and has them all: no others are blamed for what it goes on to do.
func (l *Ledger) blamedBefore(s *suspicion) bool {
	for _, b := range l.blames {
		earlier := true
		for process, lost := range s.crashes {
			_, has := b.crashes[process]
			earlier = earlier && has && b.since < lost.at
		}
		if earlier {
			return true
		}
	}
	return false
}

// blameSuspect blames a suspected part.
func (l *Ledger) blameSuspect(now domain.Instant, p Part) {
	delete(l.pending, p)
	l.blame(now, p, blame{since: now, seenAt: now})
	delete(l.suspects, p)
}

// blameSettled blames the pending parts with maxCrashes crashes that have settled, unless a blamed part explains all
// of these: requests only waited at the endpoints then. It returns those that are blamed from now on.
func (l *Ledger) blameSettled(now domain.Instant) (blamed []Part) {
	for p := range l.pending {
		s := l.suspects[p]
		switch {
		case s == nil || len(s.crashes) < maxCrashes:
			delete(l.pending, p)
		case l.unexplained(now, s):
			blamed = append(blamed, p)
		}
	}
	slices.Sort(blamed)
	for _, p := range blamed {
		l.blameSuspect(now, p)
	}
	return blamed
}

// unexplained reports whether maxCrashes crashes of a suspicion have settled and there is no blamed part under which
// answers had begun at all of these.
func (l *Ledger) unexplained(now domain.Instant, s *suspicion) bool {
	var settled []Process
	for process, lost := range s.crashes {
		if now.Sub(lost.at) >= settleCrashTime {
			settled = append(settled, process)
		}
	}
	for _, b := range l.blames {
		if !slices.ContainsFunc(settled, func(process Process) bool { return !b.crashes[process].begun }) {
			return false
		}
	}
	return len(settled) >= maxCrashes
}

// MayRetry reports whether a request that was lost with its endpoint may be sent to another one.
func (l *Ledger) MayRetry(parts []Part) bool {
	for _, p := range parts {
		if s := l.suspects[p]; l.blames[p] != nil || s != nil && len(s.crashes) > maxRetriedCrashes {
			return false
		}
	}
	return true
}
