package usage

import (
	"testing"
	"time"
)

// BenchmarkCount measures what a run costs on the path of its request.
func BenchmarkCount(b *testing.B) {
	r := New(Settings{Holder: "a", Window: modelWindow, Late: modelLate}, time.Hour, modelStart)
	for i := range b.N {
		r.Count(time.Hour+time.Duration(i)*time.Microsecond, AccountOf("hule930"))
	}
}
