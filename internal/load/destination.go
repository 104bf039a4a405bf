package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
)

// reportInterval is the time between two requests for an engine's load report.
const reportInterval = 500 * time.Millisecond

// entryDestination sends calls to the entries, round-robin.
type entryDestination struct {
	urls      []string
	keyPrefix string
	seed      uint64
}

func (d *entryDestination) baseURL(a *arrival) string { return d.urls[a.index%len(d.urls)] }

func (d *entryDestination) plainPath(a *arrival) string {
	return fmt.Sprintf("/v1/services/%s/%s", a.source.class.Service, a.source.class.Name)
}

func (d *entryDestination) setHeaders(a *arrival, h http.Header) {
	h.Set("Authorization", "Bearer "+d.keyPrefix+string(a.source.account))
	h.Set(callerapi.HeaderClass, string(a.source.class.Name))
	if !a.source.class.Idempotent {
		h.Set(callerapi.HeaderIdempotencyKey, fmt.Sprintf("load-%d-%d", d.seed, a.index))
	}
}

// directDestination is the destination of the baselines. It sends calls directly to
// the endpoints, and ignores tiers.
type directDestination struct {
	engines   []string
	services  []string
	leastLoad bool // pick by the last load reports, otherwise round-robin

	mu            sync.Mutex
	next          int   // round-robin counter
	reportedLoads []int // running and queued requests, by index in engines
}

func newDirectDestination(engines, services []string, leastLoad bool) *directDestination {
	return &directDestination{engines: engines, services: services, leastLoad: leastLoad, reportedLoads: make([]int, len(engines))}
}

func (d *directDestination) baseURL(a *arrival) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	if a.source.model == "" {
		return "http://" + d.services[d.next%len(d.services)]
	}
	if !d.leastLoad {
		return "http://" + d.engines[d.next%len(d.engines)]
	}
	// Start at the next engine, so that engines with equal loads take turns.
	best := d.next % len(d.engines)
	for i := range d.engines {
		candidate := (d.next + i) % len(d.engines)
		if d.reportedLoads[candidate] < d.reportedLoads[best] {
			best = candidate
		}
	}
	return "http://" + d.engines[best]
}

func (d *directDestination) plainPath(a *arrival) string { return "/" + string(a.source.class.Name) }

func (d *directDestination) setHeaders(a *arrival, h http.Header) {
	h.Set(api.RequestIDHeader, fmt.Sprintf("call-%d", a.index))
}

// pollReports polls the load reports of all engines until the context ends.
func (d *directDestination) pollReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		for i, address := range d.engines {
			d.pollReport(ctx, i, address)
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
func (d *directDestination) pollReport(ctx context.Context, i int, address string) {
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
	var report engine.Load
	err = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&report)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportedLoads[i] = report.Running + report.Queued
}
