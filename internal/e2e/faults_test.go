package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/service"
)

// TestAgentKilledMidAnswer kills an agent while answers flow. Each goes on
// elsewhere from where it stopped.
func TestAgentKilledMidAnswer(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("kill", 40)
	c.await("answers in progress", func() bool { return c.running() >= 20 })
	c.agents[0].kill()
	c.checkComplete(wait())
	c.agents[0].start()
	c.checkComplete(c.askMany("after the kill", 10))
}

// TestEngineKilledMidAnswer kills a model engine while answers flow.
func TestEngineKilledMidAnswer(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("engine", 40)
	c.await("answers in progress", func() bool { return c.running() >= 20 })
	c.engines[1].kill()
	c.checkComplete(wait())
}

// TestAgentFrozenMidAnswer stops an agent's process and lets it go on when its
// grants and links have lapsed. It starts nothing of what was taken from it.
func TestAgentFrozenMidAnswer(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("freeze", 40)
	c.await("answers in progress", func() bool { return c.running() >= 20 })
	c.agents[0].signal(syscall.SIGSTOP)
	c.checkComplete(wait())
	c.agents[0].signal(syscall.SIGCONT)
	c.checkComplete(c.askMany("after the freeze", 30))
}

// TestOrdersWithFrozenAgents places orders while the agents of the service are
// frozen in turn. None runs twice, and none that was told not-run ran.
func TestOrdersWithFrozenAgents(t *testing.T) {
	c := newCluster(t)
	const orders = 40
	results := make([]order, orders)
	var wg sync.WaitGroup
	for i := range orders {
		wg.Go(func() {
			key := ""
			if i%2 == 0 {
				key = fmt.Sprintf("key-%d", i)
			}
			results[i] = c.issue(i%entryCount, fmt.Sprintf("order-%d", i), key)
		})
		if i == orders/4 {
			c.agents[modelCount].signal(syscall.SIGSTOP)
		}
		if i == orders/2 {
			c.agents[modelCount+1].kill()
			c.agents[modelCount+1].start()
		}
	}
	c.await("orders at the other agent", func() bool { return c.executions("order-0") >= 0 })
	c.agents[modelCount].signal(syscall.SIGCONT)
	wg.Wait()
	for i, r := range results {
		c.checkOrder(fmt.Sprintf("order-%d", i), r)
	}
}

// checkOrder checks what a caller was told against the executions counted.
func (c *cluster) checkOrder(name string, r order) {
	c.t.Helper()
	n := c.executions(name)
	assert.Check(c.t, r.err == nil, "%s: %v", name, r.err)
	switch r.outcome {
	case "complete":
		assert.Check(c.t, n == 1, "%s complete, ran %d times", name, n)
	case "not-run":
		assert.Check(c.t, n == 0, "%s told not-run, ran %d times: %s", name, n, r.body)
	case "unknown", "partial":
		assert.Check(c.t, n <= 1, "%s %s, ran %d times", name, r.outcome, n)
	default:
		assert.Check(c.t, false, "%s: outcome %q", name, r.outcome)
	}
}

// TestKeyedOrderThroughEntryCrash repeats an order through another entry after
// the first entry was killed while the order ran.
func TestKeyedOrderThroughEntryCrash(t *testing.T) {
	c := newCluster(t)
	first := make(chan order, 1)
	go func() { first <- c.issue(0, "crash-order", "crash-key") }()
	c.await("the order to run", func() bool { return c.claimed() })
	c.entries[0].kill()
	<-first
	again := c.issue(1, "crash-order", "crash-key")
	c.await("the order's end", func() bool { return c.executions("crash-order") <= 1 })
	assert.NilError(t, again.err)
	assert.Assert(t, again.outcome != "not-run" || c.executions("crash-order") == 0, "told %s", again.outcome)
	assert.Assert(t, c.executions("crash-order") <= 1)
}

// claimed reports whether the table service has taken a write for a call.
func (c *cluster) claimed() bool { return c.writes() > c.startWrites }

// writes is the number of rows that the table service has written.
func (c *cluster) writes() uint64 {
	type counters struct {
		Writes uint64 `json:"writes"`
	}
	return get[counters](c.t, c.store, "/counters").Writes
}

