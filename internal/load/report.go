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

// Bounds of the latency histograms, in microseconds, and their precision in digits.
const (
	histogramLow    = 1
	histogramHigh   = 10 * 60 * 1e6
	histogramDigits = 3
)

// inversionMargin is the time within which a grant or a first token may already
// have been on its way when a higher tier's call was shed.
const inversionMargin = 500 * time.Millisecond

// ClassReport is what the calls of one class of one tier got.
type ClassReport struct {
	Service string      `json:"service"`
	Class   string      `json:"class"`
	Tier    domain.Tier `json:"tier"`
	Offered int         `json:"offered"`
	// Attained counts the complete, right answers whose first token (or, of a
	// plain service, whole answer) came within the class's target.
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// FirstTokenP50MS and FirstTokenP95MS are over the calls that got a first token, in milliseconds.
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	NotRun          int     `json:"not_run"`
	// RateLimited are those not run for the account's own limit.
	RateLimited int `json:"rate_limited"`
	Partial     int `json:"partial"`
	Unknown     int `json:"unknown"`
	// Unfinished had not ended when the run did.
	Unfinished int `json:"unfinished"`
	// Codes counts the reasons of the calls that did not end complete, sorted.
	Codes []CodeCount `json:"codes,omitempty"`

	latency *hdrhistogram.Histogram
}

// CodeCount is the number of calls that ended with an outcome for a reason.
type CodeCount struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Count   int    `json:"count"`
}

// Report is what the callers of a run got.
type Report struct {
	Deployment string        `json:"deployment"`
	Scenario   Scenario      `json:"scenario"`
	Baseline   Baseline      `json:"baseline"`
	Seed       uint64        `json:"seed"`
	Load       float64       `json:"load"`
	DurationS  float64       `json:"duration_s"`
	Classes    []ClassReport `json:"classes"`
	// GoodputPerS is the rate of calls that met their target, in calls a second.
	GoodputPerS float64 `json:"goodput_per_s"`
	// WastedWorkRatio is the share of answer tokens computed that are not part of a
	// complete answer, or were computed again. It is -1 where no engine was asked.
	WastedWorkRatio float64 `json:"wasted_work_ratio"`
	// DuplicateRuns counts the runs of non-idempotent calls after the first.
	DuplicateRuns int `json:"duplicate_runs"`
	// FalseNotRuns counts the calls that were run though their caller was told not-run.
	FalseNotRuns int `json:"false_not_runs"`
	// TierInversions counts calls shed for overload while a call of a lower tier of the same
	// service that had arrived before kept its place and was served later.
	TierInversions int `json:"tier_inversions"`
	// WrongTexts counts complete answers with another text than they must have.
	WrongTexts int `json:"wrong_texts"`
}

type classKey struct {
	service domain.ServiceName
	class   domain.ClassName
	tier    domain.Tier
}

// newReport sums up results.
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

func (c *ClassReport) addCode(outcome, code string) {
	for i := range c.Codes {
		if c.Codes[i].Outcome == outcome && c.Codes[i].Code == code {
			c.Codes[i].Count++
			return
		}
	}
	c.Codes = append(c.Codes, CodeCount{Outcome: outcome, Code: code, Count: 1})
}

func (c *ClassReport) summarize() {
	slices.SortFunc(c.Codes, func(a, b CodeCount) int {
		return strings.Compare(a.Outcome+"/"+a.Code, b.Outcome+"/"+b.Code)
	})
	c.Attainment = float64(c.Attained) / float64(c.Offered)
	c.FirstTokenP50MS = float64(c.latency.ValueAtQuantile(50)) / 1000
	c.FirstTokenP95MS = float64(c.latency.ValueAtQuantile(95)) / 1000
}

// countInversions counts the calls shed while one of a lower tier kept its place.
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

// isInversion reports whether a call of a lower tier waited when another was shed, and was served later.
func isInversion(r, shed *result) bool {
	c, other := r.arrival.source.class, shed.arrival.source.class
	if c.Service != other.Service || !other.Tier.Higher(c.Tier) {
		return false
	}
	return r.arrival.at < shed.endedAt && r.firstTokenAt > shed.endedAt+inversionMargin
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
