package usage

import (
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// maxBodies bounds the bodies in the row.
const maxBodies = 4

// Body is the report of a window, which never changes once it is in the store.
type Body struct {
	Window int64  `json:"window"`
	Body   []byte `json:"body"`
	// Delivered is whether the provider has accepted it, and Refused whether it never will.
	Delivered bool `json:"delivered,omitempty"`
	Refused   bool `json:"refused,omitempty"`
}

// ledger is the state of usage reports in the row of the lease.
type ledger struct {
	// Address is the holder's address for peers.
	Address string `json:"address"`
	// Last is the last window that is fixed or given up: no body of it or of an earlier one is made.
	Last int64 `json:"last"`
	// Yielded is the last window at which a holder gave the lease back as it was cut off from peers or the provider.
	Yielded int64  `json:"yielded,omitempty"`
	Bodies  []Body `json:"bodies,omitempty"`
}

// parseLedger decodes the state of a row.
func parseLedger(state []byte) (ledger, error) {
	var l ledger
	if err := json.Unmarshal(state, &l); err != nil {
		return ledger{}, errors.Wrapf(err, "step=decode ledger bytes=%d", len(state))
	}
	return l, nil
}

// encode returns the state for a row.
func (l ledger) encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // numbers, strings and bytes only
	}
	return data
}

// holder returns the holder's address; the zero value if it is invalid.
func (l ledger) holder() netip.Addr {
	address, err := netip.ParseAddr(l.Address)
	if err != nil {
		return netip.Addr{}
	}
	return address
}

// body returns the body of a window, or nil.
func (l *ledger) body(window int64) *Body {
	for i := range l.Bodies {
		if l.Bodies[i].Window == window {
			return &l.Bodies[i]
		}
	}
	return nil
}

// add adds a body and drops the oldest ones beyond maxBodies, those that are settled first.
func (l *ledger) add(b Body) {
	l.Bodies = append(l.Bodies, b)
	for len(l.Bodies) > maxBodies {
		drop := 0
		for i, old := range l.Bodies {
			if old.Delivered || old.Refused {
				drop = i
				break
			}
		}
		l.Bodies = append(l.Bodies[:drop:drop], l.Bodies[drop+1:]...)
	}
}

// clone returns a copy whose bodies can be changed.
func (l ledger) clone() ledger {
	l.Bodies = append([]Body(nil), l.Bodies...)
	return l
}

// report is the body of a call to the provider.
type report struct {
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

// encodeReport returns the body for a window, and the accounts whose names are not known.
func encodeReport(window int64, total map[Account]uint64, name func(Account) (string, bool)) ([]byte, []Account) {
	var unnamed []Account
	r := report{Window: window, Counts: make(map[string]uint64, len(total))}
	for account, n := range total {
		if text, ok := name(account); ok {
			r.Counts[text] += n
		} else {
			unnamed = append(unnamed, account)
		}
	}
	// Keys of maps are encoded in order.
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // numbers and strings only
	}
	return data, unnamed
}
