// Package capacity measures how the memory, messages, CPU time and store requests
// of each role grow with the number of entries, agents, accounts and calls.
// docs/CAPACITY.md multiplies the slopes by the design size. The command
// cmd/capacity runs the measurements and writes their tables.
//
// The measurements run the production decision cores and links on one machine, with
// stand-ins for the platform and the endpoints. The package keeps no state between
// measurements.
package capacity

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Measure describes a quantity that is measured at several sizes.
type Measure struct {
	// Name is the name of the table's file without its suffix.
	Name string
	// Title describes the quantity, Size what the sizes count, and Unit the unit of
	// the quantity.
	Title string
	Size  string
	Unit  string
	Sizes []int
	// Run measures the quantity once at one size.
	Run func(size int) (float64, error)
	// Deterministic reports whether the quantity depends on neither chance nor the
	// clock, so that one run at each size is enough.
	Deterministic bool
}

// All returns the measures in the order in which they run.
func All() []Measure {
	var all []Measure
	all = append(all, processMeasures()...)
	all = append(all, entryMeasures()...)
	all = append(all, callMeasures()...)
	all = append(all, agentMeasures()...)
	all = append(all, linkMeasures()...)
	all = append(all, loanMeasures()...)
	all = append(all, storeMeasures()...)
	all = append(all, byteMeasures()...)
	all = append(all, propagationMeasures()...)
	return all
}

// Point is the median of a quantity at one size, and the least and the most of all runs.
type Point struct {
	Size             int
	Median, Min, Max float64
}

// Line is a linear fit: Slope is in the measure's unit for each step of size.
type Line struct{ Slope, Intercept float64 }

// Fit returns the least-squares line through the medians of points. With a single
// size the slope is 0.
func Fit(points []Point) Line {
	var count, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x := float64(p.Size)
		count++
		sumX += x
		sumY += p.Median
		sumXX += x * x
		sumXY += x * p.Median
	}
	determinant := count*sumXX - sumX*sumX
	if determinant == 0 {
		return Line{Intercept: sumY / max(1, count)}
	}
	slope := (count*sumXY - sumX*sumY) / determinant
	return Line{Slope: slope, Intercept: (sumY - slope*sumX) / count}
}

// liveMemory returns the bytes of live heap objects and of goroutine stacks. A
// second collection frees objects that finalizers and sync.Pool keep during one.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// residentBytes returns the resident set size of this process, after free memory
// was returned to the operating system.
func residentBytes() (float64, error) {
	debug.FreeOSMemory()
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, errors.Wrap(err, "step=resident peer=self")
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0, errors.New("step=resident peer=self too few fields in /proc/self/statm")
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, errors.Wrap(err, "step=resident peer=self")
	}
	return pages * float64(os.Getpagesize()), nil
}

// cpuTime returns the user and system time that this process has used, or 0 if it
// is not available.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryGrowth returns the bytes that build adds to live memory. The value that
// build returns stays reachable until the second reading.
func memoryGrowth(build func() (any, error)) (float64, error) {
	before := liveMemory()
	built, err := build()
	if err != nil {
		return 0, err
	}
	after := liveMemory()
	runtime.KeepAlive(built)
	return after - before, nil
}

// cpuTimePerCall returns the mean CPU time of a function call in microseconds. The
// first call, with index 0, is a warm-up outside the measurement.
func cpuTimePerCall(calls int, call func(i int)) float64 {
	call(0)
	runtime.GC()
	before := cpuTime()
	for i := 1; i <= calls; i++ {
		call(i)
	}
	used := cpuTime() - before
	return float64(used) / float64(time.Microsecond) / math.Max(1, float64(calls))
}
