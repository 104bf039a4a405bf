package app

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// agentConfig holds an agent's part of the configuration: its endpoint and that
// endpoint's service. It is safe for concurrent use.
type agentConfig struct {
	endpoint domain.EndpointID

	mu    sync.Mutex
	state declaration.AgentState
}

// errNotDeclared means that the configuration does not declare the agent's endpoint.
var errNotDeclared = errors.New("endpoint is not declared")

// apply applies documents from an entry and returns the resulting input for the
// core. It returns false if the documents are not newer than the revision in
// force, or are a delta from another revision.
func (c *agentConfig) apply(docs *pb.Documents) (agent.EndpointConfig, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Endpoint = c.endpoint
	applied, err := c.state.Apply(docs)
	if err == nil && !c.state.HasView {
		err = errNotDeclared
	}
	if err != nil || !applied {
		return agent.EndpointConfig{}, false, err
	}
	view := c.state.View
	config := agent.EndpointConfig{
		Revision: c.state.Revision,
		Endpoint: view.Endpoint,
		Kind:     view.Kind,
		Changed:  view.Changed,
	}
	return config, true, nil
}

// revisionInForce returns the configuration's revision, zero before the first.
func (c *agentConfig) revisionInForce() domain.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Revision
}
