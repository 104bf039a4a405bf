package streamversions

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecords reports the memory of a record, and the time to add and look up one.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := NewRecords()
			for i := range Stream(n) {
				r.Add(0, Record{Stream: i * 7919, Version: 1, Left: time.Minute})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				stream := Stream(i%n) * 7919
				r.Add(0, Record{Stream: stream, Version: 1, Left: time.Minute})
				r.Version(0, stream)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/record")
		})
	}
}

// BenchmarkChoose reports the time to choose the peers that keep a stream's record.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 30, 399} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			var peers []uint64
			for i := range uint64(n) {
				peers = append(peers, i*0x9e3779b97f4a7c15)
			}
			for i := range b.N {
				Choose(Stream(i), peers, Copies)
			}
		})
	}
}
