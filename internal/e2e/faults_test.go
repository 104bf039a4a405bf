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

// TestAgentKilledMidAnswer guards against truncated or repeated tokens after an
// agent is killed: each of its answers must resume at another agent.
func TestAgentKilledMidAnswer(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("kill", 40)
	c.await("half of the answers to be in progress", func() bool { return c.runningAnswers() >= 20 })
	c.agents[0].kill()
	c.checkComplete(wait())
	c.agents[0].start()
	c.checkComplete(c.askMany("after the kill", 10))
}

// TestEngineKilledMidAnswer guards against incomplete answers after a model engine
// is killed while it generates.
func TestEngineKilledMidAnswer(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("engine", 40)
	c.await("half of the answers to be in progress", func() bool { return c.runningAnswers() >= 20 })
	c.engines[1].kill()
	c.checkComplete(wait())
}

// TestAgentSuspendedMidAnswer guards against wrong answers around the suspension of an
// agent, which acts on outdated state after SIGCONT. Other agents must complete its
// answers while it is suspended, and answers requested after SIGCONT must be correct.
func TestAgentSuspendedMidAnswer(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("freeze", 40)
	c.await("half of the answers to be in progress", func() bool { return c.runningAnswers() >= 20 })
	c.agents[0].signal(syscall.SIGSTOP)
	c.checkComplete(wait())
	c.agents[0].signal(syscall.SIGCONT)
	c.checkComplete(c.askMany("after the freeze", 30))
}

// TestOrdersWithAgentsSuspendedAndKilled guards against non-idempotent orders that run
// twice, or run although reported as not-run, while one agent of the service is
// suspended and the other one is killed and restarted. The suspended agent is resumed
// once all orders have been started, which may be before its grants expire.
func TestOrdersWithAgentsSuspendedAndKilled(t *testing.T) {
	c := newCluster(t)
	const orders = 40
	results := make([]orderResult, orders)
	var wg sync.WaitGroup
	for i := range orders {
		wg.Go(func() {
			key := ""
			if i%2 == 0 {
				key = fmt.Sprintf("key-%d", i)
			}
			results[i] = c.placeOrder(i%entryCount, fmt.Sprintf("order-%d", i), key)
		})
		if i == orders/4 {
			c.agents[engineCount].signal(syscall.SIGSTOP)
		}
		if i == orders/2 {
			c.agents[engineCount+1].kill()
			c.agents[engineCount+1].start()
		}
	}
	// The condition is always true: this checks only that the services respond.
	c.await("counters of the ticket services", func() bool { return c.executions("order-0") >= 0 })
	c.agents[engineCount].signal(syscall.SIGCONT)
	wg.Wait()
	for i, r := range results {
		c.checkOrder(fmt.Sprintf("order-%d", i), r)
	}
}

// checkOrder checks the reported outcome of an order against its executions.
func (c *cluster) checkOrder(name string, r orderResult) {
	c.t.Helper()
	n := c.executions(name)
	assert.Check(c.t, r.err == nil, "%s: %v", name, r.err)
	switch r.outcome {
	case "complete":
		assert.Check(c.t, n == 1, "%s complete, ran %d times", name, n)
	case "not-run":
		assert.Check(c.t, n == 0, "%s not-run, ran %d times: %s", name, n, r.body)
	case "unknown", "partial":
		assert.Check(c.t, n <= 1, "%s %s, ran %d times", name, r.outcome, n)
	default:
		assert.Check(c.t, false, "%s: outcome %q", name, r.outcome)
	}
}

// TestKeyedOrderRepeatedAfterEntryCrash guards against a second execution of a
// keyed order that a caller repeats through another entry, after the first entry
// was killed once the order's claim was written. It counts the executions as soon as
// the repeated call has ended.
func TestKeyedOrderRepeatedAfterEntryCrash(t *testing.T) {
	c := newCluster(t)
	first := make(chan orderResult, 1)
	go func() { first <- c.placeOrder(0, "crash-order", "crash-key") }()
	c.await("the order's claim", func() bool { return c.claimWritten() })
	c.entries[0].kill()
	<-first
	repeated := c.placeOrder(1, "crash-order", "crash-key")
	c.await("at most one execution", func() bool { return c.executions("crash-order") <= 1 })
	assert.NilError(t, repeated.err)
	assert.Assert(t, repeated.outcome != "not-run" || c.executions("crash-order") == 0, "outcome %s", repeated.outcome)
	assert.Assert(t, c.executions("crash-order") <= 1)
}

// claimWritten reports whether any row has been written to the store since newCluster
// returned. It is for tests in which only claims are written.
func (c *cluster) claimWritten() bool { return c.storeWrites() > c.initialWrites }

// storeWrites returns the number of rows that the table service has written.
func (c *cluster) storeWrites() uint64 {
	type counters struct {
		Writes uint64 `json:"writes"`
	}
	return getJSON[counters](c.t, c.storeAddress, "/counters").Writes
}

