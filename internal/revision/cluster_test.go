package revision_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// submitted is an operator's request to one incarnation of an entry.
type submitted struct {
	change      domain.ChangeID
	entry       domain.EntryID
	incarnation int
}

// cluster drives the entries of a network with operators' requests. Its checks
// compare the results with the rows in the store.
type cluster struct {
	*network
	lastID    uint64
	submitted map[uint64]submitted
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{network: newNetwork(3), submitted: make(map[uint64]submitted)}
	c.apply("entry-1", "first", 0, baseDocuments()...)
	c.advance(5 * time.Second)
	assert.Equal(t, c.applied[1].Status, revision.ApplyAccepted, c.applied[1].Message)
	return c
}

func document(kind declaration.Kind, name, body string) *pb.Document {
	return &pb.Document{Kind: string(kind), Name: name, Body: []byte(body)}
}

func accountDocument(name string, requests int) *pb.Document {
	return document(declaration.KindAccount, name, fmt.Sprintf(
		`{"template":"visits","default-class":"gate","parameters":{"requests":"%d/s"},"key-hashes":["%064x"]}`, requests, name))
}

func baseDocuments() []*pb.Document {
	docs := []*pb.Document{
		document(declaration.KindService, "desk", `{"type":"model","models":["desk-assistant"]}`),
		document(declaration.KindService, "ticketing", `{"type":"plain"}`),
		document(declaration.KindTemplate, "visits", `{"parameters":[{"name":"requests","type":"rate","default":"5/s"}],"classes":[{"name":"gate","service":"desk","tier":"0","first-token":"800ms","max-wait":"10s","idempotent":"true"}],"limits":{"requests":"$requests"}}`),
	}
	for i, id := range []string{"desk-01", "desk-02", "ticketing-01"} {
		service, models := "desk", `"models":["desk-assistant"],`
		if i == 2 {
			service, models = "ticketing", ""
		}
		docs = append(docs, document(declaration.KindEndpoint, id, fmt.Sprintf(
			`{"service":%q,"data-centre":"st-clair-1","agent-address":"127.0.0.1:%d",%s"checks-fencing":"true","desired":"serving"}`,
			service, 7100+i, models)))
	}
	return append(docs, accountDocument("kiosk", 1))
}

func (c *cluster) apply(entry domain.EntryID, change domain.ChangeID, base domain.Revision, docs ...*pb.Document) uint64 {
	c.lastID++
	c.submitted[c.lastID] = submitted{change, entry, c.nodes[entry].incarnation}
	c.input(entry, revision.Apply{ID: c.lastID, Operator: "alma", Change: change, Base: base, Documents: docs, At: c.wallTime()})
	return c.lastID
}

func (c *cluster) operate(entry domain.EntryID, change domain.ChangeID, id domain.EndpointID, desired domain.DesiredState) uint64 {
	c.lastID++
	c.submitted[c.lastID] = submitted{change, entry, c.nodes[entry].incarnation}
	c.input(entry, revision.OperateRequest{ID: c.lastID, Operator: "birk", Change: change, Endpoint: id, Desired: desired, At: c.wallTime()})
	return c.lastID
}

func (c *cluster) wallTime() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(c.now))
}

// checkAudit compares the results with the audit trail, which must have exactly
// one row for each accepted change, in order of revision.
func (c *cluster) checkAudit(t rapid.TB) {
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
	rows := c.store.scan(table.Scan{Table: table.Audit})
	byChange := make(map[domain.ChangeID]domain.Revision)
	for i, row := range rows {
		var record revision.AuditRecord
		assert.NilError(t, json.Unmarshal(row.Value, &record))
		assert.Equal(t, record.Revision, domain.Revision(i+1), "wrong revision in the audit trail")
		_, twice := byChange[record.Change]
		assert.Assert(t, !twice, "change %s is recorded twice", record.Change)
		byChange[record.Change] = record.Revision
	}
	assert.Equal(t, len(rows), len(c.store.rows[table.Changes]))
	for id, result := range c.applied {
		recorded, ok := byChange[c.submitted[id].change]
		if result.Status == revision.ApplyAccepted {
			assert.Assert(t, ok && recorded == result.Revision, "accepted change %s is recorded at revision %d (0 for none), not at the reported one", c.submitted[id].change, recorded)
		}
	}
}

// checkRecoveryFromStore checks that every entry reads the newest revision from
// the store, whatever links are cut.
func (c *cluster) checkRecoveryFromStore(t rapid.TB) {
	c.store.mode = storeUp
	c.advance(convergenceBound)
	c.checkAudit(t)
	for _, name := range c.entryIDs {
		head := domain.Revision(c.store.rows[table.Head]["head"].Version)
		assert.Equal(t, c.nodes[name].core.Set().Revision(), head, "revision of %s read from the store", name)
	}
}

