package declaration

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// The values of a service's type field.
const (
	serviceTypeModel = "model"
	serviceTypePlain = "plain"
)

// Descriptions of the expected values that several fields share.
const (
	expectedName    = "want a name of up to 63 of a-z, 0-9, hyphen and dot that starts with a letter or digit"
	expectedModel   = "want a model name of up to 128 letters, digits and ._:/-"
	expectedAddress = "want an IP address and port such as 10.0.0.1:7000"
	expectedHash    = "want the SHA-256 hash of a key as 64 hexadecimal digits"
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
)

func isName(text string) bool { return namePattern.MatchString(text) }

// checker validates documents against the set that contains them.
type checker struct {
	set     *Set
	current parsedDocument // the document being checked
	errs    ValidationErrors
}

// check validates the documents against a set that contains them. With fullSet,
// docs has to hold all documents of the set, and check also verifies that addresses
// and key hashes are unique.
func check(set *Set, docs []parsedDocument, fullSet bool) ValidationErrors {
	c := &checker{set: set}
	for _, p := range docs {
		c.current = p
		c.checkDocument(p.body)
	}
	if fullSet {
		c.checkUniqueValues(docs)
	}
	return c.errs
}

// addError reports an error of the current document at the line of a scalar, or at
// the document's line if the scalar has none.
func (c *checker) addError(s Scalar, field, expected string) {
	line := s.Line
	if line == 0 {
		line = c.current.line
	}
	c.errs = append(c.errs, ValidationError{c.current.file, line, c.current.key, field, s.Text, expected})
}

// checkDocument checks a document apart from the uniqueness of its values.
func (c *checker) checkDocument(body Body) {
	switch body := body.(type) {
	case *Template:
		c.checkTemplate(body)
	case *Account:
		c.checkAccount(body)
	case *Service:
		c.checkService(body)
	case *Endpoint:
		c.checkEndpoint(body)
	case *Entry:
		c.pattern(body.DataCentre, "data-centre", namePattern, expectedName)
		c.address(body.PeerAddress, "peer-address")
	case *Operator:
		c.hash(body.TokenHash, "token-hash")
	}
}

// pattern checks that a scalar matches a pattern.
func (c *checker) pattern(s Scalar, field string, pattern *regexp.Regexp, expected string) {
	if !pattern.MatchString(s.Text) {
		c.addError(s, field, expected)
	}
}

// checkOneOf checks that a scalar is one of some values.
func (c *checker) checkOneOf(s Scalar, field string, values ...string) {
	if !slices.Contains(values, s.Text) {
		c.addError(s, field, "want one of "+strings.Join(values, ", "))
	}
}

// address checks a numeric IP address with a port other than 0.
func (c *checker) address(s Scalar, field string) {
	address, err := netip.ParseAddrPort(s.Text)
	if err != nil || address.Port() == 0 {
		c.addError(s, field, expectedAddress)
	}
}

// hash parses a key hash and reports an invalid one without its text.
func (c *checker) hash(s Scalar, field string) (domain.KeyHash, bool) {
	hash, ok := ParseKeyHash(s.Text)
	if !ok {
		// The value may be a plain key that was declared by mistake.
		c.addError(Scalar{Text: "(hidden)", Line: s.Line}, field, expectedHash)
	}
	return hash, ok
}

// checkServiceRef checks that a field names a declared service and returns the service.
func (c *checker) checkServiceRef(s Scalar, field string) (domain.Service, bool) {
	service, ok := c.set.services[domain.ServiceName(s.Text)]
	if !ok {
		c.addError(s, field, "want a declared service")
	}
	return service, ok
}

