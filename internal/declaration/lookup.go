package declaration

import (
	"crypto/subtle"
	"maps"
	"slices"
	"strings"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Revision returns the revision of the set.
func (s *Set) Revision() domain.Revision { return s.revision }

// Account returns an account with its effective limits.
func (s *Set) Account(id domain.AccountID) (domain.Account, bool) {
	spec, ok := s.accounts.get(id)
	if !ok {
		return domain.Account{}, false
	}
	template, ok := s.templates[spec.template]
	if !ok {
		return domain.Account{}, false
	}
	return domain.Account{
		ID:           id,
		Template:     spec.template,
		DefaultClass: spec.defaultClass,
		Limits:       resolveLimits(template, spec),
	}, true
}

// AccountByKey returns the account with the given key hash.
func (s *Set) AccountByKey(hash domain.KeyHash) (domain.AccountID, bool) {
	return s.keys.get(keyHashString(hash[:]))
}

// Class returns a class of an account's template with the account's parameters
// filled in.
func (s *Set) Class(account domain.AccountID, class domain.ClassName) (domain.Class, bool) {
	spec, ok := s.accounts.get(account)
	if !ok {
		return domain.Class{}, false
	}
	template, ok := s.templates[spec.template]
	if !ok {
		return domain.Class{}, false
	}
	unresolved := template.class(class)
	if unresolved == nil {
		return domain.Class{}, false
	}
	return resolveClass(unresolved, template, spec), true
}

// Service returns a service.
func (s *Set) Service(name domain.ServiceName) (domain.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// ServiceOf returns the service that offers a model.
func (s *Set) ServiceOf(model domain.ModelName) (domain.ServiceName, bool) {
	name, ok := s.indexes.serviceOf[model]
	return name, ok
}

// Models lists the models of all services, sorted. The slice must not be modified.
func (s *Set) Models() []domain.ModelName { return s.indexes.models }

// Endpoint returns an endpoint.
func (s *Set) Endpoint(id domain.EndpointID) (domain.Endpoint, bool) {
	endpoint, ok := s.endpoints[id]
	return endpoint, ok
}

// Endpoints lists a service's endpoints, sorted by name. The slice must not be
// modified.
func (s *Set) Endpoints(service domain.ServiceName) []domain.Endpoint {
	return s.indexes.endpoints[service]
}

// AllEndpoints lists the endpoints of all services, sorted by name.
func (s *Set) AllEndpoints() []domain.Endpoint {
	all := make([]domain.Endpoint, 0, len(s.endpoints))
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		all = append(all, s.endpoints[id])
	}
	return all
}

// Entries lists the declared entries, sorted. The slice must not be modified.
func (s *Set) Entries() []domain.EntryID { return s.indexes.entries }

// Peer returns a declared entry and its address.
func (s *Set) Peer(id domain.EntryID) (Peer, bool) {
	peer, ok := s.entries[id]
	return peer, ok
}

// Peers lists the declared entries and their addresses, sorted by name.
func (s *Set) Peers() []Peer {
	peers := make([]Peer, 0, len(s.entries))
	for _, id := range s.indexes.entries {
		peers = append(peers, s.entries[id])
	}
	return peers
}

// Operator returns the operator with the given token hash. It compares all hashes
// in constant time, so that its duration does not reveal how much of one matched.
func (s *Set) Operator(hash domain.KeyHash) (string, bool) {
	found := ""
	for _, name := range slices.Sorted(maps.Keys(s.operators)) {
		tokenHash := s.operators[name]
		if subtle.ConstantTimeCompare(tokenHash[:], hash[:]) == 1 {
			found = name
		}
	}
	return found, found != ""
}

// AccountCount returns the number of client accounts.
func (s *Set) AccountCount() int { return s.accounts.size() }

// Document returns a document. It must not be modified.
func (s *Set) Document(key Key) (*pb.Document, bool) { return s.documents.get(key) }

// Documents lists all documents, sorted by key. They must not be modified.
func (s *Set) Documents() []*pb.Document {
	all := make([]*pb.Document, 0, s.documents.size())
	for _, shard := range &s.documents.maps {
		for _, doc := range shard {
			all = append(all, doc)
		}
	}
	slices.SortFunc(all, compareDocuments)
	return all
}

func compareDocuments(a, b *pb.Document) int {
	if c := strings.Compare(a.GetKind(), b.GetKind()); c != 0 {
		return c
	}
	return strings.Compare(a.GetName(), b.GetName())
}

// OperatorCount returns the number of operators.
func (s *Set) OperatorCount() int { return len(s.operators) }
