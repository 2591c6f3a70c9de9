package engine

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// TestStalledStepBacksOff guards against a session that adds load when all runners
// are slow. While the budget allows no retry, a stalled step is not sent again and
// the wait at least doubles. Once retries are allowed, the step is sent again, and
// after another stall the runner is abandoned.
func TestStalledStepBacksOff(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSession(SessionConfig{ID: uuid.New(), Layers: 4, Prompt: []hashmodel.Token{1}, MaxTokens: 2})
	s.Start()
	s.Handle(now, PathChosen{Path: Path{{Runner: "a", Range: runner.LayerRange{End: 4}}}})
	stall := func() {
		wait := s.Due().Sub(now)
		now = s.Due()
		assert.DeepEqual(t, s.Handle(now, Tick{}), []Action{ProposeRetry{}})
		assert.Equal(t, len(s.Handle(now, RetryDecided{Allowed: false})), 0)
		assert.Assert(t, s.Due().Sub(now) >= 2*wait)
	}
	for range 5 {
		stall()
	}
	now = s.Due()
	s.Handle(now, Tick{})
	retry := s.Handle(now, RetryDecided{Allowed: true})
	assert.Equal(t, len(retry), 1)
	sent, ok := retry[0].(SendStep)
	assert.Assert(t, ok)
	assert.Equal(t, sent.Step.Epoch, runner.Epoch(1))
	now = s.Due()
	s.Handle(now, Tick{})
	abandoned := s.Handle(now, RetryDecided{Allowed: true})
	assert.DeepEqual(t, abandoned[0], ReportRunnerFailure{Runner: "a"})
	_, ok = abandoned[len(abandoned)-1].(ChoosePath)
	assert.Assert(t, ok)
}
