package replica

import (
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"
)

// crashDowntime is how long a process is gone after a crash: connections are refused.
const crashDowntime = 300 * time.Millisecond

// Outage is what becomes of a process that a request has crashed.
type Outage struct {
	// Time is how long the process is gone before it starts again.
	Time time.Duration
	// Accepts is whether connections are accepted and ended meanwhile, as by a proxy in front of the host, and not refused.
	Accepts bool
	// Final is whether the process never starts again.
	Final bool
}

// SetOutage replaces the outage after crashes, which is a refusal of connections for crashDowntime at first.
func (r *Replica) SetOutage(o Outage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage = o
}

// crashDelay is from the first event of a stream until it crashes the replica, see CrashOnStream.
const crashDelay = 30 * time.Millisecond

// CrashMoment is what a client has received of a stream when its prompt crashes the replica.
type CrashMoment uint8

// The moments.
const (
	// AfterHead is after the head of the answer has left the replica.
	AfterHead CrashMoment = iota
	// BeforeHead is while the head is still in the replica, so that the client gets nothing.
	BeforeHead
	// EitherMoment is BeforeHead for each second crash of the replica.
	EitherMoment
)

// CrashOn sets the identifier, in hexadecimal, of a prompt part that crashes the replica when it
// begins to write a stream for a prompt with it, unless it is the prompt's last part; empty for none. The
// process is gone for crashDowntime and starts again under its ID. crashed is called after each crash;
// it may call the replica's methods.
func (r *Replica) CrashOn(part string, moment CrashMoment, crashed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashPart, r.crashMoment, r.crashed = part, moment, crashed
}

// CrashOnTarget sets the request target of requests that crash the replica when it begins to run them; empty for none. The rest is as with
// CrashOn, which can be used beside it.
func (r *Replica) CrashOnTarget(target string, crashed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashTarget, r.crashed = target, crashed
}

// CrashOnStream is CrashOnTarget for streams, whose first event leaves the replica before the crash.
func (r *Replica) CrashOnStream(target string, crashed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashStream, r.crashed = target, crashed
}

// Crashes returns when the process crashed because of a request so far.
func (r *Replica) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashes...)
}

// Born returns the Unix time of the process's start in milliseconds.
func (r *Replica) Born() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

// HasCrashingPart reports whether the prompt of a request has a part that may crash replicas: it is listed
// before the last one.
func HasCrashingPart(header http.Header, part string) bool {
	entries := strings.Split(header.Get("X-Prompt-Prefix"), ",")
	for _, entry := range entries[:len(entries)-1] {
		if id, _, _ := strings.Cut(strings.TrimSpace(entry), ":"); part != "" && id == part {
			return true
		}
	}
	return false
}

// crashOnPart ends the process if the prompt of a request has the part that crashes it and does so at
// this moment, and reports whether it did.
func (r *Replica) crashOnPart(request *http.Request, now CrashMoment) bool {
	r.mu.Lock()
	part, moment := r.crashPart, r.crashMoment
	if moment == EitherMoment {
		moment = CrashMoment(len(r.crashes) % 2)
	}
	r.mu.Unlock()
	return now == moment && HasCrashingPart(request.Header, part) && r.crash()
}

// crashOnTarget ends the process after a delay if the target of a request crashes it, and reports whether it did.
func (r *Replica) crashOnTarget(request *http.Request, delay time.Duration) bool {
	r.mu.Lock()
	target := r.crashTarget
	r.mu.Unlock()
	if target == "" || request.RequestURI != target {
		return false
	}
	time.Sleep(delay)
	return r.crash()
}

// crashOnStream ends the process a moment after the first event of a stream, if its target crashes it, and reports whether it did.
func (r *Replica) crashOnStream(request *http.Request) bool {
	r.mu.Lock()
	target := r.crashStream
	r.mu.Unlock()
	if target == "" || request.RequestURI != target {
		return false
	}
	time.Sleep(crashDelay)
	return r.crash()
}

// startAgain listens again after a crash.
func (r *Replica) startAgain() {
	if err := r.listen(); err != nil {
		klog.ErrorS(err, "replica not started again", "replica", r.ID)
		time.AfterFunc(crashDowntime, r.startAgain)
	}
}

// serveAgain ends an outage in which connections were accepted.
func (r *Replica) serveAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = false
}

// crash ends the process, and starts it again unless the outage is final. It returns true.
func (r *Replica) crash() bool {
	r.mu.Lock()
	now := time.Now()
	r.crashes = append(r.crashes, now)
	r.born = max(now.UnixMilli(), r.born+1)
	switch {
	case r.gone:
	case r.outage.Accepts:
		r.gone = true
		if !r.outage.Final {
			time.AfterFunc(r.outage.Time, r.serveAgain)
		}
	case r.listener != nil:
		r.stopListening()
		if !r.outage.Final {
			time.AfterFunc(r.outage.Time, r.startAgain)
		}
	}
	for conn := range r.conns {
		closeQuietly(conn)
	}
	crashed := r.crashed
	r.mu.Unlock()
	if crashed != nil {
		crashed()
	}
	return true
}
