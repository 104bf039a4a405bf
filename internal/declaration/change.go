package declaration

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// NormalizeChanges returns the documents in compact JSON, sorted by key, without those
// that would not change the set. It returns an error if two of the remaining documents
// have the same key, or if a document has an invalid name or unknown fields. The
// names of removals are not checked: a removal of an unknown document changes nothing.
func (s *Set) NormalizeChanges(docs []*pb.Document) ([]*pb.Document, error) {
	var changes []*pb.Document
	for _, doc := range docs {
		key := DocumentKey(doc)
		current, exists := s.Document(key)
		if len(doc.GetBody()) == 0 {
			if exists {
				changes = append(changes, &pb.Document{Kind: doc.GetKind(), Name: doc.GetName()})
			}
			continue
		}
		if !isName(doc.GetName()) {
			return nil, ValidationErrors{{Document: key, Field: "name", Value: doc.GetName(), Expected: expectedName}}
		}
		body, err := DecodeDocument(doc)
		if err != nil {
			return nil, err
		}
		encoded, err := EncodeDocument(key, body)
		if err != nil {
			return nil, err
		}
		if !exists || !bytes.Equal(current.GetBody(), encoded.GetBody()) {
			changes = append(changes, encoded)
		}
	}
	slices.SortFunc(changes, compareDocuments)
	for i := 1; i < len(changes); i++ {
		if key := DocumentKey(changes[i]); key == DocumentKey(changes[i-1]) {
			return nil, errors.Newf("document %s comes twice", key)
		}
	}
	return changes, nil
}

// ChangesTo returns the changes that make the set equal to target. Documents that
// target lacks are removed.
func (s *Set) ChangesTo(target []*pb.Document) ([]*pb.Document, error) {
	targetKeys := make(map[Key]bool, len(target))
	for _, doc := range target {
		targetKeys[DocumentKey(doc)] = true
	}
	all := slices.Clone(target)
	for _, doc := range s.Documents() {
		if !targetKeys[DocumentKey(doc)] {
			all = append(all, &pb.Document{Kind: doc.GetKind(), Name: doc.GetName()})
		}
	}
	return s.NormalizeChanges(all)
}

// ValidateChange validates next, the set that results from applying changes to old,
// and returns all validation errors as one error. If only accounts changed, it checks
// those accounts and not the rest of the set.
func ValidateChange(old, next *Set, changes []*pb.Document) error {
	checked := changes
	fullSet := slices.ContainsFunc(changes, func(doc *pb.Document) bool { return doc.GetKind() != string(KindAccount) })
	if fullSet {
		checked = next.Documents()
	}
	parsed := make([]parsedDocument, 0, len(checked))
	for _, doc := range checked {
		if len(doc.GetBody()) == 0 || newBody(Kind(doc.GetKind())) == nil {
			continue
		}
		body, err := decodeBody(doc, false)
		if err != nil {
			return err
		}
		parsed = append(parsed, parsedDocument{key: DocumentKey(doc), body: body})
	}
	errs := check(next, parsed, fullSet)
	if old.OperatorCount() > 0 && next.OperatorCount() == 0 {
		errs = append(errs, ValidationError{Document: KeyOf(KindOperator, ""), Expected: "want at least one operator, who can make the next change"})
	}
	if !fullSet {
		errs = append(errs, checkKeyHashes(old, next, parsed)...)
	}
	return errs.err()
}

// checkKeyHashes reports key hashes of changed accounts that another account or
// an operator has too.
func checkKeyHashes(old, next *Set, accounts []parsedDocument) ValidationErrors {
	c := &checker{set: next}
	for _, p := range accounts {
		c.current = p
		_, name := p.key.Split()
		for _, scalar := range p.body.(*Account).KeyHashes {
			hash, _ := ParseKeyHash(scalar.Text)
			if owner, ok := otherKeyOwner(old, next, domain.AccountID(name), hash); ok {
				c.addError(scalar, "key-hashes", "want a key of its own, and "+string(owner)+" has this one")
			}
		}
	}
	return c.errs
}

// otherKeyOwner returns a document of the set next, other than the account's, that
// has the hash. The key index names one owner for each hash: if the changed account
// replaced another owner there, the index of old still names that owner.
func otherKeyOwner(old, next *Set, account domain.AccountID, hash domain.KeyHash) (Key, bool) {
	if operator, ok := next.Operator(hash); ok {
		return KeyOf(KindOperator, operator), true
	}
	if owner, ok := next.AccountByKey(hash); ok && owner != account {
		return KeyOf(KindAccount, string(owner)), true
	}
	owner, ok := old.AccountByKey(hash)
	if !ok || owner == account {
		return "", false
	}
	key := KeyOf(KindAccount, string(owner))
	doc, ok := next.Document(key)
	if !ok {
		return "", false
	}
	body, err := decodeBody(doc, false)
	if err != nil {
		return "", false
	}
	hasHash := slices.ContainsFunc(body.(*Account).KeyHashes, func(s Scalar) bool {
		parsedHash, ok := ParseKeyHash(s.Text)
		return ok && parsedHash == hash
	})
	return key, hasHash
}

// WithDesiredState returns an endpoint's document with the given desired state. It
// edits the encoded body, which keeps fields that this release does not know.
func WithDesiredState(doc *pb.Document, desired domain.DesiredState) (*pb.Document, error) {
	endpoint, err := DecodeEndpoint(doc)
	if err != nil {
		return nil, err
	}
	field := func(state domain.DesiredState) []byte { return []byte(`"desired":"` + state.String() + `"`) }
	body := bytes.Replace(doc.GetBody(), field(endpoint.Desired), field(desired), 1)
	return &pb.Document{Kind: doc.GetKind(), Name: doc.GetName(), Body: body}, nil
}

// AgentDocuments returns the documents that bring the agent of an endpoint from
// revision after to the set's: its endpoint and service, or none if neither
// changed. If the service is not declared, it returns the endpoint alone, changed or
// not. For an endpoint that is not declared it returns a removal.
func (s *Set) AgentDocuments(id domain.EndpointID, after domain.Revision) []*pb.Document {
	doc, ok := s.Document(KeyOf(KindEndpoint, string(id)))
	if !ok {
		return []*pb.Document{{Kind: string(KindEndpoint), Name: string(id), Revision: uint64(s.revision)}}
	}
	service, ok := s.Document(KeyOf(KindService, string(s.endpoints[id].Service)))
	if !ok {
		return []*pb.Document{doc}
	}
	if doc.GetRevision() <= uint64(after) && service.GetRevision() <= uint64(after) {
		return nil
	}
	return []*pb.Document{doc, service}
}
