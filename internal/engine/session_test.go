package engine

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// TestStalledStepWaits stalls a step again and again while the budget allows no
// repeat: the session adds no load, and asks less and less often. Once it is
// allowed to, it sends the step again, and then gives the runner up.
func TestStalledStepWaits(t *testing.T) {
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
	again := s.Handle(now, RetryDecided{Allowed: true})
	assert.Equal(t, len(again), 1)
	sent, ok := again[0].(SendStep)
	assert.Assert(t, ok)
	assert.Equal(t, sent.Step.Epoch, runner.Epoch(1))
	now = s.Due()
	s.Handle(now, Tick{})
	given := s.Handle(now, RetryDecided{Allowed: true})
	assert.DeepEqual(t, given[0], ReportRunnerFailure{Runner: "a"})
	_, ok = given[len(given)-1].(ChoosePath)
	assert.Assert(t, ok)
}
