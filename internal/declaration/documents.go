// Package declaration reads and validates the operators' declarations: service
// templates, client accounts, services, endpoints, entries and operators. A Set
// holds the declarations of one revision and implements domain.Config. Entries
// and operator tools use the package; agents use it for their own endpoint.
//
// On disk a declaration is a YAML document with the fields kind and name. In
// messages and in the store it is a pb.Document, whose body is compact JSON.
//
// A Set is immutable. Of the other types, AgentState and Joiner keep state between
// calls, and neither is safe for concurrent use.
package declaration

import (
	"encoding/json"
	"strings"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Kind is the type of object that a document declares.
type Kind string

// The kinds of declaration.
const (
	KindTemplate Kind = "template"
	KindAccount  Kind = "account"
	KindService  Kind = "service"
	KindEndpoint Kind = "endpoint"
	KindEntry    Kind = "entry"
	KindOperator Kind = "operator"
)

var kinds = []Kind{KindTemplate, KindAccount, KindService, KindEndpoint, KindEntry, KindOperator}

// Key identifies a document among all kinds, as "kind/name".
type Key string

// KeyOf returns the key of a document.
func KeyOf(kind Kind, name string) Key { return Key(string(kind) + "/" + name) }

// Split returns the kind and the name of a key.
func (k Key) Split() (Kind, string) {
	kind, name, _ := strings.Cut(string(k), "/")
	return Kind(kind), name
}

// Scalar is the text of a value as declared, with its line in the file. Line is
// 0 in a document that was received in a message.
type Scalar struct {
	Text string
	Line int
}

// IsZero reports whether the value is absent.
func (s Scalar) IsZero() bool { return s.Text == "" }

// MarshalJSON encodes the text as a JSON string.
func (s Scalar) MarshalJSON() ([]byte, error) { return json.Marshal(s.Text) }

// UnmarshalJSON decodes a JSON string.
func (s *Scalar) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &s.Text) }

// Template declares a service template: request classes, parameters and limits.
// A value "$name" refers to the parameter of that name.
type Template struct {
	Line       int         `json:"-"`
	Parameters []Parameter `json:"parameters,omitempty"`
	Classes    []Class     `json:"classes"`
	Limits     Limits      `json:"limits,omitzero"`
}

// Parameter declares a template parameter, whose value an account sets. Accounts
// must set a parameter without a default.
type Parameter struct {
	Line    int    `json:"-"`
	Name    Scalar `json:"name"`
	Type    Scalar `json:"type"`
	Default Scalar `json:"default,omitzero"`
	Min     Scalar `json:"min,omitzero"`
	Max     Scalar `json:"max,omitzero"`
}

// Class declares a request class.
type Class struct {
	Line          int    `json:"-"`
	Name          Scalar `json:"name"`
	Service       Scalar `json:"service"`
	Tier          Scalar `json:"tier"`
	FirstToken    Scalar `json:"first-token"`
	BetweenTokens Scalar `json:"between-tokens,omitzero"`
	MaxWait       Scalar `json:"max-wait"`
	MaxTokens     Scalar `json:"max-tokens,omitzero"`
	Idempotent    Scalar `json:"idempotent"`
	Preemptible   Scalar `json:"preemptible,omitzero"`
	ShedLate      Scalar `json:"shed-late,omitzero"`
	Retry         Retry  `json:"retry,omitzero"`
}

// Retry declares the retry policy of a request class.
type Retry struct {
	Line     int    `json:"-"`
	Attempts Scalar `json:"attempts,omitzero"`
	Budget   Scalar `json:"budget,omitzero"`
}

// Limits declares the admission limits of an account.
type Limits struct {
	Line        int    `json:"-"`
	Requests    Scalar `json:"requests,omitzero"`
	Burst       Scalar `json:"burst,omitzero"`
	Concurrency Scalar `json:"concurrency,omitzero"`
	Tokens      Scalar `json:"tokens,omitzero"`
}

// Account declares a client account. Its limits override the template's, field
// by field.
type Account struct {
	Line         int               `json:"-"`
	Template     Scalar            `json:"template"`
	DefaultClass Scalar            `json:"default-class"`
	Parameters   map[string]Scalar `json:"parameters,omitempty"`
	Limits       Limits            `json:"limits,omitzero"`
	KeyHashes    []Scalar          `json:"key-hashes"`
}

// Service declares a service.
type Service struct {
	Line   int      `json:"-"`
	Type   Scalar   `json:"type"`
	Models []Scalar `json:"models,omitempty"`
}

// Endpoint declares an endpoint.
type Endpoint struct {
	Line          int      `json:"-"`
	Service       Scalar   `json:"service"`
	DataCentre    Scalar   `json:"data-centre"`
	AgentAddress  Scalar   `json:"agent-address"`
	ChecksFencing Scalar   `json:"checks-fencing"`
	Desired       Scalar   `json:"desired"`
	Models        []Scalar `json:"models,omitempty"`
	Adapters      []Scalar `json:"adapters,omitempty"`
	Role          Scalar   `json:"role,omitzero"`
}

// Entry declares an entry.
type Entry struct {
	Line        int    `json:"-"`
	DataCentre  Scalar `json:"data-centre"`
	PeerAddress Scalar `json:"peer-address"`
}

// Operator declares an operator, who may change the configuration.
type Operator struct {
	Line      int    `json:"-"`
	TokenHash Scalar `json:"token-hash"`
}

// Peer is a declared entry and the address at which other entries connect to it.
type Peer struct {
	Entry       domain.EntryID
	DataCentre  domain.DataCentre
	PeerAddress string
}

// Body is the decoded content of a document: *Template, *Account, *Service,
// *Endpoint, *Entry or *Operator.
type Body interface{ isBody() }

func (*Template) isBody() {}
func (*Account) isBody()  {}
func (*Service) isBody()  {}
func (*Endpoint) isBody() {}
func (*Entry) isBody()    {}
func (*Operator) isBody() {}

// newBody returns an empty body of a kind, or nil if the kind is unknown.
func newBody(kind Kind) Body {
	switch kind {
	case KindTemplate:
		return &Template{}
	case KindAccount:
		return &Account{}
	case KindService:
		return &Service{}
	case KindEndpoint:
		return &Endpoint{}
	case KindEntry:
		return &Entry{}
	case KindOperator:
		return &Operator{}
	}
	return nil
}
