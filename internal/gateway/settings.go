// Package gateway takes callers' HTTP requests and forwards each to an endpoint
// that it chooses itself, without an agent. Decisions are made by the packages
// routing, placement, retrybudget and validity; this one does their input and output.
package gateway

import (
	"net/netip"
	"time"
)

// Settings are the settings of a gateway.
type Settings struct {
	Name       string
	DataCentre string
	// Listen is the address for callers.
	Listen string
	// ReadyListen is the address of the readiness check.
	ReadyListen string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// MetricsListen is the address of the metrics page. Empty serves none.
	MetricsListen string
	// Store is the address of the platform's store.
	Store string
	// PeerAddress is where other gateways send digests.
	PeerAddress netip.AddrPort
	// PeerSeeds are peers to begin with. Some may be gone.
	PeerSeeds []netip.AddrPort
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// StopGrace is the time from the order to stop until the process is killed.
	StopGrace time.Duration
	// KeyValidity is how long a set of keys may be used that is not confirmed
	// to be the newest. Zero means for ever.
	KeyValidity time.Duration
	// RetryRatio and RetryExtra bound the repeats in each RetryWindow, of all
	// gateways together: a share of the requests, and a number besides.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}
