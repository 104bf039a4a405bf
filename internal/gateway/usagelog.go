package gateway

import (
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/usage"
)

// record writes the log lines of events and updates the metrics.
func (u *usageReports) record(events []usage.Event, held bool) {
	m := u.gateway.instruments
	m.leaseHeld.Update(map[bool]float64{true: 1}[held])
	for _, e := range events {
		switch e.Kind {
		case usage.HolderChanged, usage.Taken, usage.Released, usage.Lost:
			if e.Kind != usage.Lost {
				m.holderChanges.Inc(1)
			}
			klog.InfoS("lease "+e.Kind.String(), "token", e.Token, "peer", e.Peer, "window", e.Window, "cause", e.Cause)
		case usage.Fixed:
			m.usageFixed.Inc(1)
			klog.InfoS("usage window fixed", "window", e.Window, "token", e.Token, "after_end", e.Took, "requests", e.Counted,
				"accounts", e.Accounts, "heard", e.Heard, "missing", e.Missing)
			if len(e.Unnamed) > 0 {
				klog.ErrorS(nil, "usage of accounts left out", "window", e.Window, "accounts", e.Unnamed, "cause", "no name in the configuration")
			}
		case usage.Delivered:
			m.usageDelivered.Inc(1)
			klog.InfoS("usage window delivered", "window", e.Window, "token", e.Token, "after_end", e.Took)
		case usage.Refused:
			m.usageMissed.Inc(1)
			klog.ErrorS(nil, "usage window refused", "window", e.Window, "token", e.Token, "status", e.Status, "cause", e.Cause)
		case usage.Missed:
			m.usageMissed.Inc(e.Windows)
			klog.ErrorS(nil, "usage window missed", "window", e.Window, "windows", e.Windows, "token", e.Token, "cause", e.Cause)
		case usage.CallFailed:
			m.usageCallsFailed.Inc(1)
			klog.InfoS("usage call failed", "window", e.Window, "token", e.Token, "status", e.Status, "cause", e.Cause)
		case usage.StoreFailed:
			klog.InfoS("lease row not read or written", "cause", e.Cause)
		case usage.Waiting:
			klog.InfoS("lease held elsewhere", "holder", e.Holder, "token", e.Token, "for", e.Took)
		case usage.ClockSet:
			klog.InfoS("time of day followed", "by", e.Took)
		default:
			klog.ErrorS(nil, "unknown event of usage", "kind", e.Kind)
		}
	}
}
