// Package wire connects the processes of dunlinpulley over drpc. It dials and
// accepts connections, exchanges Hellos, transfers messages and reports which
// links are up. Its state is the open links and their send queues. Entries use
// AgentLinks and PeerLinks, agents use EntryLinks. The decision cores handle lost
// messages and unresponsive peers.
//
// A link is a logical connection to one peer. The dialling side dials again whenever
// the connection is lost. While a link is up it has a session with one incarnation
// of the peer. A session has one or two streams. Each stream is a drpc stream on a
// TCP connection of its own.
//
// Messages may be lost at any time. A session delivers no message twice, and none
// after its link was reported down.
package wire

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// ProtocolVersion is sent in each Hello. A peer with another version is rejected.
// Message kinds can be added under the same version: unknown kinds are ignored.
const ProtocolVersion = 1

// MaxMessageBytes is the maximum encoded size of a message, in both directions.
const MaxMessageBytes = 8 << 20

// Defaults of Options.
const (
	defaultDialTimeout  = 2 * time.Second
	defaultHelloTimeout = 2 * time.Second
	defaultWriteTimeout = 5 * time.Second
	defaultBackoffMin   = 50 * time.Millisecond
	defaultBackoffMax   = 2 * time.Second
	defaultQueueCount   = 4096
	defaultQueueBytes   = 64 << 20
)

// Identity holds the fields of the Hello that a process sends.
type Identity struct {
	// Name is the EntryID or EndpointID.
	Name        string
	Incarnation domain.Incarnation
	// Revision returns the configuration revision in force. It may be called concurrently.
	Revision func() domain.Revision
}

// Options sets the timeouts and limits of links. A zero field means its default.
type Options struct {
	// DialTimeout is the maximum time to open a TCP connection.
	DialTimeout time.Duration
	// HelloTimeout is the maximum time for the exchange of Hellos on one stream, and
	// for the second stream of a session to arrive.
	HelloTimeout time.Duration
	// WriteTimeout is the maximum time for one write. The link is closed if it expires.
	WriteTimeout time.Duration
	// BackoffMin and BackoffMax bound the pause between dial attempts.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// QueueCount and QueueBytes limit the messages queued to be sent on one stream.
	QueueCount int
	QueueBytes int
}

// withDefaults returns the options with zero fields set to their defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.HelloTimeout, defaultHelloTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.BackoffMin, defaultBackoffMin)
	setDefault(&o.BackoffMax, defaultBackoffMax)
	if o.QueueCount == 0 {
		o.QueueCount = defaultQueueCount
	}
	if o.QueueBytes == 0 {
		o.QueueBytes = defaultQueueBytes
	}
	return o
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// validateAddress returns an error unless the address is an IP address with a
// non-zero port. Host names are not allowed.
func validateAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Newf("address %q is not an IP address with a port", address)
	}
	if parsed.Port() == 0 {
		return errors.Newf("address %q has no port", address)
	}
	return nil
}

// stepError adds the step and the peer to an error.
func stepError(err error, step, peer string) error {
	return errors.Wrapf(err, "step=%s peer=%s", step, peer)
}
