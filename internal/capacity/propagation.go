package capacity

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// propagationTimeout bounds the simulated time until a revision is in force in all
	// entries.
	propagationTimeout = 2 * time.Minute
	// settleTime is the simulated time that passes before the change of a propagation
	// measure, so that the polls and heartbeats of entries no longer coincide. The
	// measures of bytes count over the same time.
	settleTime = 10 * time.Second
	// propagationGoal is the time within which a change has to be in force in all
	// entries.
	propagationGoal = 12 * time.Second
)

// peerSelector returns the names of the entries that an entry is linked to.
type peerSelector func(self policy.LinkMember, entries []policy.LinkMember) []string

// allPeers selects all other entries.
func allPeers(self policy.LinkMember, entries []policy.LinkMember) []string {
	others := make([]string, 0, len(entries))
	for _, entry := range entries {
		if entry.Name != self.Name {
			others = append(others, entry.Name)
		}
	}
	return others
}

// noPeers selects no entries.
func noPeers(policy.LinkMember, []policy.LinkMember) []string { return nil }

// propagationMeasures returns the measures of configuration changes between entries.
// The production revision cores run on a simulated clock, and each message arrives
// after one tick of 5 ms.
func propagationMeasures() []Measure {
	sizes := []int{25, 100, targetEntries}
	measure := func(name, title string, selectPeers peerSelector, storeDown bool) Measure {
		return Measure{
			Name: name, Title: title, Size: "entries", Unit: "seconds of simulated time", Deterministic: true, Sizes: sizes,
			Run: func(entryCount int) (float64, error) { return propagationTime(entryCount, selectPeers, storeDown) },
		}
	}
	return []Measure{
		measure("spread-all", "Time until an operator's change is in force in all entries, with links between all entries and the table service down after the commit", allPeers, true),
		measure("spread-subset", "Time until an operator's change is in force in all entries, each linked to its subset of peers, with the table service down after the commit", policy.PeerLinks, true),
		measure("spread-store", "Time until an operator's change is in force in all entries, which only poll the table service and have no links to each other", noPeers, false),
		{Name: "peer-bytes", Title: "Bytes that one entry sends and receives for heartbeats with its subset of peers, with drpc framing",
			Size: "entries", Unit: "bytes per second in both directions", Sizes: sizes, Run: peerBytes, Deterministic: true},
		{Name: "spread-bytes", Title: "Bytes of messages between entries for one change of an account, without heartbeats, per entry",
			Size: "entries", Unit: "bytes sent per entry and change", Sizes: sizes, Run: changeMessageBytes, Deterministic: true},
		{Name: "spread-split", Title: "Share of the entries in the region of a change that apply it within 12 s while the other region and the table service are unreachable",
			Size: "entries", Unit: "percent", Sizes: sizes, Run: partitionReach, Deterministic: true},
	}
}

// encodeAccount encodes the declaration of an account by its index.
func encodeAccount(account int, body *declaration.Account) (*pb.Document, error) {
	return declaration.EncodeDocument(declaration.KeyOf(declaration.KindAccount, accountName(account)), body)
}

// delivery is a message or a store reply in flight to the entry with index to.
type delivery struct {
	to    int
	input revision.Input
}

// peerNetwork simulates the revision cores of entries, the links between them and
// the table service. Entries are identified by their index in cores.
type peerNetwork struct {
	now       domain.Instant
	cores     []*revision.Core
	indexOf   map[domain.EntryID]int
	linked    []map[int]bool
	inFlight  []delivery
	store     *countingStore
	storeDown bool
	// downAfterCommit makes the table service unavailable after the next commit.
	downAfterCommit bool
	// heartbeatBytes counts heartbeats that the first entry sends and receives.
	heartbeatBytes int
	// messageBytes counts all messages between entries except heartbeats.
	messageBytes int
}

