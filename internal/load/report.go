package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Range of the latency histograms, in microseconds, and their precision in
// significant digits.
const (
	histogramLow    = 1
	histogramHigh   = 10 * 60 * 1e6
	histogramDigits = 3
)

// inversionMargin is the time after a call was shed within which a first token of a
// lower tier does not count as an inversion, because the grant or the first token
// may already have been in transit.
const inversionMargin = 500 * time.Millisecond

// ClassReport is the result of the calls of one class and tier.
type ClassReport struct {
	Service string      `json:"service"`
	Class   string      `json:"class"`
	Tier    domain.Tier `json:"tier"`
	Offered int         `json:"offered"`
	// Attained counts the complete, correct answers whose first token (or, for a
	// plain service, whole answer) came within the class's target.
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// FirstTokenP50MS and FirstTokenP95MS are percentiles of the time to the first
	// token (or, for a plain service, whole answer), in milliseconds, over the calls
	// that got one.
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	NotRun          int     `json:"not_run"`
	// RateLimited counts the calls in NotRun that exceeded their account's limit.
	RateLimited int `json:"rate_limited"`
	Partial     int `json:"partial"`
	Unknown     int `json:"unknown"`
	// Unfinished counts the calls that had not ended when the run did.
	Unfinished int `json:"unfinished"`
	// Codes counts the calls that did not end complete by outcome and error code,
	// sorted by these.
	Codes []CodeCount `json:"codes,omitempty"`

	latency *hdrhistogram.Histogram
}

// CodeCount is the number of calls that ended with an outcome and error code.
type CodeCount struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Count   int    `json:"count"`
}

// Report is the result of a run.
type Report struct {
	Deployment string        `json:"deployment"`
	Scenario   Scenario      `json:"scenario"`
	Baseline   Baseline      `json:"baseline"`
	Seed       uint64        `json:"seed"`
	Load       float64       `json:"load"`
	DurationS  float64       `json:"duration_s"`
	Classes    []ClassReport `json:"classes"`
	// GoodputPerS is the rate of calls that attained their target, in calls per second.
	GoodputPerS float64 `json:"goodput_per_s"`
	// WastedWorkRatio is the share of the computed answer tokens that are not part of
	// a complete answer, or were computed again. It is -1 if the engines' counters
	// were not read or show no tokens.
	WastedWorkRatio float64 `json:"wasted_work_ratio"`
	// DuplicateRuns counts the executions of non-idempotent calls after the first.
	DuplicateRuns int `json:"duplicate_runs"`
	// FalseNotRuns counts the calls that were executed though they ended as not-run.
	FalseNotRuns int `json:"false_not_runs"`
	// TierInversions counts the calls that ended as not-run, other than by their
	// account's limit, while a call of a lower tier of the same service was queued and
	// then served.
	TierInversions int `json:"tier_inversions"`
	// WrongTexts counts the complete answers whose text is not the expected one.
	WrongTexts int `json:"wrong_texts"`
}

type classKey struct {
	service domain.ServiceName
	class   domain.ClassName
	tier    domain.Tier
}

// newReport computes the report of a run from its results, without the counters of
// stand-ins.
func newReport(s *Settings, results []result) *Report {
	r := &Report{
		Deployment: s.Deployment, Scenario: s.Scenario, Baseline: s.Baseline, Seed: s.Seed,
		Load: s.Load, DurationS: s.Duration.Seconds(), WastedWorkRatio: -1,
	}
	classes := make(map[classKey]*ClassReport)
	attained := 0
	for i := range results {
		c := results[i].arrival.source.class
		key := classKey{c.Service, c.Name, c.Tier}
		if classes[key] == nil {
			classes[key] = newClassReport(key)
		}
		classes[key].add(&results[i])
		if results[i].attained() {
			attained++
		}
		if results[i].wrongText() {
			r.WrongTexts++
		}
	}
	for _, c := range classes {
		c.summarize()
		r.Classes = append(r.Classes, *c)
	}
	slices.SortFunc(r.Classes, compareClasses)
	r.GoodputPerS = float64(attained) / s.Duration.Seconds()
	r.TierInversions = countInversions(results)
	return r
}

