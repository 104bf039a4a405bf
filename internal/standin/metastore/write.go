package metastore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
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

// transaction is a request for writes, which are performed together if the condition of each holds.
type transaction struct {
	Writes []struct {
		Table      string `json:"table"`
		Part       string `json:"part"`
		Key        string `json:"key"`
		Value      []byte `json:"value"`
		IfRevision int64  `json:"if_revision"`
	} `json:"writes"`
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

// writeRows performs the writes of a transaction, or responds with 409 if a condition does not hold.
func (s *Store) writeRows(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
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
	p, ok := s.perform(t)
	w.Header().Set(headerEra, strconv.FormatInt(p.era, 10))
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	writePage(w, p.page)
}

// eraPage is a page with the era of the store when it was made.
type eraPage struct {
	page
	era int64
}

// perform performs a transaction and reports whether its conditions held.
func (s *Store) perform(t transaction) (eraPage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	for _, write := range t.Writes {
		ok = ok && s.rows[write.Table+"\x00"+write.Key].Version == write.IfRevision
	}
	if ok {
		for _, write := range t.Writes {
			s.put(Row{Table: write.Table, Part: write.Part, Key: write.Key, Value: write.Value})
		}
	}
	return eraPage{page{Rows: []Row{}, Version: s.version, Now: s.now()}, s.era}, ok
}
