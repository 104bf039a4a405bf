package revision

import (
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// maxDeltas is the maximum number of deltas kept.
	maxDeltas = 128
	// maxSentDeltaDocuments is the maximum number of documents in a delta sent to
	// another entry. Above it a snapshot is sent.
	maxSentDeltaDocuments = 2000
)

// delta lists the documents that changed after one revision, up to and including
// another. After is 0 for a snapshot, which has no keys.
type delta struct {
	after, through domain.Revision
	keys           []declaration.Key
}

// history holds the most recent deltas, oldest first and without gaps.
type history struct{ deltas []delta }

func (h *history) add(d delta) {
	if d.after == 0 || len(d.keys) > maxSentDeltaDocuments {
		h.deltas = nil // the changes since older revisions are now unknown
		return
	}
	h.deltas = append(h.deltas, d)
	if len(h.deltas) > maxDeltas {
		h.deltas = slices.Delete(h.deltas, 0, 1)
	}
}

// changedSince returns the sorted keys of the documents that changed after a
// revision. It returns false if the history does not cover that revision or there
// are more than maxSentDeltaDocuments.
func (h *history) changedSince(after domain.Revision) ([]declaration.Key, bool) {
	if len(h.deltas) == 0 || h.deltas[0].after > after {
		return nil, false
	}
	var keys []declaration.Key
	for _, d := range h.deltas {
		if d.through > after {
			keys = append(keys, d.keys...)
		}
	}
	slices.Sort(keys)
	keys = slices.Compact(keys)
	return keys, len(keys) <= maxSentDeltaDocuments
}

func documentKeys(docs []*pb.Document) []declaration.Key {
	keys := make([]declaration.Key, 0, len(docs))
	for _, doc := range docs {
		keys = append(keys, declaration.DocumentKey(doc))
	}
	return keys
}

// documentsAfter returns the messages that bring a process from a revision to the
// one in force: a delta where the history covers it, else a snapshot.
func (c *Core) documentsAfter(after domain.Revision) []*pb.Documents {
	through := uint64(c.set.Revision())
	keys, ok := c.history.changedSince(after)
	if after == 0 || !ok {
		return declaration.Split(0, through, c.set.Documents())
	}
	var docs []*pb.Document
	for _, key := range keys {
		doc, exists := c.set.Document(key)
		if !exists {
			kind, name := key.Split()
			doc = &pb.Document{Kind: string(kind), Name: name, Revision: through}
		}
		docs = append(docs, doc)
	}
	return declaration.Split(uint64(after), through, docs)
}