// checkRecoveryFromPeers checks that with the store down every entry receives the
// newest revision that any entry has in force.
func (c *cluster) checkRecoveryFromPeers(t rapid.TB) {
	c.store.mode = storeDown
	c.reconnect()
	c.advance(convergenceBound)
	c.checkAudit(t)
	newest := domain.Revision(0)
	for _, name := range c.entryIDs {
		newest = max(newest, c.nodes[name].core.Set().Revision())
	}
	for _, name := range c.entryIDs {
		assert.Equal(t, c.nodes[name].core.Set().Revision(), newest, "revision of %s received from its peers", name)
	}
}

func (c *cluster) reconnect() {
	c.partitioned = make(map[[2]domain.EntryID]bool)
	for i, a := range c.entryIDs {
		for _, b := range c.entryIDs[i+1:] {
			c.connect(a, b)
		}
	}
}

// checkConvergence ends all faults and checks that the newest revision is in
// force in all processes within convergenceBound.
func (c *cluster) checkConvergence(t rapid.TB) {
	c.store.mode = storeUp
	c.reconnect()
	for _, id := range c.agentIDs() {
		c.agents[id].unreachable = false
	}
	c.advance(convergenceBound)
	c.reportAgentRevisions()
	c.advance(time.Second)
	c.checkAudit(t)
	head := domain.Revision(c.store.rows[table.Head]["head"].Version)
	for _, name := range c.entryIDs {
		set := c.nodes[name].core.Set()
		assert.Equal(t, set.Revision(), head, "revision of %s", name)
		assert.Assert(t, c.nodes[name].core.Ready(), "%s is not ready", name)
	}
	for _, id := range c.agentIDs() {
		endpoint, _ := c.nodes["entry-1"].core.Set().Endpoint(id)
		assert.Equal(t, c.agents[id].Revision, head, "revision of agent %s", id)
		if !c.isOrderLost(domain.ChangeID(c.agents[id].lastOrder)) {
			assert.Equal(t, c.agents[id].desired, endpoint.Desired, "state of agent %s", id)
		}
	}
}

// isOrderLost reports whether an order is not recorded because the entry that
// received it was restarted. The agent follows it until the next order or change.
func (c *cluster) isOrderLost(order domain.ChangeID) bool {
	if _, ok := c.store.rows[table.Changes][string(order)]; ok {
		return false
	}
	for _, s := range c.submitted {
		if s.change == order {
			return c.nodes[s.entry].incarnation > s.incarnation
		}
	}
	return false
}

// TestStateMachine runs random sequences of changes, orders, store and link faults
// and entry restarts. It checks the audit trail after each step, and at the end
// that all processes converge.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t)
		entry := rapid.SampledFrom(c.entryIDs)
		change := rapid.Custom(func(t *rapid.T) domain.ChangeID {
			return domain.ChangeID(fmt.Sprintf("change-%d", rapid.IntRange(1, 12).Draw(t, "change")))
		})
		rt.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				at := entry.Draw(t, "entry")
				name := rapid.SampledFrom([]string{"kiosk", "school", "coach"}).Draw(t, "account")
				doc := accountDocument(name, rapid.IntRange(1, 4).Draw(t, "requests"))
				if name != "kiosk" && rapid.Bool().Draw(t, "remove") {
					doc.Body = nil
				}
				c.apply(at, change.Draw(t, "change"), c.nodes[at].core.Set().Revision(), doc)
			},
			"operate": func(t *rapid.T) {
				desired := rapid.SampledFrom([]domain.DesiredState{domain.EndpointServing, domain.EndpointDraining}).Draw(t, "desired")
				id := rapid.SampledFrom(c.agentIDs()).Draw(t, "endpoint")
				c.operate(entry.Draw(t, "entry"), domain.ChangeID(fmt.Sprintf("order-%d", c.lastID)), id, desired)
			},
			"store": func(t *rapid.T) {
				c.store.mode = storeMode(rapid.IntRange(0, storeModeCount-1).Draw(t, "mode"))
			},
			// Partitions two entries or ends their partition.
			"cut": func(t *rapid.T) {
				a, b := entry.Draw(t, "a"), entry.Draw(t, "b")
				c.partitioned[entryPair(a, b)] = rapid.Bool().Draw(t, "cut")
			},
			// Makes an agent unreachable or reachable again.
			"deaf": func(t *rapid.T) {
				id := rapid.SampledFrom(c.agentIDs()).Draw(t, "agent")
				c.agents[id].unreachable = rapid.Bool().Draw(t, "deaf")
			},
			"restart": func(t *rapid.T) { c.start(entry.Draw(t, "entry")) },
			"wait": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * tick)
			},
			"": func(t *rapid.T) { c.checkAudit(t) },
		})
		if rapid.Bool().Draw(rt, "store first") {
			c.checkRecoveryFromStore(rt)
		} else {
			c.checkRecoveryFromPeers(rt)
		}
		c.checkConvergence(rt)
	})
}

