package experiment

import (
	"testing"

	"gotest.tools/v3/assert"
)

// inTimeTarget is the share of streams that must begin and go on within their targets.
const inTimeTarget = 0.95

// TestZoneOfManyServersAnswersInTime guards against a large zone that serves no more than a small one.
func TestZoneOfManyServersAnswersInTime(t *testing.T) {
	for _, config := range GrownZoneLoads() {
		t.Run(config.Name, func(t *testing.T) {
			t.Parallel()
			result := ZoneLoad(config)
			assert.Assert(t, result.InTimeShare() >= inTimeTarget, "%+v", result)
		})
	}
}
