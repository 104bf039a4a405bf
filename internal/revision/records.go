package revision

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// headKey is the key of the only row of table.Head. Its version is the newest revision.
const headKey = "head"

// ChangeRecord identifies a committed change. It is the value of the rows of
// table.Head and table.Changes.
type ChangeRecord struct {
	Revision domain.Revision `json:"revision"`
	Change   domain.ChangeID `json:"change"`
	Operator string          `json:"who"`
	// RequestedAtMicros is the wall-clock time of the operator's request, in
	// microseconds since 1970.
	RequestedAtMicros int64 `json:"asked"`
	// Commit identifies the transaction that committed the change.
	Commit string `json:"commit"`
}

// AuditRecord is a row of the audit trail.
type AuditRecord struct {
	ChangeRecord
	// RequestedAt is the wall-clock time of the operator's request, in UTC.
	// RequestedAtMicros is the same time in microseconds.
	RequestedAt time.Time `json:"when"`
	// Operation is "apply" or the operator's order, such as "drain desk-03". It is
	// "unreadable" if the row could not be decoded.
	Operation string          `json:"operation"`
	Documents []AuditDocument `json:"documents"`
}

// AuditDocument describes what a change did to one document.
type AuditDocument struct {
	Key    declaration.Key `json:"key"`
	Action string          `json:"action"`
	// Fields lists the changed fields of a changed document, without secrets. It is
	// empty if the row would otherwise list more than maxAuditFields.
	Fields []declaration.FieldChange `json:"fields,omitempty"`
}

// The actions on documents.
const (
	ActionAdded   = "added"
	ActionChanged = "changed"
	ActionRemoved = "removed"
)

// maxAuditFields is the maximum number of fields listed in one audit row.
const maxAuditFields = 200

// documentRecord is the value of a row of table.Documents.
type documentRecord struct {
	Revision domain.Revision `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// auditKey returns the key of a revision's row in table.Audit. The padding makes
// the order of the keys that of the revisions.
func auditKey(revision domain.Revision) string { return fmt.Sprintf("%020d", uint64(revision)) }

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode a record")) // all record types can be encoded
	}
	return data
}

func decodeDocumentRow(row table.Row) (*pb.Document, error) {
	var record documentRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return nil, errors.Wrapf(err, "read document %s", row.Key)
	}
	kind, name := declaration.Key(row.Key).Split()
	return &pb.Document{Kind: string(kind), Name: name, Revision: uint64(record.Revision), Body: record.Body}, nil
}

// findHead returns the newest revision and its change from the head row among
// rows. Without a head row the revision is 0. If the value can't be decoded, only
// the revision of the record is set.
func findHead(rows []table.Row) (domain.Revision, ChangeRecord) {
	for _, row := range rows {
		if row.Table != table.Head {
			continue
		}
		var record ChangeRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			record = ChangeRecord{}
		}
		record.Revision = domain.Revision(row.Version)
		return record.Revision, record
	}
	return 0, ChangeRecord{}
}

// findChange returns the first change record among rows.
func findChange(rows []table.Row) (ChangeRecord, bool) {
	for _, row := range rows {
		var record ChangeRecord
		if row.Table == table.Changes && json.Unmarshal(row.Value, &record) == nil {
			return record, true
		}
	}
	return ChangeRecord{}, false
}

// decodeAuditRows returns the audit records among rows. A record that can't be
// decoded has the operation "unreadable" and the revision of its key.
func decodeAuditRows(rows []table.Row) []AuditRecord {
	var records []AuditRecord
	for _, row := range rows {
		if row.Table != table.Audit {
			continue
		}
		var record AuditRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			record.Operation = "unreadable"
			number, _ := strconv.ParseUint(strings.TrimLeft(row.Key, "0"), 10, 64)
			record.Revision = domain.Revision(number)
		}
		records = append(records, record)
	}
	return records
}

// describeChanges returns what a change does to each of its documents, for the
// audit trail. set is the configuration before the change.
func describeChanges(set *declaration.Set, changes []*pb.Document) []AuditDocument {
	described := make([]AuditDocument, 0, len(changes))
	remaining := maxAuditFields
	for _, doc := range changes {
		old, exists := set.Document(declaration.DocumentKey(doc))
		item := AuditDocument{Key: declaration.DocumentKey(doc), Action: ActionAdded}
		switch {
		case len(doc.GetBody()) == 0:
			item.Action = ActionRemoved
		case exists:
			item.Action = ActionChanged
			fields, err := declaration.Diff(old, doc)
			if err == nil && len(fields) <= remaining {
				item.Fields = fields
				remaining -= len(fields)
			}
		}
		described = append(described, item)
	}
	return described
}

// commitRequest returns the transaction that commits a change on top of revision
// base. It conflicts if the head is not at base or the change was committed before.
func commitRequest(base domain.Revision, record AuditRecord, docs []*pb.Document) table.Request {
	change := string(record.Change)
	request := table.Request{
		Conditions: []table.Condition{
			{Table: table.Head, Key: headKey, Version: uint64(base)},
			{Table: table.Changes, Key: change, Version: 0},
		},
		Writes: []table.Write{
			{Table: table.Head, Key: headKey, Value: encode(record.ChangeRecord)},
			{Table: table.Changes, Key: change, Value: encode(record.ChangeRecord)},
			{Table: table.Audit, Key: auditKey(record.Revision), Value: encode(record)},
		},
	}
	for _, doc := range docs {
		write := table.Write{Table: table.Documents, Key: string(declaration.DocumentKey(doc))}
		if len(doc.GetBody()) == 0 {
			write.Delete = true
		} else {
			write.Value = encode(documentRecord{Revision: record.Revision, Body: doc.GetBody()})
		}
		request.Writes = append(request.Writes, write)
	}
	return request
}
