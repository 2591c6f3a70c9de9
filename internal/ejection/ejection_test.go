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
	assert.Assert(t, !s.Ejected(now))
	for _, span := range []time.Duration{shortest, 2 * shortest, 4 * shortest, 8 * shortest, 16 * shortest, longest, longest} {
		s.RecordFailure(now)
		assert.Assert(t, s.Ejected(now.Add(span-1)))
		assert.Assert(t, !s.Ejected(now.Add(span)))
		now = now.Add(span)
	}
	s.RecordFailure(now)
	s.RecordSuccess()
	assert.Assert(t, !s.Ejected(now))
	s.RecordFailure(now)
	assert.Assert(t, !s.Ejected(now.Add(shortest)))
}
