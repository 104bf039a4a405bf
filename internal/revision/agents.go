package revision

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// agent is the state of an endpoint's agent as known to this entry.
type agent struct {
	id       domain.EndpointID
	up       bool            // connected
	revision domain.Revision // revision that the agent reported last
}

func (c *Core) handleAgentUp(in AgentUp) {
	a, ok := c.agents.get(in.Agent)
	if !ok {
		a = &agent{id: in.Agent}
		c.agents.set(in.Agent, a)
	}
	a.up = true
	a.revision = in.Revision
	c.sendDocumentsToAgent(a, in.Revision)
}

func (c *Core) handleAgentDown(id domain.EndpointID) {
	if a, ok := c.agents.get(id); ok {
		a.up = false
		c.removeUndeclared()
	}
}

func (c *Core) handleAgentMessage(in AgentMessage) {
	a, ok := c.agents.get(in.Agent)
	if !ok {
		return
	}
	switch m := in.Message.GetKind().(type) {
	case *pb.ToEntry_Heartbeat:
		a.revision = domain.Revision(m.Heartbeat.GetRevision())
	case *pb.ToEntry_DocumentsRequest:
		a.revision = domain.Revision(m.DocumentsRequest.GetAfter())
		c.sendDocumentsToAgent(a, a.revision)
	case *pb.ToEntry_OperateReply:
		c.handleOperateReply(a.id, m.OperateReply)
	}
}

// sendDocumentsToAgent brings an agent from a revision to the one in force. The
// message holds the agent's endpoint and service documents if either has changed
// since, else none. If the endpoint is not declared, the message holds the removal
// of the endpoint document. If only the service is not declared, it holds the
// endpoint document.
func (c *Core) sendDocumentsToAgent(a *agent, after domain.Revision) {
	if after >= c.set.Revision() {
		return
	}
	documents := &pb.Documents{
		After:     uint64(after),
		Through:   uint64(c.set.Revision()),
		Documents: c.set.AgentDocuments(a.id, after),
	}
	c.sendAgent(a.id, &pb.ToAgent{Kind: &pb.ToAgent_Documents{Documents: documents}})
}

// pushToAgents brings all connected agents to the revision in force.
func (c *Core) pushToAgents() {
	for _, a := range c.agents.all() {
		if a.up {
			c.sendDocumentsToAgent(a, a.revision)
		}
	}
}

func (c *Core) sendAgent(to domain.EndpointID, message *pb.ToAgent) {
	c.emit(SendAgent{Agent: to, Message: message})
}
