package declaration_test

import (
	"bytes"
	"fmt"
	"io/fs"
	"runtime"
	"testing"
	"testing/fstest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/examples"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// FuzzRead passes YAML to Read. Documents that it accepts must encode to the same
// compact JSON again, and the settings of their accounts must resolve.
func FuzzRead(f *testing.F) {
	var allFiles []byte
	for _, name := range []string{"templates.yaml", "accounts.yaml", "endpoints.yaml", "services.yaml", "entries.yaml", "operators.yaml"} {
		data, err := fs.ReadFile(examples.FS, examples.PortHuron+"/"+name)
		assert.NilError(f, err)
		f.Add(data)
		allFiles = append(append(allFiles, data...), "---\n"...)
	}
	f.Add(allFiles)
	f.Add([]byte("kind: account\nname: a\nparameters: {x: [1]}\nlimits: &l {tokens: 1/s}\n---\n*l\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		docs, err := declaration.Read(fstest.MapFS{"a.yaml": {Data: data}})
		if err != nil {
			return
		}
		set, err := declaration.Empty().With(1, docs)
		assert.NilError(t, err)
		changes, err := set.NormalizeChanges(docs)
		assert.NilError(t, err)
		assert.Equal(t, len(changes), 0, "compact JSON is stable")
		for _, doc := range docs {
			if doc.GetKind() == string(declaration.KindAccount) {
				_, ok := set.Explain(domain.AccountID(doc.GetName()), "")
				assert.Assert(t, ok, "account %s resolves", doc.GetName())
			}
		}
	})
}

// FuzzDocument passes bodies to the decoder of messages. A body that it accepts
// must encode to the same compact JSON again, and a set must be able to hold the
// document and remove it.
func FuzzDocument(f *testing.F) {
	for _, doc := range loadExample(f, examples.PortHuron).Documents() {
		f.Add(doc.GetKind(), doc.GetName(), doc.GetBody())
	}
	f.Fuzz(func(t *testing.T, kind, name string, body []byte) {
		doc := &pb.Document{Kind: kind, Name: name, Body: body}
		decoded, err := declaration.DecodeDocument(doc)
		if err != nil {
			return
		}
		encoded, err := declaration.EncodeDocument(declaration.DocumentKey(doc), decoded)
		assert.NilError(t, err)
		redecoded, err := declaration.DecodeDocument(encoded)
		assert.NilError(t, err)
		reencoded, err := declaration.EncodeDocument(declaration.DocumentKey(doc), redecoded)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(encoded.GetBody(), reencoded.GetBody()), "compact JSON is stable")
		set, err := declaration.Empty().With(1, []*pb.Document{doc})
		assert.NilError(t, err)
		_, err = set.With(2, []*pb.Document{{Kind: kind, Name: name}})
		assert.NilError(t, err)
	})
}

const largeAccountCount = 17000

// largeSet returns the Port Huron example with 17,000 more accounts.
func largeSet(t testing.TB) *declaration.Set {
	docs := make([]*pb.Document, 0, largeAccountCount)
	for i := range largeAccountCount {
		docs = append(docs, largeAccount(i, 5))
	}
	set, err := loadExample(t, examples.PortHuron).With(2, docs)
	assert.NilError(t, err)
	return set
}

func largeAccount(i, requests int) *pb.Document {
	body := fmt.Sprintf(`{"template":"group","default-class":"itinerary","parameters":{"requests":"%d/s"},"key-hashes":["%064x"]}`, requests, i)
	return &pb.Document{Kind: string(declaration.KindAccount), Name: fmt.Sprintf("school-%05d", i), Body: []byte(body)}
}

// TestJoinerRequiresAllPartsInOrder guards against applying a set of which a part
// was lost between entries.
func TestJoinerRequiresAllPartsInOrder(t *testing.T) {
	set := largeSet(t)
	parts := declaration.Split(0, 2, set.Documents())
	assert.Assert(t, len(parts) > 5, "%d parts", len(parts))
	var joiner declaration.Joiner
	for i, part := range parts {
		// Split limits the documents of a part to 256 KiB; the message adds a few bytes for each.
		assert.Assert(t, proto.Size(part) < 1<<20)
		whole, ok := joiner.Add(part)
		assert.Equal(t, ok, i == len(parts)-1)
		if ok {
			assert.Equal(t, len(whole.GetDocuments()), len(set.Documents()))
		}
	}
	for _, skipped := range []int{0, 3, len(parts) - 2} {
		for i, part := range parts {
			if i == skipped {
				continue
			}
			_, ok := joiner.Add(part)
			assert.Assert(t, !ok, "part %d is missing", skipped)
		}
	}
}

