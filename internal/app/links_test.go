package app

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// declareEntriesAndEndpoints declares n endpoints of one model and n entries in
// three data centres.
func declareEntriesAndEndpoints(t *testing.T, n int, revision domain.Revision) *declaration.Set {
	t.Helper()
	text := func(s string) declaration.Scalar { return declaration.Scalar{Text: s} }
	models := []declaration.Scalar{text("m")}
	var docs []*pb.Document
	add := func(kind declaration.Kind, name string, body declaration.Body) {
		doc, err := declaration.EncodeDocument(declaration.KeyOf(kind, name), body)
		assert.NilError(t, err)
		docs = append(docs, doc)
	}
	add(declaration.KindService, "desk", &declaration.Service{Type: text("model"), Models: models})
	for i := range n {
		add(declaration.KindEndpoint, fmt.Sprintf("desk-%03d", i), &declaration.Endpoint{
			Service: text("desk"), DataCentre: text(fmt.Sprint("dc", i%3)), Desired: text("serving"), Models: models,
			AgentAddress: text(fmt.Sprintf("127.0.1.%d:7000", i+1)), ChecksFencing: text("true"),
		})
		add(declaration.KindEntry, fmt.Sprintf("entry-%03d", i), &declaration.Entry{
			DataCentre: text(fmt.Sprint("dc", i%3)), PeerAddress: text(fmt.Sprintf("127.0.2.%d:7000", i+1)),
		})
	}
	set, err := declaration.Empty().With(revision, docs)
	assert.NilError(t, err)
	return set
}

func TestRetiredAgentsStayLinkedWhileBusy(t *testing.T) {
	var linked []domain.EndpointID
	s := newAgentSubset(EntrySettings{Name: "entry-000", DataCentre: "dc0"}, func(targets []wire.AgentTarget) {
		linked = nil
		for _, target := range targets {
			linked = append(linked, target.ID)
		}
	})
	s.install(declareEntriesAndEndpoints(t, 12, 1))
	assert.Equal(t, len(linked), 12) // a small deployment: the subset is all agents
	s.install(declareEntriesAndEndpoints(t, 90, 2))
	former := s.retiredAgents()
	assert.Assert(t, len(former) > 0)
	for _, id := range former {
		assert.Assert(t, slices.Contains(linked, id), id)
	}
	s.unlinkIdle(map[domain.EndpointID]bool{former[0]: true})
	assert.DeepEqual(t, s.retiredAgents(), former[:1])
	assert.Assert(t, slices.Contains(linked, former[0]))
	s.unlinkIdle(nil)
	assert.Assert(t, !slices.Contains(linked, former[0]))
	// At least policy.AgentsPerGroup of the one group, and far fewer than all 90.
	assert.Assert(t, len(linked) >= 4 && len(linked) < 30)

	s.keepForOrder(former[0])
	assert.Assert(t, slices.Contains(linked, former[0]))
	for i := range maxRecentOrders {
		s.keepForOrder(domain.EndpointID(fmt.Sprintf("desk-%03d", 60+i)))
	}
	s.unlinkIdle(nil)
	assert.Assert(t, !slices.Contains(linked, former[0]))
}
