// Package table defines the requests and replies of the platform's
// transactional table service, and the host list that the platform publishes.
// It keeps no state and does no I/O: the decision cores build requests and read
// replies, and the table client in package platform sends them.
package table

import "time"

// Name is the name of a table.
type Name string

// The tables that dunlinpulley uses.
const (
	// Documents holds the current body of each declaration, keyed by "kind/name".
	Documents Name = "documents"
	// Head holds one row, "head". Its version is the newest revision, and its value
	// the record of the change that made it.
	Head Name = "head"
	// Changes holds the applied changes, keyed by change identifier.
	Changes Name = "changes"
	// Audit holds the audit trail, keyed by zero-padded revision.
	Audit Name = "audit"
	// Claims holds one row for each idempotency key of a non-idempotent call, keyed by
	// "account/key". The row names the entry and call that claimed the key. Once that
	// call has ended, it also holds the outcome and the answer.
	Claims Name = "claims"
	// Leases holds the endpoint leases and fencing numbers, keyed by endpoint. The row
	// "rate/weights" holds the earliest time of the next load from the weight store.
	Leases Name = "leases"
)

// Row is one stored row. Version starts at 1 and increases by 1 with each write of
// the key. The first write after a delete has version 1 again.
type Row struct {
	Table   Name   `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Condition requires that a row has the given version when the transaction
// runs. Version 0 requires that the row is absent.
type Condition struct {
	Table   Name   `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row, or deletes the row if Delete is set.
type Write struct {
	Table  Name   `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Get reads one row.
type Get struct {
	Table Name   `json:"table"`
	Key   string `json:"key"`
}

// Scan reads the rows of a table whose keys start with Prefix and sort after
// After, in key order.
type Scan struct {
	Table  Name   `json:"table"`
	Prefix string `json:"prefix,omitempty"`
	After  string `json:"after,omitempty"`
	// Limit is the maximum number of rows returned. Zero means 1000.
	Limit uint32 `json:"limit,omitempty"`
}

// Request is one transaction. If all conditions hold, all writes are applied
// atomically, and the reads then see their result. Otherwise nothing is written.
type Request struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
	Gets       []Get       `json:"gets,omitempty"`
	Scans      []Scan      `json:"scans,omitempty"`
}

// Status is the result of a request.
type Status uint8

// The statuses of a reply.
const (
	// StatusOK means that the transaction was committed.
	StatusOK Status = iota + 1
	// StatusConflict means that a condition failed, and nothing was written.
	StatusConflict
	// StatusUnavailable means that the service rejected the request or could not be
	// reached, and nothing was written.
	StatusUnavailable
	// StatusLost means that no reply was received: the writes may or may not have been applied.
	StatusLost
)

var statusNames = [...]string{"none", "ok", "conflict", "unavailable", "lost"}

// String returns the status in lower case.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Reply is the response to a Request.
type Reply struct {
	Status Status `json:"-"`
	// Rows holds the rows found by Gets, followed by those found by Scans. On a
	// conflict it holds the current rows of the failed conditions.
	Rows []Row `json:"rows,omitempty"`
	// Time is the service's wall-clock time. Leases and claims are timestamped by this clock.
	Time time.Time `json:"time"`
}
