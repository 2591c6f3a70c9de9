package ejection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestState ejects again and again, then succeeds once.
func TestState(t *testing.T) {
	now := time.Unix(1000, 0)
	var s State
	assert.Assert(t, !s.Out(now))
	for _, span := range []time.Duration{shortest, 2 * shortest, 4 * shortest, 8 * shortest, 16 * shortest, longest, longest} {
		s.Failed(now)
		assert.Assert(t, s.Out(now.Add(span-1)))
		assert.Assert(t, !s.Out(now.Add(span)))
		now = now.Add(span)
	}
	s.Failed(now)
	s.Succeeded()
	assert.Assert(t, !s.Out(now))
	s.Failed(now)
	assert.Assert(t, !s.Out(now.Add(shortest)))
}
