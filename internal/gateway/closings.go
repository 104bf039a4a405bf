package gateway

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

// closing is why a connection was closed or a request refused for lack of memory or descriptors.
type closing uint8

const (
	closedForOther closing = iota // a connection, for a new one
	closedRefused                 // a new connection, as all others are in use
	closedHead                    // a connection in the middle of a head
	refusedHead                   // a request with a whole head
	shedBody                      // a request whose body lagged behind or came last
	refusedBody                   // a request without room for its body
	shedAnswer                    // a connection whose client did not read the answer
	refusedAnswer                 // an attempt without room for its answer
	closingCount
)

// String returns the reason as logs and metrics name it.
func (c closing) String() string {
	return [closingCount]string{"connection_for_another", "connection_refused", "head_closed", "head_refused", "body_shed", "body_refused",
		"answer_shed", "answer_refused"}[c]
}

// closings counts what was closed and refused. The log gets at most a line a second for each reason.
type closings struct {
	counts [closingCount]atomic.Int64
	logged [closingCount]int64 // used by log only
}

func (c *closings) count(reason closing) { c.counts[reason].Add(1) }

// log writes and counts what has happened since the last call.
func (c *closings) log(counters [closingCount]tally.Counter) {
	for reason := range closingCount {
		total := c.counts[reason].Load()
		n := total - c.logged[reason]
		if n == 0 {
			continue
		}
		c.logged[reason] = total
		counters[reason].Inc(n)
		klog.InfoS("memory protection", "reason", reason.String(), "count", n, "total", total)
	}
}