// TestStoreOutage guards against calls that depend on the store without need:
// while it is suspended, model calls and calls without a key must complete, and
// keyed calls end not-run. Keyed calls must work again after the outage.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t)
	c.tableService.signal(syscall.SIGSTOP)
	c.checkComplete(c.askMany("outage", 30))
	unkeyed := c.placeOrder(0, "outage-unkeyed", "")
	assert.Equal(t, unkeyed.outcome, "complete", unkeyed.body)
	keyed := c.placeOrder(0, "outage-keyed", "outage-key")
	assert.Equal(t, keyed.outcome, "not-run", keyed.body)
	assert.Equal(t, c.executions("outage-keyed"), 0)
	c.tableService.signal(syscall.SIGCONT)
	c.await("keyed orders to complete", func() bool {
		r := c.placeOrder(1, "outage-keyed", "outage-key")
		return r.outcome == "complete"
	})
	assert.Equal(t, c.executions("outage-keyed"), 1)
}

// TestSilentLinks guards against answers that hang on a connection that is open
// but delivers nothing: the relays of two agents stop forwarding on existing
// connections, while new ones work.
func TestSilentLinks(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("silent", 40)
	c.await("half of the answers to be in progress", func() bool { return c.runningAnswers() >= 20 })
	c.relays[0].DropBoth()
	c.relays[1].DropBoth()
	c.checkComplete(wait())
	c.checkComplete(c.askMany("after the silence", 20))
}

// TestSilentLinkDuringOrder guards against lost answers of non-idempotent orders: the
// open connections to both ticket agents stop delivering at about the time at which
// the orders are placed, while new connections work. Each order must end complete, or
// not-run if it was not executed.
func TestSilentLinkDuringOrder(t *testing.T) {
	c := newCluster(t)
	var wg sync.WaitGroup
	results := make([]orderResult, 10)
	for i := range results {
		wg.Go(func() { results[i] = c.placeOrder(i%entryCount, fmt.Sprintf("silent-%d", i), "") })
	}
	c.relays[engineCount].DropBoth()
	c.relays[engineCount+1].DropBoth()
	wg.Wait()
	for i, r := range results {
		c.checkOrder(fmt.Sprintf("silent-%d", i), r)
		assert.Check(t, r.outcome == "complete" || r.outcome == "not-run", "order %d: %s: %s", i, r.outcome, r.body)
	}
}

// TestDrainWithStoreDown guards against drain requests that are lost or ineffective
// while the table service is suspended: the drain must be in force when the reply
// says so, and be in the audit trail once the service is back.
func TestDrainWithStoreDown(t *testing.T) {
	c := newCluster(t)
	c.tableService.signal(syscall.SIGSTOP)
	path := strings.NewReplacer("{endpoint}", endpointName(engineCount), "{order}", "drain").Replace(operatorapi.PathOrder)
	reply, err := callOperatorAPI[operatorapi.OrderReply](c, 0, http.MethodPost, path, operatorapi.OrderRequest{Change: "drain-1"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, "in-force")
	before := getJSON[service.Counters](t, c.serviceAddresses[0], "/counters").Executions
	for i := range 20 {
		r := c.placeOrder(i%entryCount, fmt.Sprintf("drained-%d", i), "")
		assert.Check(t, r.outcome == "complete", "%s: %s", r.outcome, r.body)
	}
	assert.Equal(t, getJSON[service.Counters](t, c.serviceAddresses[0], "/counters").Executions, before)
	c.tableService.signal(syscall.SIGCONT)
	var audit operatorapi.AuditReply
	defer func() {
		if t.Failed() {
			t.Logf("last read of the audit trail: %+v, %v", audit, err)
		}
	}()
	c.await("the drain in the audit trail", func() bool {
		audit, err = callOperatorAPI[operatorapi.AuditReply](c, 1, http.MethodGet, operatorapi.PathAudit, nil)
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

// TestConcurrentOperators guards against lost updates: of two changes based on the
// same revision, sent through different entries, one must be accepted, and the
// other rejected with the winner's operator and revision.
func TestConcurrentOperators(t *testing.T) {
	c := newCluster(t)
	account := func(burst string) []operatorapi.Document {
		return []operatorapi.Document{{Kind: "account", Name: "kiosk", Body: []byte(fmt.Sprintf(
			`{"template":"all","default-class":"enquiry","limits":{"burst":%q},"key-hashes":[%q]}`, burst, callerKeyHash()))}}
	}
	// Both changes have base 1, the revision of the configuration that newCluster applies.
	replies := make([]operatorapi.ApplyReply, entryCount)
	var wg sync.WaitGroup
	for i, burst := range []string{"100", "200"} {
		wg.Go(func() {
			replies[i], _ = callOperatorAPI[operatorapi.ApplyReply](c, i, http.MethodPost, operatorapi.PathApply,
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
	assert.Equal(t, lost.Winner.Operator, "alma")
	assert.Equal(t, lost.Winner.Revision, won.Revision)
	c.awaitRevision(won.Revision)
}
