package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// fakeStore applies transactions as the platform's table service does.
type fakeStore struct {
	rows map[string]table.Row
	time time.Time
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]table.Row{}, time: time.Unix(1_700_000_000, 0)}
}

// apply executes a request and returns its reply.
func (f *fakeStore) apply(r table.Request) table.Reply {
	reply := table.Reply{Status: table.StatusOK, Time: f.time}
	for _, cond := range r.Conditions {
		row, ok := f.rows[cond.Key]
		if row.Version != cond.Version {
			reply.Status = table.StatusConflict
			if ok {
				reply.Rows = append(reply.Rows, row)
			}
		}
	}
	if reply.Status == table.StatusConflict {
		return reply
	}
	for _, w := range r.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		row := f.rows[w.Key]
		f.rows[w.Key] = table.Row{Table: w.Table, Key: w.Key, Version: row.Version + 1, Value: w.Value}
	}
	for _, g := range r.Gets {
		if row, ok := f.rows[g.Key]; ok {
			reply.Rows = append(reply.Rows, row)
		}
	}
	for range r.Scans { // ignores After and Limit, as the tests have few rows
		for _, key := range slices.Sorted(maps.Keys(f.rows)) {
			reply.Rows = append(reply.Rows, f.rows[key])
		}
	}
	return reply
}

// serve replies to the session's store requests until there are none.
func (f *fakeStore) serve(s *session) {
	for {
		s.advance(5 * time.Millisecond)
		requests := s.storeRequests()
		if len(requests) == 0 {
			return
		}
		for _, r := range requests {
			s.input(StoreReply{ID: r.ID, Reply: f.apply(r.Request)})
		}
	}
}

// storeRequests returns the store requests emitted since the last call.
func (s *session) storeRequests() []StoreRequest {
	var requests []StoreRequest
	for _, out := range s.out[s.outputsScanned:] {
		if r, ok := out.(StoreRequest); ok {
			requests = append(requests, r)
		}
	}
	s.outputsScanned = len(s.out)
	return requests
}

// record returns the claim record of a key, zero if it is missing or unreadable.
func (f *fakeStore) record(key string) claimRecord {
	record, err := decodeRecord(f.rows[key].Value)
	if err != nil {
		return claimRecord{}
	}
	return record
}