// Of two changes based on the same revision, one is accepted and the other
// reports a conflict that names the accepted one.
func TestConcurrentChangesOneWins(t *testing.T) {
	c := newCluster(t)
	a := c.apply("entry-1", "a", 1, accountDocument("kiosk", 2))
	b := c.apply("entry-2", "b", 1, accountDocument("kiosk", 3))
	c.advance(time.Second)
	first, second := c.applied[a], c.applied[b]
	assert.Equal(t, first.Status, revision.ApplyAccepted)
	assert.Equal(t, second.Status, revision.ApplyConflict)
	assert.Equal(t, second.Winner.Operator, "alma")
	assert.Equal(t, second.Winner.Change, domain.ChangeID("a"))
	assert.Equal(t, second.Winner.Revision, first.Revision)
	c.checkConvergence(t)
}

// A commit whose reply is lost is found by the next lookup and reported as
// accepted. A repeat under the same identifier at another entry changes nothing.
func TestLostCommitReplyIsResolved(t *testing.T) {
	c := newCluster(t)
	id := c.apply("entry-1", "a", 1, accountDocument("kiosk", 2))
	c.store.mode = storeLosesReply // from the commit on; the lookup was already sent
	c.advance(tick)
	assert.Equal(t, c.store.rows[table.Head]["head"].Version, uint64(2), "the commit did not take effect")
	c.store.mode = storeUp
	c.advance(5 * time.Second)
	assert.Equal(t, c.applied[id].Status, revision.ApplyAccepted)
	again := c.apply("entry-2", "a", 2, accountDocument("kiosk", 4))
	c.advance(time.Second)
	assert.Equal(t, c.applied[again].Status, revision.ApplyAccepted)
	assert.Assert(t, c.applied[again].Repeated)
	assert.Equal(t, c.applied[again].Revision, c.applied[id].Revision)
	c.checkConvergence(t)
}

// A commit of entry-1 is lost, and entry-2 commits a change under the same
// identifier. Entry-1 must install the documents that entry-2 committed.
func TestChangeCommittedByAnotherEntry(t *testing.T) {
	c := newCluster(t)
	c.partitioned[entryPair("entry-1", "entry-2")] = true
	c.partitioned[entryPair("entry-1", "entry-3")] = true
	c.apply("entry-1", "a", 1, accountDocument("kiosk", 2))
	c.store.mode = storeLosesRequest // from the commit on; the lookup was already sent
	c.advance(tick)
	c.store.mode = storeUp
	c.apply("entry-2", "a", 1, accountDocument("kiosk", 3))
	c.advance(5 * time.Second)
	assert.Equal(t, c.applied[2].Status, revision.ApplyAccepted) // of the apply at entry-1; newCluster's is 1
	c.checkConvergence(t)
}

func TestUnconfirmedCommitReportsUnknown(t *testing.T) {
	c := newCluster(t)
	id := c.apply("entry-1", "a", 1, accountDocument("kiosk", 2))
	c.store.mode = storeLosesRequest // from the commit on; the lookup was already sent
	c.advance(tick)
	c.store.mode = storeDown
	c.advance(12 * time.Second)
	assert.Equal(t, c.applied[id].Status, revision.ApplyUnknown)
	later := c.apply("entry-1", "b", 1, accountDocument("kiosk", 2))
	c.advance(12 * time.Second)
	assert.Equal(t, c.applied[later].Status, revision.ApplyUnavailable, "wrong status of a change that was not sent")
	c.checkConvergence(t)
}

func TestCommitIsPushedImmediately(t *testing.T) {
	c := newCluster(t)
	c.apply("entry-1", "a", 1, accountDocument("kiosk", 2))
	c.advance(tick)
	for _, name := range c.entryIDs {
		assert.Equal(t, c.nodes[name].core.Set().Revision(), domain.Revision(2), "%s", name)
	}
	assert.Equal(t, c.agents["desk-01"].Revision, domain.Revision(2))
	for _, peer := range c.nodes["entry-1"].core.Status().Peers {
		assert.Equal(t, peer.Revision, domain.Revision(2), "revision of %s as known to entry-1", peer.Name)
	}
}

