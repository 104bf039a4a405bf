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
	// maxRetriedCrashes is the number of crashes under a part up to which a request with it is
	// tried again after the endpoint was lost.
	maxRetriedCrashes = 1
	// suspicionTime is how long a crash counts against a part.
	suspicionTime = time.Minute
	// expiryInterval is the time between two removals of what is too old. Each of them visits all suspects.
	expiryInterval = 500 * time.Millisecond
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
	at      domain.Instant // first loss
	lastAt  domain.Instant
	parts   map[Part]bool // of requests whose answers had begun and not settled, without proven ones
}

// suspicion is what counts against a part: the crashes under it since its last proof.
type suspicion struct {
	crashes map[Process]domain.Instant
	lastAt  domain.Instant
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
	probing   prober
}

// New returns a ledger that knows nothing. startedAt is the start of this process.
func New(startedAt domain.Instant) *Ledger {
	return &Ledger{
		settling: make(map[*Run]bool), heard: make(map[Process]domain.Instant), heads: make(map[uint32]bool), proofs: make(map[Part]domain.Instant), suspects: make(map[Part]*suspicion), blames: make(map[Part]*blame),
		cleared: make(map[Part]domain.Instant), probing: prober{startedAt: startedAt},
	}
}

// Sent records that a request is sent to an endpoint. parts are the parts of its prompt that other
// requests can have too.
func (l *Ledger) Sent(process Process, parts []Part) *Run {
	return &Run{process: process, parts: parts}
}

// Identify sets the part that is the whole request of a run. plain is whether the answer is no stream.
func (l *Ledger) Identify(r *Run, request Part, plain bool) { r.request, r.plain = request, plain }

// Begun records that the head of a run's answer has arrived. The prompt parts of a request whose answer has not begun
// when its endpoint is lost are no cause of that.
func (l *Ledger) Begun(now domain.Instant, r *Run) {
	r.begun = true
	l.Heard(now, r.process)
}

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
// are blamed from now on.
func (l *Ledger) Lost(now domain.Instant, r *Run) (suspected, blamed []Part) {
	var parts []Part
	if r.begun && !r.proven {
		parts = append(parts, r.parts...)
	}
	// An answer that breaks off after events may have been cut by an endpoint that goes on.
	if r.request != 0 && !r.proven && (r.plain || r.firstAt == 0) {
		parts = append(parts, r.request)
	}
	for other := range l.settling {
		if other.process == r.process && l.heard[r.process].Sub(other.firstAt) < settleTime {
			parts = append(parts, other.all()...)
			delete(l.settling, other)
		}
	}
	c := l.crashOf(now, r.process)
	c.lastAt = now
	for _, p := range parts {
		if l.isProven(now, p) || c.parts[p] || len(c.parts) >= maxPartsOfCrash {
			continue
		}
		c.parts[p] = true
		suspected = append(suspected, p)
		if l.suspect(now, p, r.process) {
			blamed = append(blamed, p)
		}
	}
	return suspected, blamed
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

// Heard records that a process runs.
func (l *Ledger) Heard(now domain.Instant, process Process) { l.heard[process] = now }

// crashInstant is the time within which the loss of all requests at a crashing endpoint is noticed.
const crashInstant = 100 * time.Millisecond

// LostLately reports whether a request was lost at a process a moment ago.
func (l *Ledger) LostLately(now domain.Instant, process Process) bool {
	return slices.ContainsFunc(l.crashes, func(c crash) bool { return c.process == process && now.Sub(c.lastAt) <= crashInstant })
}

// Tick has to be called a few times a second. It proves the parts of answers that have settled and forgets
// what is too old to matter.
func (l *Ledger) Tick(now domain.Instant) {
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
	if now.Sub(l.expiredAt) < expiryInterval {
		return
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
}

// prove records that an endpoint went on writing under parts.
func (l *Ledger) prove(now domain.Instant, parts []Part) {
	for _, p := range parts {
		l.proofs[p] = now
		delete(l.suspects, p)
		if l.blames[p] != nil {
			delete(l.blames, p)
			l.cleared[p] = now
		}
	}
}

// isProven reports whether the last proof of a part is recent.
func (l *Ledger) isProven(now domain.Instant, p Part) bool {
	at, ok := l.proofs[p]
	return ok && now.Sub(at) < provenTime
}

// suspect counts a crash under a part and reports whether that is what makes it blamed.
func (l *Ledger) suspect(now domain.Instant, p Part, process Process) bool {
	if l.blames[p] != nil {
		return false
	}
	s := l.suspects[p]
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			return false
		}
		s = &suspicion{crashes: make(map[Process]domain.Instant)}
		l.suspects[p] = s
		l.heads[p.head()] = true
	}
	s.crashes[process], s.lastAt = now, now
	if len(s.crashes) < maxCrashes {
		return false
	}
	delete(l.suspects, p)
	l.blame(now, p, blame{since: now, seenAt: now})
	return true
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
