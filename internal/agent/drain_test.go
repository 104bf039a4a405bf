package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// An operator's change that was made before the last change of the endpoint's declaration
// may have been delayed. Applying it would undo the newer one.
func TestStaleOperatorChangeIsIgnored(t *testing.T) {
	s := newSession(t, 1)
	config := endpointConfig(5, domain.EndpointServing)
	config.Changed = 5
	s.input(config)
	s.input(operateMessage(entryA, "late", pb.DesiredState_DESIRED_DRAINING, 4))
	assert.Equal(t, s.core.desired.state().String(), "serving")
	s.input(operateMessage(entryA, "new", pb.DesiredState_DESIRED_DRAINING, 5))
	assert.Equal(t, s.core.desired.state().String(), "draining")
}
