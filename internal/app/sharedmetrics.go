package app

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// updateInterval is the time between two updates of the gauges.
const updateInterval = time.Second

// updateTimer schedules updates of gauges. The zero value is due at once.
type updateTimer struct{ next domain.Instant }

// due reports whether an update is due, and if so schedules the next one.
func (s *updateTimer) due(now domain.Instant) bool {
	if now < s.next {
		return false
	}
	s.next = now.Add(updateInterval)
	return true
}

// inboxGauge exports the largest number of inputs that a loop has handled in one
// iteration since the last update.
type inboxGauge struct{ gauge tally.Gauge }

func newInboxGauge(scope tally.Scope, loop string) inboxGauge {
	return inboxGauge{gauge: scope.Tagged(map[string]string{labelLoop: loop}).Gauge("inbox_length")}
}

func (g inboxGauge) update(maxBatch int) { g.gauge.Update(float64(maxBatch)) }

// linkMetrics are the metrics of a process's links of one kind.
type linkMetrics struct {
	dropped     tally.Counter
	silent      tally.Counter // links closed because the other end stopped responding
	lastDropped *uint64       // number of dropped messages at the last update
}

func newLinkMetrics(scope tally.Scope, link string) linkMetrics {
	tagged := scope.Tagged(map[string]string{labelLink: link})
	return linkMetrics{
		dropped:     tagged.Counter("messages_dropped_total"),
		silent:      tagged.Counter("links_silent_total"),
		lastDropped: new(uint64),
	}
}

// update updates the counter of dropped messages. Dropped is the total since the
// start of the process; the counter grows by the difference to the last update.
func (m linkMetrics) update(dropped uint64) {
	m.dropped.Inc(int64(dropped - *m.lastDropped))
	*m.lastDropped = dropped
}

// storeLogInterval is the minimum time between two log lines about failed requests
// to the table service.
const storeLogInterval = 10 * time.Second

// storeMonitor counts the replies of the table service and logs its failures at a
// limited rate. It is safe for concurrent use.
type storeMonitor struct {
	peer    string
	replies map[string]tally.Counter

	mu         sync.Mutex
	failures   int // since the last log line
	lastLogged time.Time
}

func newStoreMonitor(scope tally.Scope, peer string) *storeMonitor {
	m := &storeMonitor{peer: peer}
	m.replies = countersByLabel(scope, "store_replies_total", labelStatus, table.StatusOK.String(),
		table.StatusConflict.String(), table.StatusUnavailable.String(), table.StatusLost.String())
	return m
}

// recordReply counts the reply to a request, and logs a failure if a line is due.
// A conflict is not a failure.
func (m *storeMonitor) recordReply(reply table.Reply) {
	increment(m.replies, reply.Status.String())
	if reply.Status == table.StatusOK || reply.Status == table.StatusConflict {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures++
	if time.Since(m.lastLogged) < storeLogInterval {
		return
	}
	klog.InfoS("table service failed", "step", "store", "peer", m.peer, "status", reply.Status, "failures", m.failures)
	m.failures = 0
	m.lastLogged = time.Now()
}
