package platform

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
)

// Faults is the set of injected faults. The zero value injects none.
type Faults struct {
	// Unavailable answers all requests with 503 Service Unavailable.
	Unavailable bool `json:"unavailable"`
	// Crashed closes all connections and refuses new ones until it is cleared.
	Crashed bool `json:"crashed"`
	// SlowMS is a delay in milliseconds before each request is executed.
	SlowMS int `json:"slow_ms"`
	// LoseNext is the number of further transactions that are executed but whose
	// connection is aborted instead of a response.
	LoseNext int `json:"lose_next"`
	// MuteOpen mutes the connections that are open now for good, as
	// netfault.Network.Mute does. It acts once, when the faults are set, and only
	// with a Network.
	MuteOpen bool `json:"mute_open"`
}

// errInvalidFaults is returned for fault values out of range.
var errInvalidFaults = errors.New("slow_ms and lose_next must not be negative")

// SetFaults replaces the injected faults. It returns an error if a value is out of
// range, or if the network cannot come up again after Crashed is cleared.
func (p *Platform) SetFaults(f Faults) error {
	if f.SlowMS < 0 || f.LoseNext < 0 {
		return errInvalidFaults
	}
	klog.InfoS("faults set", "unavailable", f.Unavailable, "crashed", f.Crashed, "slowMS", f.SlowMS,
		"loseNext", f.LoseNext, "muteOpen", f.MuteOpen)
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.faults
	p.faults = f
	network := p.options.Network
	if network == nil {
		return nil
	}
	if f.MuteOpen {
		network.Mute()
	}
	switch {
	case f.Crashed && !previous.Crashed:
		network.Down()
	case !f.Crashed && previous.Crashed:
		return network.Up()
	}
	return nil
}

// injectFaults wraps a handler to apply the faults to its requests.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		if faults.Crashed {
			api.AbortConnection()
		}
		if faults.Unavailable {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		// Not cancelled with the request context: a delayed request is executed even if
		// its client disconnects.
		time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

// takeLostReply reports whether the next response is to be lost, and decrements
// LoseNext if so.
func (p *Platform) takeLostReply() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseNext == 0 {
		return false
	}
	p.faults.LoseNext--
	p.counters.Lost++
	return true
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := api.ReadJSON[Faults](w, r, true)
	if err == nil {
		err = p.SetFaults(faults)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	api.WriteJSON(w, http.StatusOK, faults)
}
