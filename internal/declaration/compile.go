package declaration

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"
	"unique"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// The quantity fields of a request class, as indices of classFields.
const (
	fieldTier = iota
	fieldFirstToken
	fieldBetweenTokens
	fieldMaxWait
	fieldMaxTokens
	fieldIdempotent
	fieldPreemptible
	fieldShedLate
	fieldAttempts
	fieldBudget
	classFieldCount
)

// The quantity fields of limits, as indices of limitFields.
const (
	limitRequests = iota
	limitBurst
	limitConcurrency
	limitTokens
	limitFieldCount
)

// fieldSpec describes a quantity field: its name, unit and allowed range. The value of
// such a field is a Quantity or the name of a template parameter.
type fieldSpec struct {
	name     string
	unit     Unit
	bounds   bounds
	required bool
}

// Upper bounds of the quantity fields. Durations are in nanoseconds.
const (
	lastTier         = domain.TierCount - 1
	maxFirstToken    = float64(time.Hour)
	maxBetweenTokens = float64(time.Minute)
	longestMaxWait   = float64(24 * time.Hour)
	maxAttempts      = 10
	maxRetryBudget   = 1.0 // retries per request
	maxRequests      = 1e6 // requests per second, and requests in a burst or concurrent
	maxTokenRate     = 1e9 // tokens per second
	largestMaxTokens = 1 << 24
)

var boolBounds = bounds{0, 1}

var classFields = [classFieldCount]fieldSpec{
	fieldTier:          {"tier", UnitCount, bounds{0, lastTier}, true},
	fieldFirstToken:    {"first-token", UnitDuration, bounds{float64(time.Millisecond), maxFirstToken}, true},
	fieldBetweenTokens: {"between-tokens", UnitDuration, bounds{0, maxBetweenTokens}, false},
	fieldMaxWait:       {"max-wait", UnitDuration, bounds{float64(time.Millisecond), longestMaxWait}, true},
	fieldMaxTokens:     {"max-tokens", UnitCount, bounds{0, largestMaxTokens}, false},
	fieldIdempotent:    {"idempotent", UnitFlag, boolBounds, true},
	fieldPreemptible:   {"preemptible", UnitFlag, boolBounds, false},
	fieldShedLate:      {"shed-late", UnitFlag, boolBounds, false},
	fieldAttempts:      {"retry.attempts", UnitCount, bounds{0, maxAttempts}, false},
	fieldBudget:        {"retry.budget", UnitShare, bounds{0, maxRetryBudget}, false},
}

var limitFields = [limitFieldCount]fieldSpec{
	limitRequests:    {"requests", UnitRate, bounds{0, maxRequests}, false},
	limitBurst:       {"burst", UnitCount, bounds{0, maxRequests}, false},
	limitConcurrency: {"concurrency", UnitCount, bounds{0, maxRequests}, false},
	limitTokens:      {"tokens", UnitRate, bounds{0, maxTokenRate}, false},
}

// classScalars returns the quantity fields of a class by their index in classFields.
func classScalars(c *Class) [classFieldCount]Scalar {
	return [classFieldCount]Scalar{
		fieldTier:          c.Tier,
		fieldFirstToken:    c.FirstToken,
		fieldBetweenTokens: c.BetweenTokens,
		fieldMaxWait:       c.MaxWait,
		fieldMaxTokens:     c.MaxTokens,
		fieldIdempotent:    c.Idempotent,
		fieldPreemptible:   c.Preemptible,
		fieldShedLate:      c.ShedLate,
		fieldAttempts:      c.Retry.Attempts,
		fieldBudget:        c.Retry.Budget,
	}
}

// limitScalars returns the quantity fields of limits by their index in limitFields.
func limitScalars(l *Limits) [limitFieldCount]Scalar {
	return [limitFieldCount]Scalar{
		limitRequests:    l.Requests,
		limitBurst:       l.Burst,
		limitConcurrency: l.Concurrency,
		limitTokens:      l.Tokens,
	}
}

// operand is the value of a quantity field: a number, or the name of the template
// parameter to take it from. isSet is false if the field is not declared.
type operand struct {
	param  string
	number float64
	isSet  bool
}