func TestRestartDuringStoreOutageLoadsFromPeers(t *testing.T) {
	c := newCluster(t)
	c.partitioned[entryPair("entry-1", "entry-3")] = true
	c.partitioned[entryPair("entry-2", "entry-3")] = true
	id := c.apply("entry-1", "a", 1, accountDocument("kiosk", 2))
	c.advance(50 * time.Millisecond)
	c.store.mode = storeDown
	c.advance(50 * time.Millisecond)
	assert.Equal(t, c.applied[id].Status, revision.ApplyAccepted)
	c.start("entry-2")
	assert.Assert(t, !c.nodes["entry-2"].core.Ready())
	c.advance(5 * time.Second)
	assert.Equal(t, c.nodes["entry-2"].core.Set().Revision(), domain.Revision(2))
	assert.Assert(t, c.nodes["entry-2"].core.Ready())
	c.checkConvergence(t)
}

// An entry without access to the store must not become ready while a peer that it
// can reach reports a newer revision.
func TestNotReadyWhilePeerHasNewerRevision(t *testing.T) {
	c := newCluster(t)
	c.store.mode = storeDown
	isolated := revision.New(revision.Options{Self: "entry-9"})
	isolated.Step(0, revision.PeerUp{Peer: "entry-1", Revision: 2})
	set := c.nodes["entry-1"].core.Set()
	documents := &pb.Documents{Through: 1, Documents: set.Documents()}
	isolated.Step(0, revision.PeerMessage{Peer: "entry-1", Message: &pb.ToPeer{Kind: &pb.ToPeer_Documents{Documents: documents}}})
	for _, out := range isolated.Take() {
		if request, ok := out.(revision.StoreRequest); ok {
			isolated.Step(0, revision.StoreReply{ID: request.ID, Reply: table.Reply{Status: table.StatusUnavailable}})
		}
	}
	assert.Equal(t, isolated.Set().Revision(), domain.Revision(1))
	heartbeat := &pb.ToPeer{Kind: &pb.ToPeer_Heartbeat{Heartbeat: &pb.PeerHeartbeat{Revision: 2}}}
	for at := domain.Instant(0); at < domain.Instant(10*time.Second); at = at.Add(time.Second) {
		isolated.Step(at, revision.PeerMessage{Peer: "entry-1", Message: heartbeat})
		assert.Assert(t, !isolated.Ready(), "ready although the peer has revision 2")
	}
}

func TestUndeclaredDisconnectedAgentIsRemoved(t *testing.T) {
	c := newCluster(t)
	c.apply("entry-1", "a", 1, &pb.Document{Kind: string(declaration.KindEndpoint), Name: "desk-02"})
	c.advance(time.Second)
	assert.Equal(t, len(c.nodes["entry-1"].core.Status().Agents), 3)
	assert.Equal(t, c.agents["desk-02"].View.Endpoint.Desired, domain.EndpointDraining)
	for _, name := range c.entryIDs {
		c.input(name, revision.AgentDown{Agent: "desk-02"})
		assert.Equal(t, len(c.nodes[name].core.Status().Agents), 2, "%s", name)
	}
}

func TestIdlePollRate(t *testing.T) {
	core := revision.New(revision.Options{Self: "entry-1", Seed: 3})
	reads := 0
	for at := domain.Instant(0); at < domain.Instant(100*time.Second); at = at.Add(tick) {
		core.Tick(at)
		for _, out := range core.Take() {
			if request, ok := out.(revision.StoreRequest); ok {
				reads++
				core.Step(at, revision.StoreReply{ID: request.ID, Reply: table.Reply{Status: table.StatusOK}})
			}
		}
	}
	assert.Assert(t, reads >= 33 && reads <= 50, "%d reads in 100 s", reads)
}

func TestSameInputsProduceSameOutputs(t *testing.T) {
	run := func() []string {
		c := newCluster(t)
		c.apply("entry-2", "a", 1, accountDocument("kiosk", 2), accountDocument("coach", 1), accountDocument("school", 1))
		c.store.mode = storeAppliesLate
		c.operate("entry-1", "drain-1", "desk-01", domain.EndpointDraining)
		c.operate("entry-3", "drain-2", "desk-02", domain.EndpointDraining)
		c.advance(9 * time.Second)
		c.start("entry-3")
		c.checkConvergence(t)
		return c.trace
	}
	first := run()
	for range 5 {
		assert.Assert(t, slices.Equal(first, run()))
	}
}
