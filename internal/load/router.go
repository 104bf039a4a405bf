package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
)

// reportInterval is the time between two requests for an engine's load report.
const reportInterval = 500 * time.Millisecond

// entryRouter sends calls to the entries, round-robin.
type entryRouter struct {
	urls      []string
	keyPrefix string
	seed      uint64
}

func (r *entryRouter) baseURL(a *arrival) string { return r.urls[a.index%len(r.urls)] }

func (r *entryRouter) plainPath(a *arrival) string {
	return fmt.Sprintf("/v1/services/%s/%s", a.source.class.Service, a.source.class.Name)
}

func (r *entryRouter) setHeaders(a *arrival, h http.Header) {
	h.Set("Authorization", "Bearer "+r.keyPrefix+string(a.source.account))
	h.Set(callerapi.HeaderClass, string(a.source.class.Name))
	if !a.source.class.Idempotent {
		h.Set(callerapi.HeaderIdempotencyKey, fmt.Sprintf("load-%d-%d", r.seed, a.index))
	}
}

// directRouter is the router of the baselines. It sends calls directly to the
// endpoints, and ignores tiers.
type directRouter struct {
	engines   []string
	services  []string
	leastLoad bool // pick by the last load reports, otherwise round-robin

	mu            sync.Mutex
	next          int   // round-robin counter
	reportedLoads []int // running and queued requests, by index in engines
}

func newDirectRouter(engines, services []string, leastLoad bool) *directRouter {
	return &directRouter{engines: engines, services: services, leastLoad: leastLoad, reportedLoads: make([]int, len(engines))}
}

func (r *directRouter) baseURL(a *arrival) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	if a.source.model == "" {
		return "http://" + r.services[r.next%len(r.services)]
	}
	if !r.leastLoad {
		return "http://" + r.engines[r.next%len(r.engines)]
	}
	// Start at the next engine, so that engines with equal loads take turns.
	best := r.next % len(r.engines)
	for i := range r.engines {
		candidate := (r.next + i) % len(r.engines)
		if r.reportedLoads[candidate] < r.reportedLoads[best] {
			best = candidate
		}
	}
	return "http://" + r.engines[best]
}

func (r *directRouter) plainPath(a *arrival) string { return "/" + string(a.source.class.Name) }

func (r *directRouter) setHeaders(a *arrival, h http.Header) {
	h.Set(api.RequestIDHeader, fmt.Sprintf("call-%d", a.index))
}

// pollReports polls the load reports of all engines until the context ends.
func (r *directRouter) pollReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		for i, address := range r.engines {
			r.pollReport(ctx, i, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollReport reads the load report of one engine. If that fails, the last report
// stays valid.
func (r *directRouter) pollReport(ctx context.Context, i int, address string) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var report engine.Report
	err = json.NewDecoder(response.Body).Decode(&report)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedLoads[i] = report.Running + report.Queued
}
