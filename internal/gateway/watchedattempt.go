package gateway

import (
	"hash/fnv"
	"strconv"
	"sync/atomic"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
)

// watchedAttempt is an attempt that may be blamed for the end of a backend server.
type watchedAttempt struct {
	id        poison.Attempt
	call      *call
	servers   []deployment.Backend
	interrupt func() // nil if the attempt is not interrupted when its request is held
	trial     bool
	// begun is set once the answer to the request has begun, in this attempt or before.
	begun     bool
	endedAt   time.Time                 // zero while in flight
	lastEvent atomic.Pointer[time.Time] // nil before the first event of this attempt
}

// recordEvent records that an event arrived, so that all servers of the path were running.
func (a *watchedAttempt) recordEvent(now time.Time) { a.lastEvent.Store(&now) }

// attemptID returns the identifier of a request's current attempt along its current path.
func attemptID(c *call) poison.Attempt {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.id + " " + strconv.Itoa(c.attempts) + " " + strconv.Itoa(int(c.reroutes.Load())))) // never fails
	return poison.Attempt(hash.Sum64())
}

func (a *watchedAttempt) uses(incarnation deployment.Incarnation) bool {
	for _, server := range a.servers {
		if server.Incarnation() == incarnation {
			return true
		}
	}
	return false
}
