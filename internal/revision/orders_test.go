package revision_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

func TestOrderSurvivesEntryRestart(t *testing.T) {
	c := newCluster(t)
	c.store.mode = storeDown
	c.operate("entry-1", "drain-1", "desk-01", domain.EndpointDraining)
	c.advance(tick)
	c.start("entry-1")
	c.advance(time.Second)
	c.checkConvergence(t)
	_, recorded := c.store.rows[table.Changes]["drain-1"]
	assert.Assert(t, recorded, "no peer recorded the order")
}

func TestOrderIsRetriedUntilAgentReplies(t *testing.T) {
	c := newCluster(t)
	c.store.mode = storeDown
	c.agents["desk-01"].unreachable = true
	id := c.operate("entry-1", "drain-1", "desk-01", domain.EndpointDraining)
	c.advance(4 * time.Second)
	assert.Equal(t, c.orders[id].Status, revision.OperateStatus(0), "result before the agent was reached")
	c.agents["desk-01"].unreachable = false
	c.advance(1100 * time.Millisecond)
	assert.Equal(t, c.agents["desk-01"].desired, domain.EndpointDraining)
	assert.Equal(t, c.orders[id].Status, revision.OperateInForce)
}

func TestRecordingOlderOrderKeepsNewerOne(t *testing.T) {
	c := newCluster(t)
	c.withoutStore = "entry-1"
	c.partitioned[entryPair("entry-1", "entry-2")] = true
	c.partitioned[entryPair("entry-1", "entry-3")] = true
	c.operate("entry-1", "drain-1", "desk-01", domain.EndpointDraining)
	c.advance(20 * time.Second)
	assert.Equal(t, c.agents["desk-01"].desired, domain.EndpointDraining)
	c.operate("entry-2", "undrain-1", "desk-01", domain.EndpointServing)
	c.advance(20 * time.Second)
	c.withoutStore = ""
	c.checkConvergence(t)
	assert.Equal(t, c.store.rows[table.Head]["head"].Version, uint64(3), "wrong number of recorded changes")
	assert.DeepEqual(t, c.agents["desk-01"].stateHistory, []domain.DesiredState{
		domain.EndpointServing, domain.EndpointDraining, domain.EndpointServing,
	})
}

func TestSendingOlderOrderKeepsNewerOne(t *testing.T) {
	for _, reconnectEntries := range []bool{false, true} {
		c := newCluster(t)
		agent := c.agents["desk-01"]
		c.withoutStore = "entry-1"
		c.partitioned[entryPair("entry-1", "entry-2")] = true
		c.partitioned[entryPair("entry-1", "entry-3")] = true
		agent.unreachable = true
		late := c.operate("entry-1", "drain-1", "desk-01", domain.EndpointDraining)
		c.advance(3500 * time.Millisecond) // between two attempts to send the order
		c.operate("entry-2", "undrain-1", "desk-01", domain.EndpointServing)
		c.input("entry-2", revision.AgentDown{Agent: "desk-01"})
		if reconnectEntries {
			c.advance(250 * time.Millisecond)
			c.reconnect()
			c.advance(2 * time.Second)
		}
		agent.unreachable = false
		c.input("entry-2", revision.AgentUp{Agent: "desk-01", Revision: 1})
		c.advance(12 * time.Second)
		assert.Equal(t, agent.desired, domain.EndpointServing)
		assert.Equal(t, c.orders[late].Status, revision.OperateSuperseded)
		c.withoutStore = ""
		c.checkConvergence(t)
		assert.Equal(t, agent.desired, domain.EndpointServing)
	}
}

func TestOnlyLatestUnsentOrderIsSent(t *testing.T) {
	c := newCluster(t)
	c.store.mode = storeDown
	c.agents["desk-01"].unreachable = true
	c.operate("entry-1", "drain-1", "desk-01", domain.EndpointDraining)
	c.operate("entry-1", "undrain-1", "desk-01", domain.EndpointServing)
	c.advance(3500 * time.Millisecond) // between two attempts to send the order
	c.agents["desk-01"].unreachable = false
	c.advance(3 * time.Second)
	assert.DeepEqual(t, c.agents["desk-01"].stateHistory, []domain.DesiredState{domain.EndpointServing})
	c.checkConvergence(t)
}

func TestRepeatedOrderKeepsLaterOrder(t *testing.T) {
	c := newCluster(t)
	c.operate("entry-1", "drain-1", "desk-01", domain.EndpointDraining)
	c.advance(5 * time.Second)
	c.operate("entry-1", "undrain-1", "desk-01", domain.EndpointServing)
	c.advance(5 * time.Second)
	c.agents["desk-01"].appliedOrders = make(map[string]bool) // a new incarnation of the agent
	again := c.operate("entry-2", "drain-1", "desk-01", domain.EndpointDraining)
	c.advance(5 * time.Second)
	assert.Equal(t, c.orders[again].Status, revision.OperateRepeated)
	assert.Equal(t, c.agents["desk-01"].desired, domain.EndpointServing)
	c.checkConvergence(t)
}

func TestOrdersDuringStoreOutage(t *testing.T) {
	c := newCluster(t)
	c.store.mode = storeDown
	first := c.operate("entry-1", "drain-1", "desk-01", domain.EndpointDraining)
	c.advance(tick)
	assert.Equal(t, c.agents["desk-01"].desired, domain.EndpointDraining)
	c.advance(3 * time.Second)
	assert.Equal(t, c.orders[first].Status, revision.OperateInForce)
	assert.Assert(t, !c.orders[first].Recorded)
	c.operate("entry-1", "undrain-1", "desk-01", domain.EndpointServing)
	c.operate("entry-1", "drain-2", "desk-02", domain.EndpointDraining)
	c.advance(30 * time.Second)
	c.checkConvergence(t)
	var operations []string
	for _, row := range c.store.scan(table.Scan{Table: table.Audit}) {
		var record revision.AuditRecord
		assert.NilError(t, json.Unmarshal(row.Value, &record))
		operations = append(operations, record.Operation)
	}
	assert.DeepEqual(t, operations, []string{"apply", "drain desk-01", "undrain desk-01", "drain desk-02"})
	assert.DeepEqual(t, c.agents["desk-01"].stateHistory, []domain.DesiredState{
		domain.EndpointServing, domain.EndpointDraining, domain.EndpointServing,
	})
	assert.Equal(t, c.agents["desk-02"].desired, domain.EndpointDraining)
}
