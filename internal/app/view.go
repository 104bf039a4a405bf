package app

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// agentConfig is an agent's part of the configuration, for many goroutines.
type agentConfig struct {
	endpoint domain.EndpointID

	mu    sync.Mutex
	state declaration.AgentState
}

// errNotDeclared says that a configuration does not hold the agent's endpoint.
var errNotDeclared = errors.New("endpoint is not declared")

// apply adds a delta. It reports false for one that is old or starts too late.
func (v *agentConfig) apply(docs *pb.Documents) (agent.EndpointConfig, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state.Endpoint = v.endpoint
	taken, err := v.state.Take(docs)
	if err == nil && !v.state.Known {
		err = errNotDeclared
	}
	if err != nil || !taken {
		return agent.EndpointConfig{}, false, err
	}
	view := v.state.View
	config := agent.EndpointConfig{
		Revision: v.state.Revision,
		Endpoint: view.Endpoint,
		Kind:     view.Kind,
		Changed:  view.Changed,
	}
	return config, true, nil
}

// revisionInForce returns the revision in force, zero before the first.
func (v *agentConfig) revisionInForce() domain.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Revision
}

// mergeDocuments puts newer documents in the place of older ones of the same kind and name.
func mergeDocuments(old, newer []*pb.Document) []*pb.Document {
	merged := make([]*pb.Document, 0, len(old)+len(newer))
	for _, doc := range old {
		if !containsDocument(newer, doc) {
			merged = append(merged, doc)
		}
	}
	return append(merged, newer...)
}

func containsDocument(docs []*pb.Document, wanted *pb.Document) bool {
	for _, doc := range docs {
		if doc.GetKind() == wanted.GetKind() && doc.GetName() == wanted.GetName() {
			return true
		}
	}
	return false
}