// TestStoreOutage takes the table service away. Model calls and calls without a
// key go on; a keyed one is told not-run, and works again afterwards.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t)
	c.platform.signal(syscall.SIGSTOP)
	c.checkComplete(c.askMany("outage", 30))
	unkeyed := c.issue(0, "outage-unkeyed", "")
	assert.Equal(t, unkeyed.outcome, "complete", unkeyed.body)
	keyed := c.issue(0, "outage-keyed", "outage-key")
	assert.Equal(t, keyed.outcome, "not-run", keyed.body)
	assert.Equal(t, c.executions("outage-keyed"), 0)
	c.platform.signal(syscall.SIGCONT)
	c.await("keyed orders to work again", func() bool {
		r := c.issue(1, "outage-keyed", "outage-key")
		return r.outcome == "complete"
	})
	assert.Equal(t, c.executions("outage-keyed"), 1)
}

// TestSilentLinks makes the connections to two agents silent while answers flow. New ones work.
func TestSilentLinks(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("silent", 40)
	c.await("answers in progress", func() bool { return c.running() >= 20 })
	c.relays[0].Silence()
	c.relays[1].Silence()
	c.checkComplete(wait())
	c.checkComplete(c.askMany("after the silence", 20))
}

// TestSilentLinkDuringOrder makes the connections to the ticket agents silent
// while an order runs. The order's answer arrives over a new connection.
func TestSilentLinkDuringOrder(t *testing.T) {
	c := newCluster(t)
	var wg sync.WaitGroup
	results := make([]order, 10)
	for i := range results {
		wg.Go(func() { results[i] = c.issue(i%entryCount, fmt.Sprintf("silent-%d", i), "") })
	}
	c.relays[modelCount].Silence()
	c.relays[modelCount+1].Silence()
	wg.Wait()
	for i, r := range results {
		c.checkOrder(fmt.Sprintf("silent-%d", i), r)
		assert.Check(t, r.outcome == "complete" || r.outcome == "not-run", "order %d: %s: %s", i, r.outcome, r.body)
	}
}

// TestDrainWithStoreDown drains an endpoint while the table service is down.
// It is in effect when the operator is told so, and recorded later.
func TestDrainWithStoreDown(t *testing.T) {
	c := newCluster(t)
	c.platform.signal(syscall.SIGSTOP)
	path := strings.NewReplacer("{endpoint}", endpointName(modelCount), "{order}", "drain").Replace(operatorapi.PathOrder)
	reply, err := operate[operatorapi.OrderReply](c, 0, http.MethodPost, path, operatorapi.OrderRequest{Change: "drain-1"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, "in-force")
	before := get[service.Counters](t, c.serviceAt[0], "/counters").Executions
	for i := range 20 {
		r := c.issue(i%entryCount, fmt.Sprintf("drained-%d", i), "")
		assert.Check(t, r.outcome == "complete", "%s: %s", r.outcome, r.body)
	}
	assert.Equal(t, get[service.Counters](t, c.serviceAt[0], "/counters").Executions, before)
	c.platform.signal(syscall.SIGCONT)
	var audit operatorapi.AuditReply
	defer func() {
		if t.Failed() {
			t.Logf("last read of the audit trail: %+v, %v", audit, err)
		}
	}()
	c.await("the drain in the audit trail", func() bool {
		audit, err = operate[operatorapi.AuditReply](c, 1, http.MethodGet, operatorapi.PathAudit, nil)
		if err != nil {
			return false
		}
		n := 0
		for _, record := range audit.Records {
			if record.Change == domain.ChangeID("drain-1") {
				n++
			}
		}
		return n == 1
	})
}

// TestRacingOperators has two operators change the same revision through
// different entries. One wins, and the other is told who did.
func TestRacingOperators(t *testing.T) {
	c := newCluster(t)
	account := func(burst string) []operatorapi.Document {
		return []operatorapi.Document{{Kind: "account", Name: "kiosk", Body: []byte(fmt.Sprintf(
			`{"template":"all","default-class":"enquiry","limits":{"burst":%q},"key-hashes":[%q]}`, burst, callerKeyHash()))}}
	}
	replies := make([]operatorapi.ApplyReply, entryCount)
	var wg sync.WaitGroup
	for i, burst := range []string{"100", "200"} {
		wg.Go(func() {
			replies[i], _ = operate[operatorapi.ApplyReply](c, i, http.MethodPost, operatorapi.PathApply,
				operatorapi.ApplyRequest{Change: domain.ChangeID("burst-" + burst), Base: 1, Documents: account(burst)})
		})
	}
	wg.Wait()
	won, lost := replies[0], replies[1]
	if won.Status != "accepted" {
		won, lost = lost, won
	}
	assert.Equal(t, won.Status, "accepted", "%+v", replies)
	assert.Equal(t, lost.Status, "conflict", "%+v", replies)
	assert.Equal(t, lost.Winner.Who, "alma")
	assert.Equal(t, lost.Winner.Revision, won.Revision)
	c.awaitRevision(won.Revision)
}
