package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCacheEvents checks which events are returned from a start sequence number,
// with a publication delay and with omitted events.
func TestCacheEvents(t *testing.T) {
	var c cacheEventLog
	now := time.Unix(1000, 0)
	for i := range 10 {
		c.add(now.Add(time.Duration(i)*time.Second), uint64(i), i%2 == 1)
	}
	now = now.Add(9 * time.Second)
	for name, test := range map[string]struct {
		from int64
		lag  time.Duration
		gap  int
		want []int64
	}{
		"all":           {0, 0, 0, []int64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}},
		"from the last": {8, 0, 0, []int64{8, 9}},
		"late":          {5, 3 * time.Second, 0, []int64{5, 6}},
		"with gaps":     {0, 0, 3, []int64{1, 2, 4, 5, 7, 8}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []int64
			for _, e := range c.from(now, test.from, test.lag, test.gap) {
				got = append(got, e.Sequence)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}
