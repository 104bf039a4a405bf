package app

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// sampleInterval is the time between two looks at a core for the gauges.
const sampleInterval = time.Second

// sampleTimer tells when the gauges are due.
type sampleTimer struct{ next domain.Instant }

// due reports whether the interval has passed, and starts the next one.
func (s *sampleTimer) due(now domain.Instant) bool {
	if now < s.next {
		return false
	}
	s.next = now.Add(sampleInterval)
	return true
}

// inboxGauge shows the most inputs that a loop found waiting at once since the last sample.
type inboxGauge struct{ gauge tally.Gauge }

func newInboxGauge(scope tally.Scope, loop string) inboxGauge {
	return inboxGauge{gauge: scope.Tagged(map[string]string{labelLoop: loop}).Gauge("inbox_length")}
}

func (g inboxGauge) sample(most int) { g.gauge.Update(float64(most)) }

// linkMetrics are what a process counts of its links of one kind.
type linkMetrics struct {
	dropped     tally.Counter
	timedOut    tally.Counter
	lastDropped *uint64 // dropped messages counted so far
}

func newLinkMetrics(scope tally.Scope, link string) linkMetrics {
	tagged := scope.Tagged(map[string]string{labelLink: link})
	return linkMetrics{
		dropped:     tagged.Counter("messages_dropped_total"),
		timedOut:    tagged.Counter("links_silent_total"),
		lastDropped: new(uint64),
	}
}

// sample takes the number of messages dropped since the start.
func (m linkMetrics) sample(dropped uint64) {
	m.dropped.Inc(int64(dropped - *m.lastDropped))
	*m.lastDropped = dropped
}

// storeLogInterval is the least time between two log lines on failed requests to the table service.
const storeLogInterval = 10 * time.Second

// storeMonitor counts the replies of the table service, and logs failures of it
// without a line for each.
type storeMonitor struct {
	peer    string
	replies map[string]tally.Counter

	mu         sync.Mutex
	failures   int // since the last line
	lastLogged time.Time
}

func newStoreMonitor(scope tally.Scope, peer string) *storeMonitor {
	w := &storeMonitor{peer: peer}
	w.replies = countersByLabel(scope, "store_replies_total", labelStatus, table.StatusOK.String(),
		table.StatusConflict.String(), table.StatusUnavailable.String(), table.StatusLost.String())
	return w
}

// recordReply takes the reply of one request.
func (w *storeMonitor) recordReply(reply table.Reply) {
	increment(w.replies, reply.Status.String())
	if reply.Status == table.StatusOK || reply.Status == table.StatusConflict {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures++
	if time.Since(w.lastLogged) < storeLogInterval {
		return
	}
	klog.InfoS("table service failed", "step", "store", "peer", w.peer, "status", reply.Status, "failures", w.failures)
	w.failures = 0
	w.lastLogged = time.Now()
}
