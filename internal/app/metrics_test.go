package app

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	logsetup "github.com/dunlinpulley/dunlinpulley/internal/logs"
)

// smokeCalls is the number of calls that runSmokeCalls makes.
const smokeCalls = 4

// labelsByMetric holds the sorted labels of each metric, by the metric's name.
type labelsByMetric map[string][]string

// documentedMetrics reads the metrics that a section of docs/operating/metrics.md lists.
func documentedMetrics(t *testing.T, section string) labelsByMetric {
	page, err := os.ReadFile("../../docs/operating/metrics.md")
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(page), "\n## "+section+"\n")
	assert.Assert(t, found, "no section %s", section)
	rest, _, _ = strings.Cut(rest, "\n## ")
	metrics := labelsByMetric{}
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([^|]*) \\| ([^|]+) \\| ([^|]+) \\|$")
	for _, m := range row.FindAllStringSubmatch(rest, -1) {
		var labels []string
		for _, label := range regexp.MustCompile("`([a-z]+)`").FindAllStringSubmatch(m[2], -1) {
			labels = append(labels, label[1])
		}
		slices.Sort(labels)
		metrics["dunlinpulley_"+m[1]] = labels
	}
	return metrics
}

// scrapedMetrics is the merged content of the metrics pages of several processes.
type scrapedMetrics struct {
	labels labelsByMetric
	// sums holds, by the name of a series, the sum over all labels and processes.
	sums map[string]float64
}

// scrape reads the metrics pages of processes at these addresses.
func scrape(t *testing.T, addresses []string) scrapedMetrics {
	result := scrapedMetrics{labels: labelsByMetric{}, sums: map[string]float64{}}
	sample := regexp.MustCompile(`^([a-z_]+)(?:\{(.*)\})? (\S+)$`)
	label := regexp.MustCompile(`([a-z]+)="`)
	for _, address := range addresses {
		resp, err := http.Get("http://" + address + "/metrics")
		assert.NilError(t, err)
		page, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		metric := ""
		for line := range strings.Lines(string(page)) {
			line = strings.TrimSpace(line)
			if rest, ok := strings.CutPrefix(line, "# TYPE "); ok {
				metric, _, _ = strings.Cut(rest, " ")
				result.labels[metric] = nil
			}
			m := sample.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			for _, l := range label.FindAllStringSubmatch(m[2], -1) {
				if !slices.Contains(result.labels[metric], l[1]) && l[1] != "role" && l[1] != "le" {
					result.labels[metric] = append(result.labels[metric], l[1])
				}
			}
			slices.Sort(result.labels[metric])
			value, err := strconv.ParseFloat(m[3], 64)
			assert.NilError(t, err, line)
			result.sums[m[1]] += value
		}
	}
	return result
}

// lockedBuffer is a buffer that is safe for concurrent writes.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// TestMetricsAndLogs makes a few calls in an embedded deployment. It checks that
// the exported metrics are those documented for operators, and that the logs have
// one line for each call.
func TestMetricsAndLogs(t *testing.T) {
	var logs lockedBuffer
	logsetup.Configure(&logs, "test")
	defer klog.ClearLogger()
	d, err := StartDeployment(DeploymentSettings{Name: PortHuron, Entries: 2})
	assert.NilError(t, err)
	closeDeployment := sync.OnceFunc(d.Close)
	defer closeDeployment()
	assert.NilError(t, runSmokeCalls(context.Background(), io.Discard, d))
	var entries, agents []string
	for _, e := range d.Entries {
		entries = append(entries, e.CallerAddress)
	}
	for _, a := range d.Agents {
		agents = append(agents, a.AdminAddress)
	}
	// The repeated call with the same idempotency key is not run again, so that there
	// is one run less than calls.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		sums := scrape(t, entries).sums
		complete := sums["dunlinpulley_answer_seconds_count"]
		ended, offered := sums["dunlinpulley_calls_ended_total"], sums["dunlinpulley_calls_offered_total"]
		runs := scrape(t, agents).sums["dunlinpulley_runs_ended_total"]
		if complete < smokeCalls || ended < complete || ended != offered || runs < smokeCalls-1 {
			return poll.Continue("%v calls and %v runs ended, %v complete", ended, runs, complete)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	fromEntries, fromAgents := scrape(t, entries), scrape(t, agents)
	assert.DeepEqual(t, fromEntries.labels, documentedMetrics(t, "Entries"))
	assert.DeepEqual(t, fromAgents.labels, documentedMetrics(t, "Agents"))
	assert.Equal(t, fromEntries.sums["dunlinpulley_answer_seconds_count"], float64(smokeCalls))
	assert.Equal(t, fromEntries.sums["dunlinpulley_first_token_seconds_count"], 2.0) // the calls of models
	assert.Equal(t, fromAgents.sums["dunlinpulley_runs_started_total"], smokeCalls-1.0)
	closeDeployment()
	checkLogs(t, logs.data.String(), int(fromEntries.sums["dunlinpulley_calls_ended_total"]))
}

// checkLogs checks that each line consists of key=value pairs, that no event is
// logged twice, that no key or token is logged, and that as many calls ended as
// were made.
func checkLogs(t *testing.T, logs string, calls int) {
	pairs := regexp.MustCompile(`^([\w.-]+=("(\\.|[^"\\])*"|\S*) ?)+$`)
	seen := map[string]bool{}
	ended := 0
	lines := bufio.NewScanner(strings.NewReader(logs))
	for lines.Scan() {
		line := lines.Text()
		assert.Check(t, pairs.MatchString(line), line)
		assert.Check(t, !strings.Contains(line, "example-only-"), line)
		_, event, _ := strings.Cut(line, " ") // without its timestamp
		assert.Check(t, !seen[event], "logged twice: %s", line)
		seen[event] = true
		if strings.Contains(line, `msg="call ended"`) {
			ended++
		}
	}
	assert.Equal(t, ended, calls)
}

// TestAttainment checks that a call attains its target only if it is complete and
// within its class's latency target.
func TestAttainment(t *testing.T) {
	const target, late = time.Second, 2 * time.Second
	complete, partial := entry.CallerEnd{Outcome: domain.OutcomeComplete}, entry.CallerEnd{Outcome: domain.OutcomePartial}
	tests := []struct {
		kind       domain.ServiceKind
		firstToken time.Duration
		end        entry.CallerEnd
		attained   bool
	}{
		{domain.ServiceModel, target, complete, true},
		{domain.ServiceModel, target + 1, complete, false},
		{domain.ServiceModel, target, partial, false},
		{domain.ServicePlain, target, complete, false}, // the target is for the whole answer
	}
	for _, tt := range tests {
		c := openCall{kind: tt.kind, class: domain.Class{FirstToken: target}, firstToken: tt.firstToken}
		assert.Equal(t, c.attained(tt.end, late), tt.attained, "%+v", tt)
	}
}
