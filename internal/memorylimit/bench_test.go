package memorylimit

import (
	"bufio"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// BenchmarkHeadMemory is what the head of a request takes: one of 16 KiB with short fields, and an ordinary one.
func BenchmarkHeadMemory(b *testing.B) {
	short, begin := strings.Builder{}, "GET /x HTTP/1.1\r\nHost: h\r\n"
	for n := 0; short.Len() < 16000; n++ {
		short.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	for name, fields := range map[string]string{"short-fields": short.String(), "ordinary": strings.Repeat("X-Field: "+strings.Repeat("v", 80)+"\r\n", 10)} {
		b.Run(name, func(b *testing.B) {
			var requests []*http.Request
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(begin+fields+"\r\n"), 4096))
				if err != nil {
					b.Fatal(err)
				}
				if len(requests) < 200 {
					requests = append(requests, r)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			taken := float64(after.HeapAlloc-before.HeapAlloc) / float64(len(requests))
			b.ReportMetric(taken, "bytes/head")
			b.ReportMetric(taken/float64(strings.Count(fields, "\n")), "bytes/line")
			b.ReportMetric(float64(HeadCost(len(fields), strings.Count(fields, "\n"))), "cost/head")
			runtime.KeepAlive(requests)
		})
	}
}

// BenchmarkTake is what a small body costs with 200 others in progress.
func BenchmarkTake(b *testing.B) {
	budget := NewBudget(Divide(112<<20, 3075))
	for range 200 {
		budget.Take(0, budget.Open(0, Bodies, false), 4096)
	}
	for n := domain.Instant(0); b.Loop(); n++ {
		h := budget.Open(n, Bodies, false)
		budget.Take(n, h, 4096)
		budget.Complete(h)
		budget.Close(n, h)
	}
}
