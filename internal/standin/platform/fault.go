package platform

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
)

// Faults are the faults in force.
type Faults struct {
	// Unavailable answers all requests with 503.
	Unavailable bool `json:"unavailable"`
	// Crashed closes all connections and refuses new ones until it is lifted.
	Crashed bool `json:"crashed"`
	// SlowMS delays each request, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseNext is the number of transactions to come that take effect, but
	// whose connection is cut in place of the reply.
	LoseNext int `json:"lose_next"`
	// MuteOpen makes the connections open now silent for good. New ones work.
	// It needs a Network, and is done once.
	MuteOpen bool `json:"mute_open"`
}

// errFaults is returned for faults out of bounds.
var errFaults = errors.New("slow_ms and lose_next must not be negative")

// SetFaults puts faults in force, in place of those before.
func (p *Platform) SetFaults(f Faults) error {
	if f.SlowMS < 0 || f.LoseNext < 0 {
		return errFaults
	}
	klog.InfoS("faults set", "unavailable", f.Unavailable, "crashed", f.Crashed, "slowMS", f.SlowMS,
		"loseNext", f.LoseNext, "muteOpen", f.MuteOpen)
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.faults
	p.faults = f
	network := p.options.Network
	if network == nil {
		return nil
	}
	if f.MuteOpen {
		network.Mute()
	}
	switch {
	case f.Crashed && !before.Crashed:
		network.Down()
	case !f.Crashed && before.Crashed:
		return network.Up()
	}
	return nil
}

// injectFaults applies the faults to a request.
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
		// A request that waits is carried out also when the caller gives up on it.
		time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

// takeLostReply takes one off the replies to lose, and reports whether there was one.
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
