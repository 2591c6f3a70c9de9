package standin

import (
	"net/http"
	"strconv"
	"time"
)

const maxCacheEvents = 4096

// CacheEvent reports that a prompt block was added to an engine's prefix cache
// or evicted from it. The hash in Block covers the block and all blocks before it.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// cacheEventLog keeps the last maxCacheEvents events of an engine's prefix cache.
type cacheEventLog struct {
	next   int64
	events []timedCacheEvent
}

type timedCacheEvent struct {
	CacheEvent
	at time.Time
}

func (c *cacheEventLog) add(now time.Time, block uint64, evicted bool) {
	c.events = append(c.events, timedCacheEvent{
		CacheEvent: CacheEvent{Sequence: c.next, Block: block, Evicted: evicted}, at: now,
	})
	c.next++
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// from returns the events with at least the given sequence number that are at
// least lag old. If gap is above 0, it omits events whose sequence number is a
// multiple of gap.
func (c *cacheEventLog) from(now time.Time, sequence int64, lag time.Duration, gap int) []CacheEvent {
	list := []CacheEvent{}
	for _, e := range c.events {
		missing := gap > 0 && e.Sequence%int64(gap) == 0
		if e.Sequence >= sequence && now.Sub(e.at) >= lag && !missing {
			list = append(list, e.CacheEvent)
		}
	}
	return list
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := milliseconds(e.faults.CacheEventLagMillis)
	writeJSON(w, http.StatusOK, e.cacheEvents.from(time.Now(), sequence, lag, e.faults.CacheEventGap))
}
