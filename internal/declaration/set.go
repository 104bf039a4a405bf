package declaration

import (
	"io/fs"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// keyHashString holds the 32 bytes of a key hash, as a cowMap needs a string key.
type keyHashString string

// Set is an immutable set of the documents of one revision. It implements
// domain.Config. Classes and limits are resolved on each lookup, so that accounts
// share their template. A set made by With shares unchanged data with the old one.
type Set struct {
	revision  domain.Revision
	documents cowMap[Key, *pb.Document]
	accounts  cowMap[domain.AccountID, *accountSpec]
	keys      cowMap[keyHashString, domain.AccountID]
	templates map[domain.TemplateName]*templateSpec
	services  map[domain.ServiceName]domain.Service
	endpoints map[domain.EndpointID]domain.Endpoint
	entries   map[domain.EntryID]Peer
	operators map[string]domain.KeyHash
	indexes   indexes
}

// indexes holds indexes that are computed from the services, endpoints and entries.
type indexes struct {
	models    []domain.ModelName
	serviceOf map[domain.ModelName]domain.ServiceName
	endpoints map[domain.ServiceName][]domain.Endpoint
	entries   []domain.EntryID
}

var _ domain.Config = (*Set)(nil)

// Empty returns a set of revision 0 without documents.
func Empty() *Set { return &Set{} }

// Load reads and validates the declarations of a directory. All documents of the
// set have the given revision. All validation errors are returned as one error.
func Load(fsys fs.FS, revision domain.Revision) (*Set, error) {
	docs, err := Read(fsys)
	if err != nil {
		return nil, err
	}
	for _, doc := range docs {
		doc.Revision = uint64(revision)
	}
	return Empty().With(revision, docs)
}

// Read reads and validates the declarations of a directory and returns their
// documents sorted by key. All validation errors are returned as one error.
func Read(fsys fs.FS) ([]*pb.Document, error) {
	parsed, errs, err := readDir(fsys)
	if err != nil {
		return nil, err
	}
	if len(parsed) == 0 && len(errs) == 0 {
		return nil, ValidationErrors{{File: ".", Value: "the directory", Expected: "want at least one .yaml file with a declaration"}}
	}
	parsed, duplicates := dropDuplicates(parsed)
	errs = append(errs, duplicates...)
	set, docs, err := compileParsed(parsed)
	if err != nil {
		return nil, err
	}
	errs = append(errs, check(set, parsed, true)...)
	if err := errs.err(); err != nil {
		return nil, err
	}
	slices.SortFunc(docs, compareDocuments)
	return docs, nil
}

// compileParsed encodes the documents and makes an unvalidated set of them.
func compileParsed(parsed []parsedDocument) (*Set, []*pb.Document, error) {
	docs := make([]*pb.Document, 0, len(parsed))
	for _, p := range parsed {
		doc, err := EncodeDocument(p.key, p.body)
		if err != nil {
			return nil, nil, err
		}
		docs = append(docs, doc)
	}
	set, err := Empty().With(0, docs)
	return set, docs, err
}

// With returns a set with the changes applied, without validating them. An empty
// body removes a document. The new set keeps the documents, which must not be
// modified afterwards. Documents of unknown kinds, which a later release may have
// committed, are stored but not decoded.
func (s *Set) With(revision domain.Revision, changes []*pb.Document) (*Set, error) {
	next := newBuilder(s)
	for _, doc := range changes {
		if err := next.apply(doc); err != nil {
			return nil, errors.Wrapf(err, "revision %d", revision)
		}
	}
	return next.finish(revision), nil
}

// builder applies changes to a copy of a set.
type builder struct {
	set            Set
	documents      *editor[Key, *pb.Document]
	accounts       *editor[domain.AccountID, *accountSpec]
	keys           *editor[keyHashString, domain.AccountID]
	rebuildIndexes bool // the indexes are out of date
}

func newBuilder(s *Set) *builder {
	b := &builder{
		documents: newEditor(&s.documents),
		accounts:  newEditor(&s.accounts),
		keys:      newEditor(&s.keys),
	}
	b.set.templates = cloneOrMake(s.templates)
	b.set.services = cloneOrMake(s.services)
	b.set.endpoints = cloneOrMake(s.endpoints)
	b.set.entries = cloneOrMake(s.entries)
	b.set.operators = cloneOrMake(s.operators)
	b.set.indexes = s.indexes
	return b
}

// cloneOrMake returns a copy of a map, or an empty map for nil.
func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// apply replaces the document with the same key, or removes it if the new body is
// empty.
func (b *builder) apply(doc *pb.Document) error {
	key := DocumentKey(doc)
	if err := b.remove(key); err != nil {
		return err
	}
	if len(doc.GetBody()) == 0 {
		return nil
	}
	b.documents.set(key, doc)
	if newBody(Kind(doc.GetKind())) == nil {
		return nil // A later release may have committed a kind that this one does not know.
	}
	body, err := decodeBody(doc, false)
	if err != nil {
		return err
	}
	return b.add(doc.GetName(), body)
}

func (b *builder) add(name string, body Body) error {
	switch body := body.(type) {
	case *Template:
		b.set.templates[domain.TemplateName(name)] = compileTemplate(name, body)
	case *Account:
		b.accounts.set(domain.AccountID(name), compileAccount(body))
		for _, scalar := range body.KeyHashes {
			if hash, ok := ParseKeyHash(scalar.Text); ok {
				b.keys.set(keyHashString(hash[:]), domain.AccountID(name))
			}
		}
	case *Service:
		b.rebuildIndexes = true
		b.set.services[domain.ServiceName(name)] = compileService(name, body)
	case *Endpoint:
		b.rebuildIndexes = true
		b.set.endpoints[domain.EndpointID(name)] = compileEndpoint(name, body)
	case *Entry:
		b.rebuildIndexes = true
		b.set.entries[domain.EntryID(name)] = Peer{
			Entry:       domain.EntryID(name),
			DataCentre:  domain.DataCentre(body.DataCentre.Text),
			PeerAddress: body.PeerAddress.Text,
		}
	case *Operator:
		if hash, ok := ParseKeyHash(body.TokenHash.Text); ok {
			b.set.operators[name] = hash
		}
	default:
		return errors.Newf("compile document %q: its body has an unknown type", name)
	}
	return nil
}

func (b *builder) remove(key Key) error {
	old, ok := b.documents.get(key)
	if !ok {
		return nil
	}
	b.documents.remove(key)
	kind, name := key.Split()
	switch kind {
	case KindTemplate:
		delete(b.set.templates, domain.TemplateName(name))
	case KindAccount:
		return b.removeAccount(domain.AccountID(name), old)
	case KindService:
		b.rebuildIndexes = true
		delete(b.set.services, domain.ServiceName(name))
	case KindEndpoint:
		b.rebuildIndexes = true
		delete(b.set.endpoints, domain.EndpointID(name))
	case KindEntry:
		b.rebuildIndexes = true
		delete(b.set.entries, domain.EntryID(name))
	case KindOperator:
		delete(b.set.operators, name)
	}
	return nil
}

// removeAccount removes an account with its key hashes, except those that another
// account has taken over in the same change.
func (b *builder) removeAccount(id domain.AccountID, old *pb.Document) error {
	b.accounts.remove(id)
	body, err := decodeBody(old, false)
	if err != nil {
		return err
	}
	for _, scalar := range body.(*Account).KeyHashes {
		hash, ok := ParseKeyHash(scalar.Text)
		if owner, _ := b.keys.get(keyHashString(hash[:])); ok && owner == id {
			b.keys.remove(keyHashString(hash[:]))
		}
	}
	return nil
}

// finish returns the set. The builder must not be used afterwards.
func (b *builder) finish(revision domain.Revision) *Set {
	b.set.revision = revision
	b.set.documents = b.documents.cowMap
	b.set.accounts = b.accounts.cowMap
	b.set.keys = b.keys.cowMap
	if b.rebuildIndexes {
		b.set.indexes = rebuildIndexes(&b.set)
	}
	return &b.set
}

// rebuildIndexes returns the indexes of a set. A model that two services declare
// belongs to the first by name; check reports the second.
func rebuildIndexes(s *Set) indexes {
	d := indexes{
		serviceOf: make(map[domain.ModelName]domain.ServiceName),
		endpoints: make(map[domain.ServiceName][]domain.Endpoint),
		entries:   slices.Sorted(maps.Keys(s.entries)),
	}
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		for _, model := range s.services[name].Models {
			if _, ok := d.serviceOf[model]; !ok {
				d.serviceOf[model] = name
			}
		}
	}
	d.models = slices.Sorted(maps.Keys(d.serviceOf))
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		endpoint := s.endpoints[id]
		d.endpoints[endpoint.Service] = append(d.endpoints[endpoint.Service], endpoint)
	}
	return d
}
