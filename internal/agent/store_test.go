package agent

import (
	"fmt"
	"strings"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// serviceEpoch is the time of the table service at instant 0.
var serviceEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeStore is an in-memory table service with one table. Each request consumes one of
// faults: StatusOK for none, StatusLost for a lost reply after the request took effect,
// statusRequestLost for a request that never arrives, or StatusUnavailable.
type fakeStore struct {
	rows   map[string]table.Row
	faults []table.Status
}

// statusRequestLost is a fault: the request is lost before it reaches the service.
const statusRequestLost = table.Status(100)

func newFakeStore(faults ...table.Status) *fakeStore {
	return &fakeStore{rows: map[string]table.Row{}, faults: faults}
}

// apply executes a request, unless a fault prevents it, and returns the reply.
func (f *fakeStore) apply(request table.Request, now domain.Instant) table.Reply {
	fault := table.StatusOK
	if len(f.faults) > 0 {
		fault = f.faults[0]
		f.faults = f.faults[1:]
	}
	switch fault {
	case table.StatusUnavailable:
		return table.Reply{Status: table.StatusUnavailable}
	case statusRequestLost:
		return table.Reply{Status: table.StatusLost}
	}
	reply := f.run(request)
	reply.Time = serviceEpoch.Add(time.Duration(now))
	if fault == table.StatusLost {
		return table.Reply{Status: table.StatusLost}
	}
	return reply
}

// run executes a request without faults.
func (f *fakeStore) run(request table.Request) table.Reply {
	reply := table.Reply{Status: table.StatusOK}
	for _, c := range request.Conditions {
		if f.rows[c.Key].Version == c.Version {
			continue
		}
		reply.Status = table.StatusConflict
		if row, ok := f.rows[c.Key]; ok {
			reply.Rows = append(reply.Rows, row)
		}
	}
	if reply.Status == table.StatusConflict {
		return reply
	}
	for _, w := range request.Writes {
		f.rows[w.Key] = table.Row{Table: w.Table, Key: w.Key, Version: f.rows[w.Key].Version + 1, Value: w.Value}
	}
	for _, g := range request.Gets {
		if row, ok := f.rows[g.Key]; ok {
			reply.Rows = append(reply.Rows, row)
		}
	}
	return reply
}

func renderRequest(r table.Request) string {
	var parts []string
	for _, c := range r.Conditions {
		parts = append(parts, fmt.Sprintf("if %s is at %d", c.Key, c.Version))
	}
	for _, w := range r.Writes {
		parts = append(parts, fmt.Sprintf("write %s %s", w.Key, w.Value))
	}
	for _, g := range r.Gets {
		parts = append(parts, "get "+g.Key)
	}
	return strings.Join(parts, ", ")
}

func renderRows(rows []table.Row) string {
	var out strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&out, ", %s at %d %s", row.Key, row.Version, row.Value)
	}
	return out.String()
}
