package entry

import (
	"encoding/json"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// recordState is the state of a keyed call in the table of claims.
type recordState string

const (
	// recordClaimed means that the call may run or have run.
	recordClaimed recordState = "claimed"
	// recordEnded means that the call has ended with the record's outcome.
	recordEnded recordState = "ended"
	// recordReleased means that it is proved that the call was not run. The row
	// stays, so that an insert that is still on its way can't take effect.
	recordReleased recordState = "released"
)

// claimOwner is the call that wrote a record. It is the token by which an entry
// knows its own write again after a lost confirmation.
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
	// TimeMS is the table service's time of the state, in Unix milliseconds.
	TimeMS  int64          `json:"time_ms"`
	Outcome domain.Outcome `json:"outcome,omitempty"`
	// Answer is that of a complete call, nil when it was too large to keep.
	Answer *storedAnswer `json:"answer,omitempty"`
}

// storedAnswer is a whole answer, for repeats of its call.
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
		panic("entry: claim record can't be encoded: " + err.Error()) // all its fields can be
	}
	return value
}

func decodeRecord(value []byte) (claimRecord, error) {
	var r claimRecord
	err := json.Unmarshal(value, &r)
	return r, err
}

// age is the time since the record's state was written, on the table service's clock.
func (r claimRecord) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.TimeMS))
}

// size estimates the memory that the answer takes, in bytes.
func (k *storedAnswer) size() int {
	if k == nil {
		return 0
	}
	size := len(k.Data)
	for _, h := range k.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
