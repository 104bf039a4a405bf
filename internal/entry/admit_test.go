package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

func TestRefusedCalls(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Call)
		code   Code
	}{
		{"unknown account", func(c *Call) { c.Account = "nobody" }, CodeUnknownClass},
		{"unknown class", func(c *Call) { c.Class = "gala" }, CodeUnknownClass},
		{"class of another service", func(c *Call) { c.Service = "ticketing" }, CodeUnknownClass},
		{"unknown service", func(c *Call) { c.Service = "lift" }, CodeUnknownService},
		{"unknown model", func(c *Call) { c.Model = "other" }, CodeUnknownService},
		{"no endpoint", func(c *Call) { c.Class = "ticket" }, CodeNoEndpoint},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSession(t, newTestConfig("d1"), "d1")
			call := deskCall(1, "")
			tt.change(&call.Call)
			s.input(call)
			assert.Equal(t, s.end(1).Outcome, domain.OutcomeNotRun)
			assert.Equal(t, s.end(1).Failure.Code, tt.code)
		})
	}
}

func TestCallsRefusedWithoutConfiguration(t *testing.T) {
	s := &session{t: t, core: New(DefaultConfig())}
	s.input(deskCall(1, "kiosk"))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeNotRun)
}
