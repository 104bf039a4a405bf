// Package cloudapi is a stand-in for the platform's cloud API, for tests. It records the usage reports that it gets and
// checks the rules on them: Violations lists what breaks one.
package cloudapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is a fault of the API until it is changed.
type Fault uint8

// The faults.
const (
	NoFault  Fault = iota
	Busy           // 429, nothing is accepted
	Down           // 503, nothing is accepted
	Silent         // accepts reports and doesn't answer
	Dropping       // ends connections without an answer, nothing is accepted
	Refusing       // 400
)

// maxBodyBytes limits a report.
const maxBodyBytes = 1 << 20

// Call is a report that has arrived.
type Call struct {
	At       time.Time
	Holder   string
	Token    int64
	Window   int64
	Counts   map[string]int
	Body     string
	Accepted bool
}

// Rules check calls in the order of their arrival. The zero value has no Reentry.
type Rules struct {
	// Reentry is the time within which holders may not follow each other in the order A, B, A.
	Reentry    time.Duration
	Calls      []Call
	Violations []string
}

func (r *Rules) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// Check checks a call against those before it and records it.
func (r *Rules) Check(call Call) {
	between := false // whether another holder has acted since the call's holder did
	for i := len(r.Calls) - 1; i >= 0; i-- {
		before := r.Calls[i]
		if before.Window == call.Window && before.Accepted && call.Accepted && before.Body != call.Body {
			r.violate("(a) window %d: %s, before %s", call.Window, call.Body, before.Body)
		}
		if before.Token == call.Token && before.Holder != call.Holder {
			r.violate("(b) token %d: %s, before %s", call.Token, call.Holder, before.Holder)
		}
		if before.Token > call.Token {
			r.violate("(c) token %d of %s after %d of %s", call.Token, call.Holder, before.Token, before.Holder)
		}
		if before.Holder != call.Holder {
			between = true
		} else if between && call.At.Sub(before.At) < r.Reentry {
			r.violate("(d) %s again after %s", call.Holder, call.At.Sub(before.At))
		}
	}
	r.Calls = append(r.Calls, call)
}

// API is the stand-in. It is an http.Handler, and safe for concurrent use.
type API struct {
	mu      sync.Mutex
	fault   Fault
	blocked map[string]bool // holders that are cut off
	rules   Rules
}

// New returns an API whose callers may not follow each other in the order A, B, A within a time.
func New(reentry time.Duration) *API {
	return &API{rules: Rules{Reentry: reentry}, blocked: make(map[string]bool)}
}

// SetFault sets the fault.
func (a *API) SetFault(f Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = f
}

// Block sets whether the calls of a holder are dropped before they are seen.
func (a *API) Block(holder string, blocked bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.blocked[holder] = blocked
}

// Calls returns the calls so far.
func (a *API) Calls() []Call {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Call(nil), a.rules.Calls...)
}

// Accepted returns the counts of each window that was accepted.
func (a *API) Accepted() map[int64]map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	windows := make(map[int64]map[string]int)
	for _, c := range a.rules.Calls {
		if c.Accepted {
			windows[c.Window] = c.Counts
		}
	}
	return windows
}

// Violations returns what has broken a rule.
func (a *API) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.rules.Violations...)
}

// ServeHTTP handles one call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	cut := a.blocked[r.Header.Get("X-Duty-Holder")]
	a.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the caller has ended the connection
	}
	switch a.record(r, body) {
	case Busy:
		w.WriteHeader(http.StatusTooManyRequests)
	case Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Refusing:
		w.WriteHeader(http.StatusBadRequest)
	case Silent:
		<-r.Context().Done()
	case Dropping:
		panic(http.ErrAbortHandler)
	default:
	}
}

// record checks and records a call, and returns the fault to answer it with.
func (a *API) record(r *http.Request, body []byte) Fault {
	a.mu.Lock()
	defer a.mu.Unlock()
	call := Call{At: time.Now(), Holder: r.Header.Get("X-Duty-Holder"), Body: string(body), Accepted: a.fault == NoFault || a.fault == Silent}
	var report struct {
		Window int64          `json:"window"`
		Counts map[string]int `json:"counts"`
	}
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || token <= 0 {
		a.rules.violate("token %q", r.Header.Get("X-Fencing-Token"))
	}
	if err := json.Unmarshal(body, &report); err != nil || r.Method != http.MethodPost || r.URL.Path != "/usage" || report.Counts == nil {
		a.rules.violate("call %s %s %q", r.Method, r.URL.Path, body)
	}
	call.Token, call.Window, call.Counts = token, report.Window, report.Counts
	a.rules.Check(call)
	return a.fault
}