// compileOperand parses a number with its unit, or the name of a parameter after "$".
func compileOperand(s Scalar) operand {
	if name, ok := strings.CutPrefix(s.Text, "$"); ok {
		return operand{param: name, isSet: true}
	}
	q, ok := parseQuantity(s.Text)
	return operand{number: q.Number, isSet: ok}
}

// paramSpec is a compiled template parameter. defaultValue is valid only with
// hasDefault; without it accounts must set the parameter.
type paramSpec struct {
	name         string
	unit         Unit
	defaultValue float64
	hasDefault   bool
	bounds       bounds
}

// classSpec is a compiled request class whose parameters are not yet resolved.
type classSpec struct {
	name    domain.ClassName
	service domain.ServiceName
	fields  [classFieldCount]operand
}

// templateSpec is a compiled service template, shared by its accounts.
type templateSpec struct {
	name    domain.TemplateName
	params  []paramSpec
	classes []classSpec
	limits  [limitFieldCount]operand
}

// param returns a parameter by its name, or nil.
func (t *templateSpec) param(name string) *paramSpec {
	i := slices.IndexFunc(t.params, func(p paramSpec) bool { return p.name == name })
	if i < 0 {
		return nil
	}
	return &t.params[i]
}

// class returns a class by its name, or nil.
func (t *templateSpec) class(name domain.ClassName) *classSpec {
	i := slices.IndexFunc(t.classes, func(c classSpec) bool { return c.name == name })
	if i < 0 {
		return nil
	}
	return &t.classes[i]
}

// compileTemplate compiles a template. Invalid values, which only check reports,
// become unset operands and parameters of UnitNone.
func compileTemplate(name string, body *Template) *templateSpec {
	template := &templateSpec{name: domain.TemplateName(name)}
	for i := range body.Parameters {
		template.params = append(template.params, compileParam(&body.Parameters[i]))
	}
	for i := range body.Classes {
		class := &body.Classes[i]
		spec := classSpec{
			name:    domain.ClassName(class.Name.Text),
			service: domain.ServiceName(class.Service.Text),
		}
		for field, text := range classScalars(class) {
			spec.fields[field] = compileOperand(text)
		}
		template.classes = append(template.classes, spec)
	}
	for field, text := range limitScalars(&body.Limits) {
		template.limits[field] = compileOperand(text)
	}
	return template
}

func compileParam(p *Parameter) paramSpec {
	unit, _ := parseUnit(p.Type.Text)
	spec := paramSpec{name: p.Name.Text, unit: unit, bounds: bounds{0, noUpperBound}}
	if q, ok := parseQuantity(p.Default.Text); ok {
		spec.defaultValue = q.Number
		spec.hasDefault = true
	}
	if q, ok := parseQuantity(p.Min.Text); ok {
		spec.bounds.min = q.Number
	}
	if q, ok := parseQuantity(p.Max.Text); ok {
		spec.bounds.max = q.Number
	}
	return spec
}

// noUpperBound is the maximum of a parameter that declares none. A parameter declared
// without a maximum still accepts only values up to it: 1e18 ns is about 32 years.
const noUpperBound = 1e18

// accountParam is an account's value of a template parameter.
type accountParam struct {
	name   string
	number float64
}

// accountSpec is a compiled client account without its template.
type accountSpec struct {
	template     domain.TemplateName
	defaultClass domain.ClassName
	params       []accountParam
	// limits is nil if the account declares no limits.
	limits *[limitFieldCount]operand
}

func compileAccount(body *Account) *accountSpec {
	account := &accountSpec{
		template:     domain.TemplateName(intern(body.Template.Text)),
		defaultClass: domain.ClassName(intern(body.DefaultClass.Text)),
	}
	for _, name := range sortedKeys(body.Parameters) {
		q, _ := parseQuantity(body.Parameters[name].Text)
		account.params = append(account.params, accountParam{intern(name), q.Number})
	}
	if body.Limits != (Limits{Line: body.Limits.Line}) {
		account.limits = new([limitFieldCount]operand)
		for field, scalar := range limitScalars(&body.Limits) {
			account.limits[field] = compileOperand(scalar)
		}
	}
	return account
}

// intern returns a shared copy of a string. It saves memory because accounts
// repeat the few names of templates, classes and parameters.
func intern(text string) string { return unique.Make(text).Value() }