// checkService checks that a model service has models and a plain one has none, and
// that no other service declares the same models.
func (c *checker) checkService(body *Service) {
	c.checkOneOf(body.Type, "type", serviceTypeModel, serviceTypePlain)
	if body.Type.Text == serviceTypeModel && len(body.Models) == 0 {
		c.addError(Scalar{}, "models", "want at least one model")
	}
	if body.Type.Text == serviceTypePlain && len(body.Models) > 0 {
		c.addError(body.Models[0], "models", "want none for a plain service")
	}
	for i, model := range body.Models {
		field := fmt.Sprintf("models[%d]", i)
		c.pattern(model, field, modelPattern, expectedModel)
		owner := c.set.indexes.serviceOf[domain.ModelName(model.Text)]
		if KeyOf(KindService, string(owner)) != c.current.key {
			c.addError(model, field, "want a model of one service only, and it is also of "+string(owner))
		}
	}
}

// checkEndpoint checks an endpoint's fields, and that its service declares each of the
// endpoint's models.
func (c *checker) checkEndpoint(body *Endpoint) {
	service, ok := c.checkServiceRef(body.Service, "service")
	c.pattern(body.DataCentre, "data-centre", namePattern, expectedName)
	c.address(body.AgentAddress, "agent-address")
	c.checkOneOf(body.ChecksFencing, "checks-fencing", "true", "false")
	c.checkOneOf(body.Desired, "desired", "serving", "draining", "stopped")
	for i, adapter := range body.Adapters {
		c.pattern(adapter, fmt.Sprintf("adapters[%d]", i), modelPattern, expectedModel)
	}
	if !body.Role.IsZero() {
		c.pattern(body.Role, "role", namePattern, expectedName)
	}
	if !ok {
		return
	}
	if service.Kind == domain.ServiceModel && len(body.Models) == 0 {
		c.addError(Scalar{}, "models", "want at least one model of service "+string(service.Name))
	}
	for i, model := range body.Models {
		if !slices.Contains(service.Models, domain.ModelName(model.Text)) {
			c.addError(model, fmt.Sprintf("models[%d]", i), "want a model of service "+string(service.Name))
		}
	}
}

// dropDuplicates keeps the first document of each key and reports the others.
func dropDuplicates(docs []parsedDocument) ([]parsedDocument, ValidationErrors) {
	var errs ValidationErrors
	firstByKey := make(map[Key]parsedDocument, len(docs))
	kept := docs[:0:0]
	for _, p := range docs {
		original, ok := firstByKey[p.key]
		if ok {
			expected := fmt.Sprintf("want one document of this kind and name, and %s:%d has it", original.file, original.line)
			_, name := p.key.Split()
			errs = append(errs, ValidationError{p.file, p.line, p.key, "name", name, expected})
			continue
		}
		firstByKey[p.key] = p
		kept = append(kept, p)
	}
	return kept, errs
}

// checkUniqueValues checks that no two documents have the same address or key hash.
func (c *checker) checkUniqueValues(docs []parsedDocument) {
	addresses := make(map[string]Key)
	hashes := make(map[domain.KeyHash]Key)
	for _, p := range docs {
		c.current = p
		switch body := p.body.(type) {
		case *Endpoint:
			c.checkUniqueAddress(addresses, body.AgentAddress, "agent-address")
		case *Entry:
			c.checkUniqueAddress(addresses, body.PeerAddress, "peer-address")
		case *Operator:
			c.checkUniqueHash(hashes, body.TokenHash, "token-hash")
		case *Account:
			for i, scalar := range body.KeyHashes {
				c.checkUniqueHash(hashes, scalar, fmt.Sprintf("key-hashes[%d]", i))
			}
		}
	}
}

func (c *checker) checkUniqueAddress(seen map[string]Key, s Scalar, field string) {
	owner, ok := seen[s.Text]
	if ok && s.Text != "" {
		c.addError(s, field, "want an address of its own, and "+string(owner)+" has this one")
		return
	}
	seen[s.Text] = c.current.key
}

func (c *checker) checkUniqueHash(seen map[domain.KeyHash]Key, s Scalar, field string) {
	hash, ok := ParseKeyHash(s.Text)
	if !ok {
		return
	}
	if owner, ok := seen[hash]; ok {
		c.addError(s, field, "want a key of its own, and "+string(owner)+" has this one")
		return
	}
	seen[hash] = c.current.key
}
