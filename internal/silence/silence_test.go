package silence

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pacedBody sends a number of parts with a pause before each, and then ends.
type pacedBody struct {
	parts int
	pause time.Duration
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(b.pause)
	p[0] = 'x'
	return 1, nil
}

func (*pacedBody) Close() error { return nil }

// A reply that takes long is read to its end, whatever its size; one that stops is given up.
func TestOnlySilenceEndsACall(t *testing.T) {
	const limit = time.Second
	for name, c := range map[string]struct {
		wait  time.Duration // at the peer, before the reply begins
		pause time.Duration
		ended bool
	}{
		"long reply":           {pause: limit / 2},
		"stopped reply":        {pause: 2 * limit, ended: true},
		"silent at first":      {wait: 6 * limit, pause: limit / 2, ended: true},
		"long reply at a wait": {wait: 4 * limit, pause: limit / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, guard := New(context.Background(), 4*limit, limit)
				defer guard.Stop()
				time.Sleep(c.wait)
				if ctx.Err() == nil {
					guard.Heard()
				}
				_, err := io.ReadAll(guard.Body(&pacedBody{parts: 10, pause: c.pause}))
				assert.NilError(t, err)
				assert.Equal(t, ctx.Err() != nil, c.ended)
				if c.ended {
					assert.ErrorIs(t, Cause(ctx, io.EOF), ErrSilent)
				} else {
					assert.ErrorIs(t, Cause(ctx, io.EOF), io.EOF)
				}
			})
		})
	}
}
