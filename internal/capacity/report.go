package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Sample runs the measure at each of its sizes, runs times or once if it is
// deterministic. Runs must be at least 1.
func (m Measure) Sample(runs int) ([]Point, error) {
	if m.Deterministic {
		runs = 1
	}
	points := make([]Point, 0, len(m.Sizes))
	for _, size := range m.Sizes {
		values := make([]float64, 0, runs)
		for range runs {
			value, err := m.Run(size)
			if err != nil {
				return nil, errors.Wrapf(err, "step=measure peer=%s size=%d", m.Name, size)
			}
			values = append(values, value)
		}
		slices.Sort(values)
		points = append(points, Point{Size: size, Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]})
	}
	return points, nil
}

// Table formats the points of a measure as text, with the load average of the
// machine at the start and, for several sizes, the linear fit.
func (m Measure) Table(points []Point, runsPerSize int, loadAvg string) string {
	var b strings.Builder
	if m.Deterministic {
		runsPerSize = 1
	}
	fmt.Fprintf(&b, "%s\nunit: %s\nruns: %d\nload average at the start: %s\n\n", m.Title, m.Unit, runsPerSize, loadAvg)
	fmt.Fprintf(&b, "%14s %14s %14s %14s\n", m.Size, "median", "least", "most")
	for _, p := range points {
		fmt.Fprintf(&b, "%14d %14s %14s %14s\n", p.Size, formatNumber(p.Median), formatNumber(p.Min), formatNumber(p.Max))
	}
	if len(points) > 1 {
		fit := Fit(points)
		fmt.Fprintf(&b, "\nslope: %s for each of %s\nintercept: %s\n", formatNumber(fit.Slope), m.Size, formatNumber(fit.Intercept))
	}
	return b.String()
}

// WriteTable runs the measure and writes its table to the file Name.txt in a
// directory.
func (m Measure) WriteTable(directory string, runs int) error {
	loadAvg := loadAverage()
	points, err := m.Sample(runs)
	if err != nil {
		return err
	}
	path := filepath.Join(directory, m.Name+".txt")
	if err := os.WriteFile(path, []byte(m.Table(points, runs, loadAvg)), 0o644); err != nil {
		return errors.Wrapf(err, "step=write peer=%s", m.Name)
	}
	return nil
}

// loadAverage returns the load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	loadavg, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(loadavg))
	return strings.Join(fields[:min(3, len(fields))], " ")
}

// formatNumber formats a value with four significant digits, or as an integer from
// 1000 on.
func formatNumber(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.4g", value)
}
