package metastore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// WriteFault is a fault of one write.
type WriteFault uint8

// The faults.
const (
	NoWriteFault WriteFault = iota
	LostRequest             // the write is not performed, and the connection ends without a response
	LostResponse            // the write is performed, and the connection ends without a response
	LateWrite               // as LostRequest, but the write is performed lateWriteDelay later
)

// lateWriteDelay is the delay of a LateWrite.
const lateWriteDelay = 3 * time.Second

// transaction is a request for changes of rows of one part, which are performed together if all conditions hold.
type transaction struct {
	IfRevision []struct {
		rowID
		Version int64 `json:"ver"`
	} `json:"if_revision"`
	Put []struct {
		rowID
		Value []byte `json:"value"`
	} `json:"put"`
	Remove []rowID `json:"remove"`
}

type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// id returns the row's key in Store.rows.
func (r rowID) id() string { return r.Table + "\x00" + r.Key }

// decodeTransaction decodes a request for changes. It is stricter than the platform's store, which performs nothing for
// a body with other fields and answers 200.
func decodeTransaction(body io.Reader) (transaction, error) {
	var t transaction
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return t, errors.Wrap(err, "decode transaction")
	}
	if len(t.Put)+len(t.Remove) == 0 {
		return t, errors.New("transaction without put and remove")
	}
	var rows []rowID
	for _, c := range t.IfRevision {
		rows = append(rows, c.rowID)
	}
	for _, p := range t.Put {
		rows = append(rows, p.rowID)
	}
	for _, r := range append(rows, t.Remove...) {
		// The stand-in has no rows of other parts.
		if r.Table == "" || r.Key == "" || r.Part != "" {
			return t, errors.Newf("transaction with table=%q part=%q key=%q", r.Table, r.Part, r.Key)
		}
	}
	return t, nil
}

// FailNextWrite sets the fault of the next write.
func (s *Store) FailNextWrite(f WriteFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeFault = f
}

// Value returns the value of a row; nil if there is none.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table+"\x00"+key].Value
}

// writeRows performs a transaction, or responds with 412 and the rows of its conditions if one does not hold.
func (s *Store) writeRows(w http.ResponseWriter, r *http.Request) {
	t, err := decodeTransaction(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	fault := s.writeFault
	s.writeFault = NoWriteFault
	s.mu.Unlock()
	switch fault {
	case LostResponse:
		s.perform(t)
		panic(http.ErrAbortHandler)
	case LateWrite:
		time.AfterFunc(lateWriteDelay, func() { s.perform(t) })
		panic(http.ErrAbortHandler)
	case LostRequest:
		panic(http.ErrAbortHandler)
	default:
	}
	answer, era, ok := s.perform(t)
	w.Header().Set(headerEra, strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	// Fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(answer)
}

// outcome is the answer to a transaction. Rows are the current ones of its conditions if one did not hold.
type outcome struct {
	Rows    []Row `json:"rows,omitempty"`
	Version int64 `json:"ver"`
	Now     int64 `json:"now_ms"`
}

// perform performs a transaction, whose changes get one version, and returns the answer, the era and whether the
// conditions held.
func (s *Store) perform(t transaction) (outcome, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	var rows []Row
	for _, c := range t.IfRevision {
		row, exists := s.rows[c.id()]
		if exists {
			rows = append(rows, row)
		}
		ok = ok && row.Version == c.Version
	}
	if !ok {
		return outcome{rows, s.version, s.now()}, s.era, false
	}
	s.version++
	for _, p := range t.Put {
		s.put(Row{Table: p.Table, Key: p.Key, Value: p.Value})
	}
	for _, r := range t.Remove {
		s.put(Row{Table: r.Table, Key: r.Key, Removed: true})
	}
	return outcome{Version: s.version, Now: s.now()}, s.era, true
}
