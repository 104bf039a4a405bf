// Package silence ends calls to a peer that sends nothing for a while. The time limit of a whole call has to be long
// enough for its reply, whose size is often not known beforehand; the time without any byte of it has not.
package silence

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSilent is the cause of a context that has ended because the peer was silent, and ErrTooLong of one that has ended
// although it was not, as the call took longer than maxCallTime.
var (
	ErrSilent  = errors.New("the peer sends nothing")
	ErrTooLong = errors.New("the call takes too long")
)

// maxCallTime limits a call beyond its wait at the peer. A reply of 8 MB takes half of it on a link of 2 Mbit/s.
const maxCallTime = time.Minute

// Guard ends the context of one call when its peer is silent. It is safe for concurrent use.
type Guard struct {
	timer, callTimer *time.Timer
	limit            time.Duration
	end              context.CancelCauseFunc
}

// New returns a context for a call and its guard, which ends it with ErrSilent, or with ErrTooLong wait and maxCallTime after
// this call. The peer may be silent for wait, the time that the call asks it to wait, and limit at first, and for limit after each
// part that has arrived. Stop must be called.
func New(ctx context.Context, wait, limit time.Duration) (context.Context, *Guard) {
	ctx, end := context.WithCancelCause(ctx)
	g := &Guard{limit: limit, end: end}
	g.timer = time.AfterFunc(wait+limit, func() { end(ErrSilent) })
	g.callTimer = time.AfterFunc(wait+maxCallTime, func() { end(ErrTooLong) })
	return ctx, g
}

// Heard records that the peer has sent something, or has taken something of a request.
func (g *Guard) Heard() { g.timer.Reset(g.limit) }

// Stop ends the context and the guard.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.callTimer.Stop()
	g.end(nil)
}

// Body returns the body of a request or a response, each part of which counts as heard.
func (g *Guard) Body(body io.ReadCloser) io.ReadCloser { return guardedBody{body, g} }

type guardedBody struct {
	io.ReadCloser
	guard *Guard
}

// Read implements io.Reader.
func (b guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.guard.Heard()
	}
	return n, err
}

// Cause returns why the context of a call that has failed ended, or the error of the call if it has not.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
