package wire

import (
	"sync"

	"google.golang.org/protobuf/proto"
)

// queue is a FIFO of the messages to be sent on one stream, limited in number and
// bytes. It is safe for concurrent use.
type queue[T proto.Message] struct {
	maxCount int
	maxBytes int

	mu    sync.Mutex
	items []T
	sizes []int
	bytes int
	// ready has a buffered value if items were added since pop last received from it.
	ready chan struct{}
}

func newQueue[T proto.Message](opts Options) *queue[T] {
	return &queue[T]{
		maxCount: opts.QueueCount,
		maxBytes: opts.QueueBytes,
		ready:    make(chan struct{}, 1),
	}
}

// push adds a message. It reports false if the message is too large or the queue is
// full. It never blocks.
func (q *queue[T]) push(m T) bool {
	size := proto.Size(m)
	if size > MaxMessageBytes {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= q.maxCount || q.bytes+size > q.maxBytes {
		return false
	}
	q.items = append(q.items, m)
	q.sizes = append(q.sizes, size)
	q.bytes += size
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// tryPop removes and returns the oldest message. It reports false if the queue is empty.
func (q *queue[T]) tryPop() (T, bool) {
	var none T
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return none, false
	}
	m := q.items[0]
	q.items[0] = none
	q.bytes -= q.sizes[0]
	q.items = q.items[1:]
	q.sizes = q.sizes[1:]
	return m, true
}

// pop removes and returns the oldest message, and waits for one if the queue is
// empty. It reports false once stop is closed.
func (q *queue[T]) pop(stop <-chan struct{}) (T, bool) {
	var none T
	for {
		select {
		case <-stop:
			return none, false
		default:
		}
		if m, ok := q.tryPop(); ok {
			return m, true
		}
		select {
		case <-stop:
			return none, false
		case <-q.ready:
		}
	}
}
