package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauseDetector(t *testing.T) {
	now := time.Unix(1000, 0)
	var d pauseDetector
	_, long := d.tick(now)
	assert.Assert(t, !long, "the first check has no previous one")
	_, long = d.tick(now.Add(pauseCheckInterval))
	assert.Assert(t, !long)
	pause, long := d.tick(now.Add(pauseCheckInterval + 4*time.Second))
	assert.Assert(t, long)
	assert.Equal(t, pause, 4*time.Second)
	_, long = d.tick(now.Add(2*pauseCheckInterval + 4*time.Second))
	assert.Assert(t, !long, "each pause is reported once")
}
