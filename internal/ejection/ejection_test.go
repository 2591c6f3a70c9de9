package ejection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestState checks that the ejection time doubles up to its maximum, and that a success
// resets it.
func TestState(t *testing.T) {
	now := time.Unix(1000, 0)
	var s State
	assert.Assert(t, !s.Ejected(now))
	for _, duration := range []time.Duration{minDuration, 2 * minDuration, 4 * minDuration, 8 * minDuration, 16 * minDuration, maxDuration, maxDuration} {
		s.RecordFailure(now)
		assert.Assert(t, s.Ejected(now.Add(duration-1)))
		assert.Assert(t, !s.Ejected(now.Add(duration)))
		now = now.Add(duration)
	}
	s.RecordFailure(now)
	s.RecordSuccess()
	assert.Assert(t, !s.Ejected(now))
	s.RecordFailure(now)
	assert.Assert(t, !s.Ejected(now.Add(minDuration)))
}
