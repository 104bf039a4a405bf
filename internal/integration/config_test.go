package integration

import (
	"fmt"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	modelService domain.ServiceName = "desk"
	plainService domain.ServiceName = "tickets"
	model        domain.ModelName   = "desk-1"
	modelAgents                     = 3
	plainAgents                     = 2
	entries                         = 2
)

// fixedConfig is an immutable configuration of one model service and one plain
// service, their endpoints, and accounts a and b. It implements the cores'
// configuration interface.
type fixedConfig struct {
	revision    domain.Revision
	endpoints   []domain.Endpoint
	lastChanged []domain.Revision // by endpoint: the revision that last changed it
}

func newConfig() *fixedConfig {
	c := &fixedConfig{revision: 1}
	for i := range modelAgents + plainAgents {
		ep := domain.Endpoint{
			ID:         domain.EndpointID(fmt.Sprintf("ep-%d", i)),
			Service:    plainService,
			DataCentre: "dc-1",
			Desired:    domain.EndpointServing,
		}
		if i < modelAgents {
			ep.Service = modelService
			ep.Models = []domain.ModelName{model}
		}
		c.endpoints = append(c.endpoints, ep)
		c.lastChanged = append(c.lastChanged, c.revision)
	}
	return c
}

// withDesired returns the next revision, in which endpoint i has the desired state.
func (c *fixedConfig) withDesired(i int, desired domain.DesiredState) *fixedConfig {
	next := &fixedConfig{revision: c.revision + 1}
	next.endpoints = append(next.endpoints, c.endpoints...)
	next.endpoints[i].Desired = desired
	next.lastChanged = append(next.lastChanged, c.lastChanged...)
	next.lastChanged[i] = next.revision
	return next
}

func (c *fixedConfig) kind(i int) domain.ServiceKind {
	if c.endpoints[i].Service == modelService {
		return domain.ServiceModel
	}
	return domain.ServicePlain
}

var classes = []domain.Class{
	{Name: "kiosk", Service: modelService, Tier: 0, FirstToken: time.Second, MaxWait: 5 * time.Second, Idempotent: true,
		Retry: domain.RetryPolicy{Attempts: 3, BudgetRatio: 1}},
	{Name: "draft", Service: modelService, Tier: 3, FirstToken: 5 * time.Second, MaxWait: 10 * time.Second, Idempotent: true,
		Preemptible: true, Retry: domain.RetryPolicy{Attempts: 3, BudgetRatio: 1}},
	// The retry policy of a non-idempotent class must not cause a second execution.
	{Name: "issue", Service: plainService, Tier: 1, FirstToken: 2 * time.Second, MaxWait: 5 * time.Second,
		Retry: domain.RetryPolicy{Attempts: 3, BudgetRatio: 1}},
	{Name: "lookup", Service: plainService, Tier: 2, FirstToken: 2 * time.Second, MaxWait: 5 * time.Second, Idempotent: true,
		Retry: domain.RetryPolicy{Attempts: 2, BudgetRatio: 1}},
}

func classByName(name domain.ClassName) domain.Class {
	for _, c := range classes {
		if c.Name == name {
			return c
		}
	}
	panic("no class " + name)
}

func (c *fixedConfig) Revision() domain.Revision { return c.revision }

func (c *fixedConfig) Account(id domain.AccountID) (domain.Account, bool) {
	return domain.Account{ID: id, Template: "t", DefaultClass: "draft"}, id == "a" || id == "b"
}

func (c *fixedConfig) AccountByKey(domain.KeyHash) (domain.AccountID, bool) { return "", false }

func (c *fixedConfig) Class(_ domain.AccountID, name domain.ClassName) (domain.Class, bool) {
	for _, class := range classes {
		if class.Name == name {
			return class, true
		}
	}
	return domain.Class{}, false
}

func (c *fixedConfig) Service(name domain.ServiceName) (domain.Service, bool) {
	switch name {
	case modelService:
		return domain.Service{Name: name, Kind: domain.ServiceModel, Models: []domain.ModelName{model}}, true
	case plainService:
		return domain.Service{Name: name, Kind: domain.ServicePlain}, true
	}
	return domain.Service{}, false
}

func (c *fixedConfig) ServiceOf(m domain.ModelName) (domain.ServiceName, bool) {
	return modelService, m == model
}

func (c *fixedConfig) Models() []domain.ModelName { return []domain.ModelName{model} }

func (c *fixedConfig) Endpoint(id domain.EndpointID) (domain.Endpoint, bool) {
	for _, ep := range c.endpoints {
		if ep.ID == id {
			return ep, true
		}
	}
	return domain.Endpoint{}, false
}

func (c *fixedConfig) Endpoints(service domain.ServiceName) []domain.Endpoint {
	var out []domain.Endpoint
	for _, ep := range c.endpoints {
		if ep.Service == service {
			out = append(out, ep)
		}
	}
	return out
}

func (c *fixedConfig) Entries() []domain.EntryID { return []domain.EntryID{"entry-0", "entry-1"} }
