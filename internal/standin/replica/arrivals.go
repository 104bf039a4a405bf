package replica

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Arrival is a request that reached a replica, executed or not.
type Arrival struct {
	At time.Time
	// ID identifies the client's request; all attempts of a gateway to answer it have the same.
	ID     string
	Target string // request target as received
	Header http.Header
	// Limit is the limit that the response named; 0 if it named none.
	Limit float64
	// Pause is the number of seconds for which the replica asked to get no request; 0 if it did not.
	Pause float64
}

// Arrivals returns the requests for this replica so far, oldest first.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// saysLeaving reports whether the answer to a request says that the replica leaves. The caller must
// hold r.mu.
func (r *Replica) saysLeaving(request *http.Request) bool {
	switch r.leaving {
	case LeavingEverywhere:
		return true
	case LeavingInRefusals:
		return r.fault == NotRun
	case LeavingInStreams:
		return r.fault != NotRun && strings.HasPrefix(request.URL.Path, "/stream/")
	default:
		return false
	}
}

// recordArrival records a request and returns the header lines of what its response says of the
// replica: its pause, that it leaves, and its limit.
func (r *Replica) recordArrival(request *http.Request) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{At: time.Now(), ID: request.Header.Get("X-Attempt-Id"), Target: request.RequestURI, Header: request.Header, Limit: r.limit})
	lines := r.extra
	if r.fault == NotRun && r.pause > 0 {
		r.arrivals[len(r.arrivals)-1].Pause = r.pause
		lines += fmt.Sprintf("Retry-After: %g\r\n", r.pause)
	}
	if r.saysLeaving(request) {
		lines += "Server-Leaving: 1\r\n"
	}
	if r.limit > 0 {
		lines += fmt.Sprintf("Server-Limit: %g\r\n", r.limit)
	}
	return lines
}
