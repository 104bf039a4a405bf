package declaration

import (
	"google.golang.org/protobuf/proto"

	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// maxMessageBytes is the maximum encoded size of the documents in one message, which
// must fit the read buffer of a link. The limit of that buffer, wire.MaxMessageBytes,
// is far higher. A larger single document is sent alone.
const maxMessageBytes = 256 << 10

// Split divides the documents of the revisions above after, up to and including
// through, into messages of up to 256 KiB. It returns at least one message.
func Split(after, through uint64, docs []*pb.Document) []*pb.Documents {
	parts := []*pb.Documents{{After: after, Through: through}}
	size := 0
	for _, doc := range docs {
		n := proto.Size(doc)
		if size > 0 && size+n > maxMessageBytes {
			parts = append(parts, &pb.Documents{After: after, Through: through})
			size = 0
		}
		last := parts[len(parts)-1]
		last.Documents = append(last.Documents, doc)
		size += n
	}
	for i, part := range parts {
		part.Part = uint32(i)
		part.More = uint32(len(parts) - 1 - i)
	}
	return parts
}

// Joiner reassembles the messages that Split made, for one sender. The zero
// value is ready for use.
type Joiner struct {
	docs              []*pb.Document
	after             uint64
	through, nextPart uint64
}

// Add adds a part and returns all documents in one message after the last part.
// A part out of order is discarded together with the parts before it.
func (j *Joiner) Add(part *pb.Documents) (*pb.Documents, bool) {
	if part.GetPart() == 0 {
		*j = Joiner{after: part.GetAfter(), through: part.GetThrough()}
	}
	if uint64(part.GetPart()) != j.nextPart || part.GetAfter() != j.after || part.GetThrough() != j.through {
		*j = Joiner{}
		return nil, false
	}
	j.nextPart++
	j.docs = append(j.docs, part.GetDocuments()...)
	if part.GetMore() > 0 {
		return nil, false
	}
	complete := &pb.Documents{After: j.after, Through: j.through, Documents: j.docs}
	*j = Joiner{}
	return complete, true
}