func sortedKeys(values map[string]Scalar) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// param returns the account's value of a parameter, if it declares one.
func (a *accountSpec) param(name string) (float64, bool) {
	for _, p := range a.params {
		if p.name == name {
			return p.number, true
		}
	}
	return 0, false
}

// resolve returns the number of an operand: its own, the account's parameter or
// the parameter's default, in the base unit of the field. It returns 0 for an
// unset operand and for an unknown parameter.
func resolve(op operand, template *templateSpec, account *accountSpec) float64 {
	if op.param == "" {
		return op.number
	}
	if number, ok := account.param(op.param); ok {
		return number
	}
	if p := template.param(op.param); p != nil {
		return p.defaultValue
	}
	return 0
}

// resolveClass returns a class with the account's parameters filled in.
func resolveClass(class *classSpec, template *templateSpec, account *accountSpec) domain.Class {
	var numbers [classFieldCount]float64
	for field, op := range class.fields {
		numbers[field] = resolve(op, template, account)
	}
	return domain.Class{
		Name:          class.name,
		Service:       class.service,
		Tier:          domain.Tier(numbers[fieldTier]),
		FirstToken:    time.Duration(numbers[fieldFirstToken]),
		BetweenTokens: time.Duration(numbers[fieldBetweenTokens]),
		MaxWait:       time.Duration(numbers[fieldMaxWait]),
		MaxTokens:     uint32(numbers[fieldMaxTokens]),
		Idempotent:    numbers[fieldIdempotent] != 0,
		Preemptible:   numbers[fieldPreemptible] != 0,
		ShedLate:      numbers[fieldShedLate] != 0,
		Retry: domain.RetryPolicy{
			Attempts:    uint32(numbers[fieldAttempts]),
			BudgetRatio: numbers[fieldBudget],
		},
	}
}

// resolveLimits returns an account's limits: its own where declared, else the
// template's.
func resolveLimits(template *templateSpec, account *accountSpec) domain.Limits {
	var numbers [limitFieldCount]float64
	for field := range numbers {
		op := template.limits[field]
		if account.limits != nil && account.limits[field].isSet {
			op = account.limits[field]
		}
		numbers[field] = resolve(op, template, account)
	}
	return domain.Limits{
		RequestsPerSecond: numbers[limitRequests],
		Burst:             numbers[limitBurst],
		Concurrency:       uint32(numbers[limitConcurrency]),
		TokensPerMinute:   numbers[limitTokens] * time.Minute.Seconds(),
	}
}

func compileService(name string, body *Service) domain.Service {
	kind := domain.ServicePlain
	if body.Type.Text == serviceTypeModel {
		kind = domain.ServiceModel
	}
	return domain.Service{Name: domain.ServiceName(name), Kind: kind, Models: modelNames(body.Models)}
}

func compileEndpoint(name string, body *Endpoint) domain.Endpoint {
	endpoint := domain.Endpoint{
		ID:            domain.EndpointID(name),
		Service:       domain.ServiceName(body.Service.Text),
		DataCentre:    domain.DataCentre(body.DataCentre.Text),
		AgentAddress:  body.AgentAddress.Text,
		ChecksFencing: body.ChecksFencing.Text == "true",
		Models:        modelNames(body.Models),
		Role:          body.Role.Text,
	}
	endpoint.Desired, _ = ParseDesiredState(body.Desired.Text)
	for _, adapter := range body.Adapters {
		endpoint.Adapters = append(endpoint.Adapters, adapter.Text)
	}
	return endpoint
}

func modelNames(scalars []Scalar) []domain.ModelName {
	var names []domain.ModelName
	for _, scalar := range scalars {
		names = append(names, domain.ModelName(scalar.Text))
	}
	return names
}

// ParseDesiredState parses the name of a desired state.
func ParseDesiredState(text string) (domain.DesiredState, bool) {
	for _, state := range []domain.DesiredState{domain.EndpointServing, domain.EndpointDraining, domain.EndpointStopped} {
		if state.String() == text {
			return state, true
		}
	}
	return 0, false
}

// ParseKeyHash parses the SHA-256 hash of a key from 64 hexadecimal digits.
func ParseKeyHash(text string) (domain.KeyHash, bool) {
	var hash domain.KeyHash
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil
}