// TestAccountCannotUseKeyOfAnother covers a change of accounts alone, which is not
// checked against all documents. The hash of another account or of an operator is
// rejected, but two accounts may exchange keys in one change.
func TestAccountCannotUseKeyOfAnother(t *testing.T) {
	set := largeSet(t)
	// The loop replaces the placeholder "2f" by the hash of the operator's token.
	for _, usedHash := range []string{fmt.Sprintf("%064x", 8), "2f"} {
		doc := largeAccount(7, 5)
		if usedHash == "2f" {
			operator, _ := set.Document("operator/alma")
			body, err := declaration.DecodeDocument(operator)
			assert.NilError(t, err)
			usedHash = body.(*declaration.Operator).TokenHash.Text
		}
		doc.Body = bytes.Replace(doc.Body, fmt.Appendf(nil, "%064x", 7), []byte(usedHash), 1)
		next, err := set.With(3, []*pb.Document{doc})
		assert.NilError(t, err)
		err = declaration.ValidateChange(set, next, []*pb.Document{doc})
		assert.ErrorContains(t, err, "want a key of its own")
	}
	swapped := []*pb.Document{largeAccount(7, 5), largeAccount(8, 5)}
	swapped[0].Body = bytes.Replace(swapped[0].Body, fmt.Appendf(nil, "%064x", 7), fmt.Appendf(nil, "%064x", 8), 1)
	swapped[1].Body = bytes.Replace(swapped[1].Body, fmt.Appendf(nil, "%064x", 8), fmt.Appendf(nil, "%064x", 7), 1)
	next, err := set.With(3, swapped)
	assert.NilError(t, err)
	assert.NilError(t, declaration.ValidateChange(set, next, swapped), "two accounts may exchange keys")
}

func TestWithLeavesOldSetUnchanged(t *testing.T) {
	old := largeSet(t)
	removed := &pb.Document{Kind: string(declaration.KindAccount), Name: "school-00008"}
	next, err := old.With(3, []*pb.Document{largeAccount(7, 9), removed})
	assert.NilError(t, err)
	before, _ := old.Account("school-00007")
	after, _ := next.Account("school-00007")
	assert.Equal(t, before.Limits.RequestsPerSecond, 5.0)
	assert.Equal(t, after.Limits.RequestsPerSecond, 9.0)
	_, had := old.Account("school-00008")
	_, has := next.Account("school-00008")
	assert.Assert(t, had && !has)
	assert.Equal(t, next.AccountCount(), old.AccountCount()-1)
}

// TestUnknownKindsAndFieldsAreKept covers documents that a later release committed:
// this release keeps their unknown fields and kinds, but rejects unknown fields in
// an operator's change.
func TestUnknownKindsAndFieldsAreKept(t *testing.T) {
	endpoint, _ := loadExample(t, examples.PortHuron).Document("endpoint/desk-01")
	later := proto.CloneOf(endpoint)
	later.Body = bytes.Replace(later.Body, []byte(`{"service"`), []byte(`{"colour":"blue","service"`), 1)
	unknown := &pb.Document{Kind: "fence", Name: "north", Body: []byte(`{"height":"2"}`)}
	set, err := loadExample(t, examples.PortHuron).With(2, []*pb.Document{later, unknown})
	assert.NilError(t, err)
	_, kept := set.Document("fence/north")
	assert.Assert(t, kept)
	drained, err := declaration.WithDesiredState(later, domain.EndpointDraining)
	assert.NilError(t, err)
	assert.Equal(t, string(drained.GetBody()), string(bytes.Replace(later.Body, []byte("serving"), []byte("draining"), 1)))
	_, err = set.NormalizeChanges([]*pb.Document{later})
	assert.ErrorContains(t, err, "colour", "an operator's unknown field is an error")
	next, err := set.With(3, []*pb.Document{drained})
	assert.NilError(t, err)
	assert.NilError(t, declaration.ValidateChange(set, next, []*pb.Document{drained}))
}

// BenchmarkFullSet makes and validates a set with many accounts.
func BenchmarkFullSet(b *testing.B) {
	docs := largeSet(b).Documents()
	for b.Loop() {
		set, err := declaration.Empty().With(2, docs)
		if err != nil {
			b.Fatal(err)
		}
		if err := declaration.ValidateChange(declaration.Empty(), set, docs); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDelta changes one of many accounts. It reports the encoded size of the
// change and the heap use of the whole test process, divided by the accounts of the set.
func BenchmarkDelta(b *testing.B) {
	set := largeSet(b)
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	changed := []*pb.Document{largeAccount(7, 9)}
	parts := declaration.Split(2, 3, changed)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		if _, err := set.With(3, changed); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(parts[0])), "wire-bytes")
	b.ReportMetric(float64(stats.HeapAlloc)/float64(largeAccountCount), "heap-bytes/account")
	runtime.KeepAlive(set)
}

// BenchmarkClass resolves a class of one of many accounts.
func BenchmarkClass(b *testing.B) {
	set := largeSet(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := set.Class("school-00007", "itinerary"); !ok {
			b.Fatal("no class")
		}
	}
}
