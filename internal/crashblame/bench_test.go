package crashblame

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRequest is what one request with two shared parts costs at a gateway of the design size: 30 requests a
// second, 860 endpoints, as many blamed parts as a ledger holds. bytes is the memory of the ledger.
func BenchmarkRequest(b *testing.B) {
	const endpoints, interval = 860, time.Second / 30
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := New(0)
	for p := range Part(maxBlames) {
		l.blame(start, p, blame{since: start, seenAt: start})
	}
	now := start
	for n := range b.N {
		now = now.Add(interval)
		parts := []Part{Part(1e6 + n%4), Part(1e7 + n%20_000)}
		if l.Admit(now, parts).Refused {
			b.Fatal("refused")
		}
		r := l.Sent(Process{Endpoint: uint32(n % endpoints), Start: 1}, parts)
		for event := range 20 {
			l.Received(now.Add(time.Duration(event)*50*time.Millisecond), r)
		}
		l.Completed(now.Add(time.Second), r)
		l.Tick(now)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes")
	runtime.KeepAlive(l)
}

// BenchmarkIdentity is what the identity of a request costs: its head, for each request, and its body, while one with the same head is
// suspected.
func BenchmarkIdentity(b *testing.B) {
	r := Request{Caller: "account-1", Method: "POST", Host: "app.example", Target: "/chat/completions", Parts: []Part{1, 2, 3}, Body: [][]byte{make([]byte, 4<<20)}}
	head := r.Head()
	b.Run("head", func(b *testing.B) {
		for b.Loop() {
			r.Head()
		}
	})
	for _, size := range []int{4 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			part := Request{Body: [][]byte{r.Body[0][:size]}}
			for b.Loop() {
				part.Part(head)
			}
		})
	}
}
