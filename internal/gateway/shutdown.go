package gateway

import (
	"fmt"
	"time"
)

// shutdownRetryAfter is sent with a request that this instance no longer takes. Others take it at once.
const shutdownRetryAfter = 100 * time.Millisecond

// Shutdown is when a planned stop of this instance reaches its stages.
type Shutdown struct {
	Began time.Time
	// AcceptsUntil is until when all requests are taken: clients may not know of the stop yet.
	AcceptsUntil time.Time
	// End is when requests without a whole response are cut off.
	End time.Time
}

// takes reports whether a request is served that has been read and must be answered by a deadline.
func (s Shutdown) takes(now, deadline time.Time) bool {
	return now.Before(s.AcceptsUntil) || !deadline.After(s.End)
}

// shuttingDownError reports that a request may not be answered before the end of a planned stop.
type shuttingDownError struct{ left, needed time.Duration }

func (e *shuttingDownError) Error() string {
	return fmt.Sprintf("the instance stops in %s, the request may take %s", e.left.Round(time.Millisecond), e.needed.Round(time.Millisecond))
}

// BeginShutdown begins a planned stop. From AcceptsUntil on, clients' requests that may take longer than
// to its end are rejected.
func (g *Gateway) BeginShutdown(shutdown Shutdown) { g.shutdown.Store(&shutdown) }

// takenInShutdown returns an error if a request may not be answered before the end of a planned stop.
func (g *Gateway) takenInShutdown(now time.Time, c *call) error {
	shutdown := g.shutdown.Load()
	if shutdown == nil || shutdown.takes(now, c.deadline) {
		return nil
	}
	return &shuttingDownError{left: shutdown.End.Sub(now), needed: c.remaining(now)}
}
