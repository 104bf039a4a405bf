// Package memorylimit decides how a gateway stays within its memory and descriptor limits: which bytes a
// request may take, which requests and connections are closed when the limits are reached, and when a new one
// is refused. It has no I/O, clock or goroutine: callers pass the time.
package memorylimit

import "time"

// Shares of the process's memory limit. The Go runtime's soft limit is 0.6 of it; live bytes have to stay below
// that one, or the garbage collector runs all the time. What is left of it, 0.07, is for the gateway's state, 6 to 8 MiB.
const (
	bytesShare  = 0.32 // request bodies and buffered answers together
	bodiesShare = 0.28
	// answersShare is 19 MiB on the smallest host, so that one answer of the largest size, 16 MiB, fits without the reserved part.
	answersShare = 0.17
	headsShare   = 0.06
	connsShare   = 0.15
	// reservedShare of the bytes is for urgent requests and small bodies only, and that of the answers for such answers.
	reservedShare = 1.0 / 8
)

const (
	// connBytes is what a connection takes while no request is in progress, with its goroutine and buffers: 18.4 KiB
	// by BenchmarkConnectionMemory of package gateway.
	connBytes = 20 << 10
	// fileDescriptors is how many descriptors the platform counts for files, and otherDescriptors those of the store's
	// client, the peers' socket, the listeners and the runtime.
	fileDescriptors, otherDescriptors = 200, 24
	// ReadinessConns bounds the connections of the readiness check.
	ReadinessConns = 32
	// MetricsConns bounds the connections of the metrics page.
	MetricsConns = 16
	// ownPageHeads bounds the heads of each of these two.
	ownPageHeads = 1 << 20
	// endpointShare is the share of the sockets that is for endpoints. A caller's request uses one connection to an
	// endpoint at a time; idle ones are closed when they are too many.
	endpointShare = 0.4
	// minConns is the least bound of connections, so that a small limit leaves a gateway that serves.
	minConns = 16
)

const (
	// SmallBytes is the size up to which a body may use the reserved part.
	SmallBytes = 64 << 10
	// lagGrace is how long a transfer may go without progress, or behind the usual rate, before it counts as stopped.
	lagGrace = 500 * time.Millisecond
	// usualRate is the rate, in bytes per second, behind which a transfer lags.
	usualRate = 1 << 20
	// stallGrace is the same for a connection.
	stallGrace = time.Second
)

// Limits bound what clients' requests and connections take. Zero means no bound.
type Limits struct {
	Bytes, Bodies, Answers int64 // bytes of bodies and answers together, and of each
	Reserved               int64 // part of Bytes and Bodies for urgent requests and small bodies
	ReservedAnswers        int64 // part of Answers for urgent requests and small answers
	Conns                  ConnLimits
	EndpointConns          int // connections to endpoints
}

// ConnLimits bound the connections of one listener. Zero means no bound.
type ConnLimits struct {
	Conns int
	Heads int64 // bytes of the heads of requests
}

// OwnPage returns the limits of the connections of the readiness check or the metrics page.
func OwnPage(conns int) ConnLimits { return ConnLimits{Conns: conns, Heads: ownPageHeads} }

// defaultAnswers bounds the buffered answers of a process without a memory limit.
const defaultAnswers = 32 << 20

// Divide derives the limits from those of the process. A limit of zero bounds nothing but the answers.
func Divide(memoryBytes int64, descriptors int) Limits {
	l := Limits{Answers: defaultAnswers}
	if memoryBytes > 0 {
		part := func(share float64) int64 { return int64(float64(memoryBytes) * share) }
		l.Bytes, l.Bodies, l.Answers = part(bytesShare), part(bodiesShare), part(answersShare)
		l.Reserved, l.ReservedAnswers = int64(float64(l.Bodies)*reservedShare), int64(float64(l.Answers)*reservedShare)
		l.Conns = ConnLimits{Conns: max(minConns, int(part(connsShare)/connBytes)), Heads: part(headsShare)}
	}
	if descriptors > 0 {
		sockets := descriptors - fileDescriptors - otherDescriptors - ReadinessConns - MetricsConns
		l.EndpointConns = max(minConns, int(float64(sockets)*endpointShare))
		callers := max(minConns, sockets-l.EndpointConns)
		if l.Conns.Conns == 0 || callers < l.Conns.Conns {
			l.Conns.Conns = callers
		}
	}
	return l
}
