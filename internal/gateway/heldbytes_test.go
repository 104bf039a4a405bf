package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
)

// Guards against pieces that two bodies use at a time, and bytes that are never given back: bodies of many sizes, more
// than there is room for, either come out as they were or are refused, and nothing is held in the end.
func TestHeldBytesAreIntact(t *testing.T) {
	began := time.Now()
	limits := memorylimit.Limits{Bytes: 1 << 20, Bodies: 1 << 20, Reserved: 1 << 17}
	guard := newByteGuard(limits, func() domain.Instant { return domain.Instant(time.Since(began)) }, &closings{})
	var group sync.WaitGroup
	for n := range 16 {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		group.Go(func() {
			for range 50 {
				content := bytes.Repeat([]byte{byte(n), byte(random.Uint32())}, random.IntN(200<<10))
				length := int64(len(content))
				if random.IntN(2) == 0 {
					length = -1
				}
				held := guard.open(memorylimit.Bodies, n == 0, func() {})
				err := held.readFrom(context.Background(), iotest.OneByteReader(bytes.NewReader(content[:min(100, len(content))])), -1, 1<<20)
				if err == nil {
					err = held.readFrom(context.Background(), bytes.NewReader(content[min(100, len(content)):]), length, 1<<20)
				}
				if err == nil {
					err = held.complete()
				}
				var out bytes.Buffer
				switch {
				case errors.Is(err, errNoMemory):
				case err != nil:
					t.Error(err)
				default:
					if err := held.sendTo(&out); err != nil || !bytes.Equal(out.Bytes(), content) {
						t.Errorf("%d bytes came out of %d, %v", out.Len(), len(content), err)
					}
				}
				held.close()
				held.close()
			}
		})
	}
	group.Wait()
	bodies, answers := guard.held()
	assert.Assert(t, bodies == 0 && answers == 0)
}

// Guards against large pieces for small bodies: a piece is the smallest that holds the rest.
func TestSizesOfPieces(t *testing.T) {
	for _, c := range []struct {
		size, length int64
		want         int64
	}{{100, 100, 4 << 10}, {100, -1, 4 << 10}, {9 << 10, 9 << 10, 20 << 10}, {1 << 20, 1 << 20, 1<<20 + 64<<10}} {
		guard := newByteGuard(memorylimit.Limits{}, func() domain.Instant { return 0 }, &closings{})
		held := guard.open(memorylimit.Bodies, false, nil)
		assert.NilError(t, held.readFrom(context.Background(), iotest.DataErrReader(bytes.NewReader(make([]byte, c.size))), c.length, 2<<20))
		assert.Assert(t, held.holder.Held() <= c.want, "%d bytes take %d", c.size, held.holder.Held())
	}
	guard := newByteGuard(memorylimit.Limits{}, func() domain.Instant { return 0 }, &closings{})
	err := guard.open(memorylimit.Bodies, false, nil).readFrom(context.Background(), bytes.NewReader(make([]byte, 101)), -1, 100)
	assert.Assert(t, errors.Is(err, errTooLong))
}

// BenchmarkHeldBody is what a body costs that is read and given back.
func BenchmarkHeldBody(b *testing.B) {
	began := time.Now()
	guard := newByteGuard(memorylimit.Divide(112<<20, 3075), func() domain.Instant { return domain.Instant(time.Since(began)) }, &closings{})
	content := make([]byte, 3000)
	b.ReportAllocs()
	for b.Loop() {
		held := guard.open(memorylimit.Bodies, false, nil)
		if err := held.readFrom(context.Background(), bytes.NewReader(content), int64(len(content)), 4<<20); err != nil {
			b.Fatal(err)
		}
		_ = held.complete()
		held.close()
	}
}
