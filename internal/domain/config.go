package domain

import "time"

// ServiceKind is the protocol of a service's endpoints.
type ServiceKind uint8

// The kinds of service.
const (
	// ServiceModel endpoints are model engines with the chat-completions protocol.
	ServiceModel ServiceKind = iota + 1
	// ServicePlain endpoints are ordinary HTTP servers.
	ServicePlain
)

// DesiredState is the state of an endpoint that operators declare.
type DesiredState uint8

// The desired states.
const (
	// EndpointServing endpoints take calls.
	EndpointServing DesiredState = iota + 1
	// EndpointDraining endpoints complete running calls and take no new ones.
	EndpointDraining
	// EndpointStopped endpoints drain, and their agent exits once no call runs.
	EndpointStopped
)

var desiredNames = [...]string{"", "serving", "draining", "stopped"}

// String returns the name of the state in declarations.
func (s DesiredState) String() string {
	if int(s) >= len(desiredNames) {
		return "invalid"
	}
	return desiredNames[s]
}

// RetryPolicy limits the attempts of a class's calls.
type RetryPolicy struct {
	// Attempts is the maximum number of attempts, including the first. Zero and
	// one mean no retry.
	Attempts uint32
	// BudgetRatio is the average number of retries allowed per call of the class
	// and account. Zero allows none.
	BudgetRatio float64
}

// Class is a request class of an account's service template, with the account's
// values of the template's parameters filled in.
type Class struct {
	Name    ClassName
	Service ServiceName
	Tier    Tier
	// FirstToken is the target from arrival to the first token of a model
	// answer, or to the whole answer of a plain service.
	FirstToken time.Duration
	// BetweenTokens is the target between tokens. Zero sets no target.
	BetweenTokens time.Duration
	// MaxWait is the longest wait for an agent's grant (see Nonce). After it the
	// call ends as not run.
	MaxWait time.Duration
	// MaxTokens bounds the length of an answer. With zero, the engine's limit applies.
	MaxTokens uint32
	// Idempotent calls may run more than once.
	Idempotent bool
	// Preemptible allows a running answer to be cancelled for a higher tier.
	Preemptible bool
	// ShedLate allows a waiting call to be dropped once it can't meet its target.
	ShedLate bool
	Retry    RetryPolicy
}

// Limits bound the calls of a client account over all entries. Zero sets no bound.
type Limits struct {
	// RequestsPerSecond is the sustained rate of calls.
	RequestsPerSecond float64
	// Burst is the maximum number of calls accepted at once.
	Burst float64
	// Concurrency is the maximum number of calls in progress.
	Concurrency uint32
	// TokensPerMinute is the sustained rate of prompt and answer tokens.
	TokensPerMinute float64
}

// Account is a client account with the settings that apply to all its classes.
type Account struct {
	ID           AccountID
	Template     TemplateName
	DefaultClass ClassName
	Limits       Limits
}

// Service is a declared service.
type Service struct {
	Name   ServiceName
	Kind   ServiceKind
	Models []ModelName
}

// Endpoint is a declared endpoint and the address of its agent.
type Endpoint struct {
	ID         EndpointID
	Service    ServiceName
	DataCentre DataCentre
	// AgentAddress is the IP address and port at which entries connect to the agent.
	AgentAddress string
	// ChecksFencing is whether the endpoint refuses orders with an old fencing number.
	ChecksFencing bool
	Desired       DesiredState
	Models        []ModelName
	Adapters      []string
	// Role is the declared role of the engine, for example prefill. The agent
	// orders the endpoint to take it; if it is empty, the role is not changed.
	Role string
}

// KeyHash is the SHA-256 hash of the bearer key of a caller or operator.
type KeyHash [32]byte

// Config is the immutable configuration of one revision. Returned slices are
// shared and must not be modified.
type Config interface {
	Revision() Revision
	Account(id AccountID) (Account, bool)
	AccountByKey(hash KeyHash) (AccountID, bool)
	// Class returns a class with the parameters of an account filled in.
	Class(account AccountID, class ClassName) (Class, bool)
	Service(name ServiceName) (Service, bool)
	// ServiceOf returns the service that provides a model.
	ServiceOf(model ModelName) (ServiceName, bool)
	// Models lists the models of all services, sorted.
	Models() []ModelName
	Endpoint(id EndpointID) (Endpoint, bool)
	// Endpoints lists a service's endpoints, sorted by name.
	Endpoints(service ServiceName) []Endpoint
	// Entries lists the declared entries, sorted.
	Entries() []EntryID
}
