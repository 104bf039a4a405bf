// Package routing holds the configuration by which requests are matched to
// services: routes, services, client accounts and their keys. A Config is
// immutable after New, so that readers share it without a lock.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// KindNonIdempotent requests may run at most once for each caller's attempt.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream answers are a series of events. They may run once, unless the
	// route is resumable.
	KindStream
)

// String returns the kind as it stands in logs.
func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "stream"}[k]
}

// Share is one service of a route and its weight among the route's services.
type Share struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting. Zero means no limit.
	Timeout time.Duration
	// Target is the time to the answer, of a stream to its first event, within
	// which the answer is fully useful. Zero means that none is declared.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream that is still in time.
	GapTarget time.Duration
	// Tier ranks the route; 0 is the highest.
	Tier int
	// Shares are the services that may serve the route.
	Shares []Share
	// MaxAttempts bounds the endpoints that one caller's attempt may run on.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another endpoint after a given event.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// KVTokens is the memory of one engine, in tokens.
	KVTokens int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	// Tier replaces the tier of the route if HasTier is set.
	Tier    int
	HasTier bool
	Keys    []string
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// Keyed is whether requests need the key of an account.
	Keyed bool

	routes   map[string][]*Route
	accounts map[string]*Account
	// routeTiers is one more than the lowest tier of a route.
	routeTiers int
}

// New indexes a configuration.
func New(version int64, limits Limits, routes []*Route, services []*Service, accounts []*Account) *Config {
	c := &Config{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]*Service, len(services)),
		Keyed:    len(accounts) > 0,
		routes:   make(map[string][]*Route),
		accounts: make(map[string]*Account),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := canonicalHost(r.Host)
		c.routes[host] = append(c.routes[host], r)
		c.routeTiers = max(c.routeTiers, r.Tier+1)
	}
	for _, list := range c.routes {
		// The longest prefix comes first, so that the first match is the route.
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			c.accounts[key] = a
		}
	}
	return c
}

// Match returns the route with the longest prefix of a path at a host, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds a key, or nil.
func (c *Config) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return c.accounts[key]
}

// Rank orders a request among all: by the account's tier, and within it by the
// route's, so that two accounts' requests never invert and a request class is
// still told from another of the same account. 0 is the most urgent.
func (c *Config) Rank(r *Route, a *Account) int {
	if a == nil || !a.HasTier {
		return r.Tier
	}
	return a.Tier*c.routeTiers + r.Tier
}

// canonicalHost strips the port and folds the case of a host name.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickService chooses one of a route's services in proportion to their
// weights. The same point, from 0 up to but not including 1, gives the same choice.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := point * float64(total)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
