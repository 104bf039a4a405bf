package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

func patientCall(g *Gateway, patience time.Duration) *call {
	c := &call{
		arrived: g.started, request: Request{Patience: patience},
		route: &routing.Route{Name: "r", Target: 1500 * time.Millisecond},
	}
	g.setDeadline(c)
	return c
}

// A caller that was turned away comes back with less patience. It goes behind
// those that can still be in time, and is told sooner that there is no room.
func TestReturningCallersGoBehind(t *testing.T) {
	g := New(Settings{}, nil, nil)
	first := patientCall(g, 5*time.Second)
	returned := patientCall(g, 3*time.Second)
	assert.Equal(t, first.spent, time.Duration(0))
	assert.Equal(t, returned.spent, 2*time.Second)
	assert.Assert(t, g.inTime(first) > 0)
	assert.Assert(t, g.inTime(returned) < 0, "it can't be in time any more")
	assert.Assert(t, g.holdUntil(returned) < g.holdUntil(first))
	assert.Assert(t, g.holdUntil(returned) > domain.Instant(0))
}

// One very patient caller does not make all others seem to return for ever.
func TestOnePatientCallerIsForgotten(t *testing.T) {
	g := New(Settings{}, nil, nil)
	patientCall(g, time.Minute)
	for range 2000 {
		patientCall(g, 5*time.Second)
	}
	assert.Equal(t, patientCall(g, 5*time.Second).spent, time.Duration(0))
}
