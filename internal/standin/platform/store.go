package platform

import (
	"slices"
	"strings"

	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// defaultScanLimit is the maximum number of rows returned by a scan without a limit.
const defaultScanLimit = 1000

type rowID struct {
	table table.Name
	key   string
}

// store holds the rows of all tables. Its methods are called with the platform's
// mutex held, which serialises transactions.
type store struct {
	rows map[rowID]table.Row
}

// transact executes one transaction: it checks the conditions, applies the writes
// and then reads. The caller sets the reply's time.
func (s *store) transact(r *table.Request) table.Reply {
	failed, ok := s.checkConditions(r.Conditions)
	if !ok {
		return table.Reply{Status: table.StatusConflict, Rows: failed}
	}
	for _, w := range r.Writes {
		s.write(w)
	}
	return table.Reply{Status: table.StatusOK, Rows: s.read(r)}
}

// checkConditions reports whether the row of each condition has the expected
// version, where a missing row has version 0, and returns the rows of the
// conditions that fail, if they exist.
func (s *store) checkConditions(conditions []table.Condition) ([]table.Row, bool) {
	ok := true
	var failed []table.Row
	for _, c := range conditions {
		row, exists := s.rows[rowID{c.Table, c.Key}]
		if row.Version == c.Version {
			continue
		}
		ok = false
		if exists {
			failed = append(failed, row)
		}
	}
	return failed, ok
}

// write sets or deletes a row. Versions count the writes of a row from 1, and start
// again after a delete.
func (s *store) write(w table.Write) {
	id := rowID{w.Table, w.Key}
	if w.Delete {
		delete(s.rows, id)
		return
	}
	version := s.rows[id].Version + 1
	s.rows[id] = table.Row{Table: w.Table, Key: w.Key, Version: version, Value: slices.Clone(w.Value)}
}

// read returns the rows of the gets that exist, followed by those of the scans.
func (s *store) read(r *table.Request) []table.Row {
	var out []table.Row
	for _, g := range r.Gets {
		row, ok := s.rows[rowID{g.Table, g.Key}]
		if ok {
			out = append(out, row)
		}
	}
	for _, scan := range r.Scans {
		out = append(out, s.scan(scan)...)
	}
	return out
}

// scan returns the rows whose keys have the prefix and are above After, in key
// order, up to the limit.
func (s *store) scan(scan table.Scan) []table.Row {
	var found []table.Row
	for id, row := range s.rows {
		if id.table == scan.Table && strings.HasPrefix(id.key, scan.Prefix) && id.key > scan.After {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	limit := int(scan.Limit)
	if limit == 0 {
		limit = defaultScanLimit
	}
	return found[:min(limit, len(found))]
}