// compareClasses orders by tier, service and class.
func compareClasses(a, b ClassReport) int {
	if a.Tier != b.Tier {
		return int(a.Tier) - int(b.Tier)
	}
	return strings.Compare(a.Service+"/"+a.Class, b.Service+"/"+b.Class)
}

func newClassReport(k classKey) *ClassReport {
	return &ClassReport{
		Service: string(k.service), Class: string(k.class), Tier: k.tier,
		latency: hdrhistogram.New(histogramLow, histogramHigh, histogramDigits),
	}
}

// add counts one call of the class.
func (c *ClassReport) add(r *result) {
	c.Offered++
	if r.attained() {
		c.Attained++
	}
	if r.firstTokenAt > 0 {
		_ = c.latency.RecordValue(min(max(r.latency().Microseconds(), histogramLow), histogramHigh))
	}
	if !r.isComplete() {
		c.addCode(r.outcome, r.code)
	}
	switch r.outcome {
	case outcomeNotRun:
		c.NotRun++
		if r.code == codeRateLimited {
			c.RateLimited++
		}
	case outcomePartial:
		c.Partial++
	case outcomeUnfinished:
		c.Unfinished++
	case outcomeComplete:
	default:
		c.Unknown++
	}
}

// addCode counts one call that did not end complete.
func (c *ClassReport) addCode(outcome, code string) {
	for i := range c.Codes {
		if c.Codes[i].Outcome == outcome && c.Codes[i].Code == code {
			c.Codes[i].Count++
			return
		}
	}
	c.Codes = append(c.Codes, CodeCount{Outcome: outcome, Code: code, Count: 1})
}

// summarize computes the figures that need all calls.
func (c *ClassReport) summarize() {
	slices.SortFunc(c.Codes, func(a, b CodeCount) int {
		return strings.Compare(a.Outcome+"/"+a.Code, b.Outcome+"/"+b.Code)
	})
	c.Attainment = float64(c.Attained) / float64(c.Offered)
	c.FirstTokenP50MS = float64(c.latency.ValueAtQuantile(50)) / 1000
	c.FirstTokenP95MS = float64(c.latency.ValueAtQuantile(95)) / 1000
}

// countInversions counts the shed calls for which there is an inversion. All calls
// that ended as not-run count as shed, except those that exceeded their account's
// limit.
func countInversions(results []result) int {
	count := 0
	for i := range results {
		shed := &results[i]
		if shed.outcome != outcomeNotRun || shed.code == codeRateLimited {
			continue
		}
		if slices.ContainsFunc(results, func(r result) bool { return isInversion(&r, shed) }) {
			count++
		}
	}
	return count
}

// isInversion reports whether served is a lower-tier call of the same service that was
// already queued when shed ended, and that got its first token more than
// inversionMargin after that.
func isInversion(served, shed *result) bool {
	servedClass, shedClass := served.arrival.source.class, shed.arrival.source.class
	if servedClass.Service != shedClass.Service || !shedClass.Tier.Higher(servedClass.Tier) {
		return false
	}
	return served.arrival.at < shed.endedAt && served.firstTokenAt > shed.endedAt+inversionMargin
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tclass\ttier\toffered\tattained\tattainment\tp50 ms\tp95 ms\tnot run\trate limited\tpartial\tunknown\tunfinished\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.3f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%d\t\n", c.Service, c.Class, c.Tier,
			c.Offered, c.Attained, c.Attainment, c.FirstTokenP50MS, c.FirstTokenP95MS,
			c.NotRun, c.RateLimited, c.Partial, c.Unknown, c.Unfinished)
	}
	err := t.Flush()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "goodput %.2f/s, wasted work %.4f, duplicate runs %d, false not-runs %d, tier inversions %d, wrong texts %d\n",
		r.GoodputPerS, r.WastedWorkRatio, r.DuplicateRuns, r.FalseNotRuns, r.TierInversions, r.WrongTexts)
	return err
}
