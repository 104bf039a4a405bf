package declaration

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// EncodeDocument encodes a body as a document. Its revision is 0 until it is committed.
func EncodeDocument(key Key, body Body) (*pb.Document, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", key)
	}
	kind, name := key.Split()
	return &pb.Document{Kind: string(kind), Name: name, Body: data}, nil
}

// DecodeDocument decodes the body of a document. Unknown fields are an error.
func DecodeDocument(doc *pb.Document) (Body, error) { return decodeBody(doc, true) }

// decodeBody decodes the body of a document. Unless strict is set, it ignores
// unknown fields, which a later release may have committed.
func decodeBody(doc *pb.Document, strict bool) (Body, error) {
	key := DocumentKey(doc)
	body := newBody(Kind(doc.GetKind()))
	if body == nil {
		return nil, errors.Newf("decode %q: unknown kind", key)
	}
	decoder := json.NewDecoder(bytes.NewReader(doc.GetBody()))
	if strict {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(body); err != nil {
		return nil, errors.Wrapf(err, "decode %q", key)
	}
	if decoder.More() {
		return nil, errors.Newf("decode %q: more than one value", key)
	}
	return body, nil
}

// DocumentKey returns the key of a document.
func DocumentKey(doc *pb.Document) Key { return KeyOf(Kind(doc.GetKind()), doc.GetName()) }

// DecodeEndpoint decodes an endpoint's document and ignores unknown fields.
func DecodeEndpoint(doc *pb.Document) (domain.Endpoint, error) {
	body, err := decodeBody(doc, false)
	if err != nil {
		return domain.Endpoint{}, err
	}
	endpoint, ok := body.(*Endpoint)
	if !ok {
		return domain.Endpoint{}, errors.Newf("decode %q: not an endpoint", DocumentKey(doc))
	}
	return compileEndpoint(doc.GetName(), endpoint), nil
}

// DecodeService decodes a service's document and ignores unknown fields.
func DecodeService(doc *pb.Document) (domain.Service, error) {
	body, err := decodeBody(doc, false)
	if err != nil {
		return domain.Service{}, err
	}
	service, ok := body.(*Service)
	if !ok {
		return domain.Service{}, errors.Newf("decode %q: not a service", DocumentKey(doc))
	}
	return compileService(doc.GetName(), service), nil
}

// AgentView is the part of the configuration that an agent uses.
type AgentView struct {
	Endpoint domain.Endpoint
	// Kind is the kind of the endpoint's service.
	Kind domain.ServiceKind
	// Changed is the revision that last changed the endpoint's document.
	Changed domain.Revision
}

// DecodeAgentView decodes the documents that an entry sends to the agent of an
// endpoint. It reports false unless they contain the endpoint and its service.
func DecodeAgentView(id domain.EndpointID, docs []*pb.Document) (AgentView, bool, error) {
	var view AgentView
	services := make(map[domain.ServiceName]domain.ServiceKind)
	found := false
	for _, doc := range docs {
		switch {
		case len(doc.GetBody()) == 0:
		case doc.GetKind() == string(KindEndpoint) && doc.GetName() == string(id):
			endpoint, err := DecodeEndpoint(doc)
			if err != nil {
				return AgentView{}, false, err
			}
			view.Endpoint = endpoint
			view.Changed = domain.Revision(doc.GetRevision())
			found = true
		case doc.GetKind() == string(KindService):
			service, err := DecodeService(doc)
			if err != nil {
				return AgentView{}, false, err
			}
			services[service.Name] = service.Kind
		}
	}
	view.Kind = services[view.Endpoint.Service]
	return view, found && view.Kind != 0, nil
}
