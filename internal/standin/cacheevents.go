package standin

import (
	"net/http"
	"strconv"
	"time"
)

const maxCacheEvents = 4096

// CacheEvent says that a block of prompts came into an engine's prefix cache or
// left it. Block covers all blocks before it.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// cacheEvents keeps the last events of an engine's prefix cache.
type cacheEvents struct {
	next   int64
	events []timedCacheEvent
}

type timedCacheEvent struct {
	CacheEvent
	at time.Time
}

func (c *cacheEvents) add(now time.Time, block uint64, evicted bool) {
	c.events = append(c.events, timedCacheEvent{
		CacheEvent: CacheEvent{Sequence: c.next, Block: block, Evicted: evicted}, at: now,
	})
	c.next++
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// from returns the events from a sequence number on that are older than lag,
// without every gap-th one.
func (c *cacheEvents) from(now time.Time, sequence int64, lag time.Duration, gap int) []CacheEvent {
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
	writeJSON(w, http.StatusOK, e.cache.from(time.Now(), sequence, lag, e.faults.CacheEventGap))
}
