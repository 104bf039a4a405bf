package entry

import (
	"encoding/json"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// recordState is the state of a keyed call in the table of claims.
type recordState string

const (
	// recordClaimed means that the call may be running or have run.
	recordClaimed recordState = "claimed"
	// recordEnded means that the call has ended with the record's outcome.
	recordEnded recordState = "ended"
	// recordReleased means that the call is proven not run. The row is not
	// deleted, so that a delayed insert of the claim can't take effect.
	recordReleased recordState = "released"
)

// claimOwner identifies the call that wrote a record. An entry uses it to
// recognise its own write after a lost reply.
type claimOwner struct {
	Entry       domain.EntryID     `json:"entry"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Call        domain.CallID      `json:"call"`
}

// claimRecord is the value of a row in the table of claims.
type claimRecord struct {
	State       recordState `json:"state"`
	Owner       claimOwner  `json:"owner"`
	Fingerprint uint64      `json:"fingerprint"`
	// TimeMS is when State was written, by the table service's clock, in Unix milliseconds.
	TimeMS  int64          `json:"time_ms"`
	Outcome domain.Outcome `json:"outcome,omitempty"`
	// Answer is the answer of a complete call, nil if it was not stored (see storeAnswer).
	Answer *storedAnswer `json:"answer,omitempty"`
}

// storedAnswer is a complete answer that is stored for repeats of its call.
type storedAnswer struct {
	Status       int      `json:"status,omitempty"`
	Headers      []Header `json:"headers,omitempty"`
	Data         []byte   `json:"data"`
	FinishReason string   `json:"finish_reason,omitempty"`
	PromptTokens uint32   `json:"prompt_tokens,omitempty"`
	AnswerTokens uint32   `json:"answer_tokens,omitempty"`
}

func (r claimRecord) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("entry: encoding a claim record: " + err.Error()) // impossible for its field types
	}
	return value
}

func decodeRecord(value []byte) (claimRecord, error) {
	var r claimRecord
	err := json.Unmarshal(value, &r)
	return r, err
}

// age returns the time since the record's state was written. Now is by the table
// service's clock.
func (r claimRecord) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.TimeMS))
}

// size estimates the memory of the answer in bytes, 0 for nil.
func (a *storedAnswer) size() int {
	if a == nil {
		return 0
	}
	size := len(a.Data)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