// newPeerNetwork returns a network in which the first revision is in force in all
// entries. A link between two entries exists if either selects the other.
func newPeerNetwork(entryCount int, selectPeers peerSelector) (*peerNetwork, error) {
	docs, err := documents(configSize{accounts: 50, agents: targetModels, entries: 1})
	if err != nil {
		return nil, err
	}
	network := &peerNetwork{indexOf: map[domain.EntryID]int{}, store: newCountingStore()}
	names := make([]string, entryCount)
	for i := range entryCount {
		names[i] = entryName(i)
		network.indexOf[domain.EntryID(names[i])] = i
		network.cores = append(network.cores, revision.New(revision.Options{
			Self: domain.EntryID(names[i]), Incarnation: 1, Seed: uint64(i + 1),
		}))
		network.linked = append(network.linked, map[int]bool{})
	}
	candidates, _ := members(entryCount, 0)
	for i := range candidates {
		for _, peer := range selectPeers(candidates[i], candidates) {
			j := network.indexOf[domain.EntryID(peer)]
			network.linked[i][j] = true
			network.linked[j][i] = true
		}
	}
	for i := range names {
		for j := range names {
			if network.linked[i][j] {
				network.cores[i].Step(0, revision.PeerUp{Peer: domain.EntryID(names[j])})
			}
		}
	}
	network.cores[0].Step(0, revision.Apply{
		ID: 1, Operator: "operator-0", Change: "first", AnyBase: true, Documents: docs, At: network.store.epoch,
	})
	if !network.runUntil(propagationTimeout, func() bool { return network.allAtRevision(1) }) {
		return nil, errors.New("step=first revision peer=entries revision 1 is not in force in all entries")
	}
	return network, nil
}

// allAtRevision reports whether all entries have at least a revision.
func (n *peerNetwork) allAtRevision(minimum domain.Revision) bool {
	for _, core := range n.cores {
		if core.Set().Revision() < minimum {
			return false
		}
	}
	return true
}

// runUntil ticks all cores until a condition is true. It reports false if the
// condition is still false after the timeout.
func (n *peerNetwork) runUntil(timeout time.Duration, condition func() bool) bool {
	for deadline := n.now.Add(timeout); n.now.Before(deadline); {
		if condition() {
			return true
		}
		n.now = n.now.Add(tickInterval)
		arrived := n.inFlight
		n.inFlight = nil
		for _, arrival := range arrived {
			n.cores[arrival.to].Step(n.now, arrival.input)
		}
		for i, core := range n.cores {
			core.Tick(n.now)
			for _, out := range core.Take() {
				n.handleOutput(i, out)
			}
		}
	}
	return condition()
}

// handleOutput delivers an output of a core to its destination in the next tick. A
// message between entries without a link is lost.
func (n *peerNetwork) handleOutput(from int, out revision.Output) {
	switch o := out.(type) {
	case revision.SendPeer:
		to := n.indexOf[o.Peer]
		if !n.linked[from][to] {
			return
		}
		if o.Message.GetHeartbeat() != nil && (from == 0 || to == 0) {
			n.heartbeatBytes += framedSize(o.Message)
		}
		if o.Message.GetHeartbeat() == nil {
			n.messageBytes += framedSize(o.Message)
		}
		n.inFlight = append(n.inFlight, delivery{to: to, input: revision.PeerMessage{Peer: domain.EntryID(entryName(from)), Message: o.Message}})
	case revision.StoreRequest:
		reply := table.Reply{Status: table.StatusUnavailable}
		if !n.storeDown {
			reply = n.store.transact(n.now, o.Request)
		}
		n.storeDown = n.storeDown || n.downAfterCommit && len(o.Request.Writes) > 0
		n.inFlight = append(n.inFlight, delivery{to: from, input: revision.StoreReply{ID: o.ID, Reply: reply}})
	}
}

// propagationTime returns the seconds until a change by the middle entry is in force
// in all entries.
func propagationTime(entryCount int, selectPeers peerSelector, storeDown bool) (float64, error) {
	network, err := newPeerNetwork(entryCount, selectPeers)
	if err != nil {
		return 0, err
	}
	network.runUntil(settleTime, func() bool { return false })
	apply, err := accountChangeRequest(1)
	if err != nil {
		return 0, err
	}
	network.downAfterCommit = storeDown
	start := network.now
	network.cores[entryCount/2].Step(network.now, apply)
	if !network.runUntil(propagationTimeout, func() bool { return network.allAtRevision(2) }) {
		return 0, errors.New("step=spread peer=entries revision 2 is not in force in all entries")
	}
	return network.now.Sub(start).Seconds(), nil
}

// peerBytes returns the bytes per second of the first entry's heartbeats.
func peerBytes(entryCount int) (float64, error) {
	network, err := newPeerNetwork(entryCount, policy.PeerLinks)
	if err != nil {
		return 0, err
	}
	network.heartbeatBytes = 0
	network.runUntil(settleTime, func() bool { return false })
	return float64(network.heartbeatBytes) / settleTime.Seconds(), nil
}
