// Package gateway accepts callers' HTTP requests and forwards each to an
// endpoint that has no agent. The router program runs it.
//
// A Gateway holds the current configuration, the placement table of the
// endpoints, a queue of requests that no endpoint can start yet, a retry budget
// for each service and a pool of connections to endpoints. The packages
// routing, placement, waitqueue, retrybudget and validity make the decisions;
// this package does the I/O.
package gateway

import (
	"net/netip"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// Settings are the settings of a gateway.
type Settings struct {
	Name       string
	DataCentre string
	// Listen is the address for callers.
	Listen string
	// ReadyListen is the listen address of the readiness check.
	ReadyListen string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// MetricsListen is the listen address of the metrics page. If it is empty, none is served.
	MetricsListen string
	// Store is the address of the platform's metadata store, which holds the
	// configuration and the endpoint registry.
	Store string
	// PeerAddress is the UDP address at which other gateways reach this one.
	PeerAddress netip.AddrPort
	// PeerSeeds are the addresses of peers to contact first. Some may be out of date.
	PeerSeeds []netip.AddrPort
	// FirstStart is whether the whole deployment starts for the first time, so that no request was sent before.
	FirstStart bool
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxDescriptors is the limit of open descriptors of the process; 0 means no limit.
	MaxDescriptors int
	// StopGrace is the time from the stop signal until the process is killed.
	StopGrace time.Duration
	// KeyValidity is the time within which a revoked key must be rejected. Keys are
	// accepted for a part of it after a confirmation that they are the newest; see
	// package validity. Zero means no limit.
	KeyValidity time.Duration
	// RetryRatio and RetryExtra limit the retries in each RetryWindow: to
	// RetryRatio per request, plus RetryExtra shared by all gateways.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Spillover is the policy for requests that leave the data centre.
	Spillover placement.Spillover
	// Usage says how usage is reported.
	Usage UsageSettings
}

// UsageSettings are the settings of usage reports.
type UsageSettings struct {
	// Provider is the address of the API that usage is reported to. If it is empty, none is.
	Provider string
	// Window is the length of a window, and Late the time from its end until its report is overdue.
	Window, Late time.Duration
	// Reentry is the time within which holders of the lease never follow each other in the order A, B, A.
	Reentry time.Duration
	// CallsPerSecond is the number of calls that the provider accepts from all gateways together; 0 means no limit.
	CallsPerSecond float64
}
