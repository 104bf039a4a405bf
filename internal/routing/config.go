// Package routing holds the configuration that matches requests to services:
// routes, services, client accounts and their keys. The gateway replaces its Config
// with each new version and looks up every request in it. A Config is immutable
// after New, so that readers share it without a lock.
package routing

import (
	"iter"
	"maps"
	"strings"
	"time"
)

// Kind says whether a route's requests may run more than once and whether its
// answers are streams.
type Kind uint8

// The kinds of routes.
const (
	// KindNonIdempotent requests may run at most once. A caller's own retry counts
	// as another request.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream answers are streams of events. The requests may run at most once,
	// unless the route is resumable.
	KindStream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "stream"}[k]
}

// WeightedService is a service of a route with its weight among the route's services.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time from the arrival of a request to the end of its
	// answer; 0 means no limit.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, within
	// which the answer is fully useful; 0 if none is declared.
	Target time.Duration
	// GapTarget is the longest pause between two events within which a stream is fully
	// useful; 0 if none is declared.
	GapTarget time.Duration
	// Tier ranks the route; 0 is the highest.
	Tier int
	// WeightedServices are the services that may serve the route.
	WeightedServices []WeightedService
	// MaxAttempts bounds the number of endpoints that may run one request of a caller.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another endpoint after a given event.
	Resumable bool
}

// Retryable reports whether a request that may have run may be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine processes at once.
	Slots int
	// KVTokens is the size of one engine's key-value cache, in tokens.
	KVTokens int
	// CanFetch is whether an engine can copy parts of another engine's cache.
	CanFetch bool
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all gateways to one endpoint;
	// 0 means no limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	// Tier, if HasTier is set, ranks the account's requests and takes precedence
	// over the tier of the route; see Config.Rank. 0 is the highest.
	Tier    int
	HasTier bool
	Keys    []string
}

// Limits bound a caller's connection and requests. Zero means no limit.
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
	// RequiresKey is whether requests need the key of an account. It follows from the list of accounts being there, not from its
	// length: a list that has lost its last account or key admits nobody.
	RequiresKey bool

	routes   map[string]*hostRoutes
	accounts map[string]*Account
	// routeTierCount is one more than the largest Tier of a route.
	routeTierCount int
}

// AccountList is the list of client accounts of a configuration. Present tells an empty list from none; nil slices don't.
type AccountList struct {
	Present  bool
	Accounts []*Account
}

// New returns a configuration with indexes of the routes by host and of the
// accounts by key.
func New(version int64, limits Limits, routes []*Route, services []*Service, accounts AccountList) *Config {
	c := &Config{
		Version:     version,
		Limits:      limits,
		Services:    make(map[string]*Service, len(services)),
		RequiresKey: accounts.Present,
		routes:      make(map[string]*hostRoutes),
		accounts:    make(map[string]*Account),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := canonicalHost(r.Host)
		if c.routes[host] == nil {
			c.routes[host] = &hostRoutes{byPrefix: make(map[string]*Route)}
		}
		c.routes[host].add(r)
		c.routeTierCount = max(c.routeTierCount, r.Tier+1)
	}
	for _, a := range accounts.Accounts {
		for _, key := range a.Keys {
			c.accounts[key] = a
		}
	}
	return c
}

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, h := range c.routes {
		n += len(h.byPrefix)
	}
	return n
}

// Keys returns the number of keys of client accounts.
func (c *Config) Keys() int { return len(c.accounts) }

// Match returns the route of a host with the longest prefix of a path, or nil.
func (c *Config) Match(host, path string) *Route {
	if h := c.routes[canonicalHost(host)]; h != nil {
		return h.match(path)
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

// Accounts returns the client accounts that have keys, by key.
func (c *Config) Accounts() iter.Seq2[string, *Account] { return maps.All(c.accounts) }

// Rank orders requests by the tier of the account and, within it, by that of the
// route; 0 is the most urgent. No request of a higher account tier ranks behind one
// of a lower tier, and requests of one account to routes of different tiers keep
// different ranks. Without an account tier, the tier of the route is the rank.
func (c *Config) Rank(r *Route, a *Account) int {
	if a == nil || !a.HasTier {
		return r.Tier
	}
	return a.Tier*c.routeTierCount + r.Tier
}

// canonicalHost strips the port and lowers the case of a host name.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickService chooses one of a route's services in proportion to their weights.
// The same fraction, in [0, 1), gives the same service. It returns "" if there is none.
func (r *Route) PickService(fraction float64) string {
	total := 0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	remaining := fraction * float64(total)
	for _, s := range r.WeightedServices {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.WeightedServices) == 0 {
		return ""
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
