package wire

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// AgentTarget is an agent to which a link is maintained.
type AgentTarget struct {
	ID domain.EndpointID
	// Address is an IP address with a port.
	Address string
}

// AgentEvents receives the state and the messages of an entry's links to agents.
// Calls for one agent are sequential: AgentUp and AgentDown alternate, and
// messages are delivered only between AgentUp and AgentDown. A call may block to
// apply backpressure to the sender.
type AgentEvents interface {
	AgentUp(id domain.EndpointID, inc domain.Incarnation)
	AgentDown(id domain.EndpointID)
	OnAgentMessage(id domain.EndpointID, m *pb.ToEntry)
}

// AgentLinks maintains an entry's links to agents. It is safe for concurrent use.
type AgentLinks struct {
	dialer *dialer[*pb.ToAgent, *pb.ToEntry]
}

// NewAgentLinks returns AgentLinks without targets.
func NewAgentLinks(self Identity, events AgentEvents, opts Options) *AgentLinks {
	return &AgentLinks{dialer: newDialer(entryToAgent, self, opts, peerEvents[*pb.ToEntry]{
		up: func(name string, inc domain.Incarnation) {
			events.AgentUp(domain.EndpointID(name), inc)
		},
		down: func(name string, _ domain.Incarnation) {
			events.AgentDown(domain.EndpointID(name))
		},
		receive: func(name string, _ domain.Incarnation, m *pb.ToEntry) {
			events.OnAgentMessage(domain.EndpointID(name), m)
		},
	})}
}

// SetTargets starts, updates and stops links so that they match the targets.
// A target whose address is not an IP address with a port counts as absent and is
// named in the error.
func (l *AgentLinks) SetTargets(targets []AgentTarget) error {
	addresses := make(map[string]string, len(targets))
	for _, t := range targets {
		addresses[string(t.ID)] = t.Address
	}
	return l.dialer.setTargets(addresses)
}

// Send queues a message, which must not be modified afterwards. It never blocks:
// the message is dropped if the link is down, the queue is full or the message
// exceeds MaxMessageBytes.
func (l *AgentLinks) Send(id domain.EndpointID, m *pb.ToAgent) {
	l.dialer.send(string(id), m)
}

// Reconnect closes the link to an agent and dials again immediately. Messages in
// flight on the old connection are not delivered.
func (l *AgentLinks) Reconnect(id domain.EndpointID) {
	l.dialer.reconnect(string(id))
}

// Dropped returns the number of messages that Send dropped.
func (l *AgentLinks) Dropped() uint64 { return l.dialer.dropped.Load() }

// Close stops all links and waits until no event is being delivered.
func (l *AgentLinks) Close() { l.dialer.close() }
