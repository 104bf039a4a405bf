package gateway

import (
	"fmt"
	"math"
	"strings"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// maxPlacementSeries bounds the series of placements_total. Names of services and data centres come from the configuration and the
// registry; placements beyond the bound are counted under otherNames.
const (
	maxPlacementSeries = 200
	otherNames         = "other"
)

// placementSeries identifies a series of placements_total.
type placementSeries struct {
	service, dataCentre string
	spillover           placement.SpilloverReason
}

// countPlacement counts a request that was placed.
func (g *Gateway) countPlacement(t *placement.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	series := placementSeries{t.Endpoint.Service, t.Endpoint.DataCentre, t.Spillover}
	m := g.instruments
	counter := m.placements[series]
	if counter == nil {
		if len(m.placements) >= maxPlacementSeries {
			series.service, series.dataCentre = otherNames, otherNames
		}
		counter = m.registry.Scope.Tagged(map[string]string{
			"service": series.service, "data_centre": series.dataCentre, "spillover": series.spillover.String(),
		}).Counter("placements_total")
		m.placements[series] = counter
	}
	counter.Inc(1)
}

// reportSpillover logs the services whose requests begin or cease to leave the data centre, and sets their gauges.
func (g *Gateway) reportSpillover() {
	g.mu.Lock()
	list := g.table.Spillover(g.now())
	g.mu.Unlock()
	for _, s := range list {
		g.spilloverShare(s.Service).Update(s.Share)
		if !s.Changed {
			continue
		}
		shortages := make([]string, 0, len(s.Shortages))
		for _, shortage := range s.Shortages {
			shortages = append(shortages, fmt.Sprintf("%s:%.2f", shortage.DataCentre, shortage.Value))
		}
		klog.InfoS("spillover", "service", s.Service, "data_centre", g.settings.DataCentre, "spilling", s.Spilling,
			"share", math.Round(s.Share*100)/100, "shortages", strings.Join(shortages, ","))
	}
}

// spilloverShare returns the gauge of a service.
func (g *Gateway) spilloverShare(service string) tally.Gauge {
	return g.instruments.registry.Scope.Tagged(map[string]string{"service": service}).Gauge("spillover_share")
}
