package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStandstill(t *testing.T) {
	now := time.Unix(1000, 0)
	var s standstill
	_, long := s.tick(now)
	assert.Assert(t, !long, "the first look tells nothing")
	_, long = s.tick(now.Add(standstillEvery))
	assert.Assert(t, !long)
	pause, long := s.tick(now.Add(standstillEvery + 4*time.Second))
	assert.Assert(t, long)
	assert.Equal(t, pause, 4*time.Second)
	_, long = s.tick(now.Add(2*standstillEvery + 4*time.Second))
	assert.Assert(t, !long, "each standstill is told once")
}
