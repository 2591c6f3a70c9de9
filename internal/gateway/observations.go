package gateway

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
)

// markSuspect keeps a stage that does not respond out of new paths, and tells the others of
// it if that is new. It reports whether it is.
func (c *Config) markSuspect(now time.Time, address deployment.Address) bool {
	id, fresh := c.Fleet.MarkSuspect(now, address)
	if fresh {
		c.OnObservation(id, backend.StageSuspected)
	}
	return fresh
}

// markUnconnected keeps a stage out of new paths to which no connection could be opened. The
// others are told only once connections to other servers work (see backend.Links). It reports
// whether the link was not suspected before.
func (c *Config) markUnconnected(now time.Time, address deployment.Address) bool {
	_, fresh := c.Fleet.MarkLinkSuspect(now, address)
	return fresh
}

// markFull records that a stage lacks capacity, and tells the others of it.
func (c *Config) markFull(now time.Time, address deployment.Address) {
	if id, ok := c.Fleet.MarkFull(now, address); ok {
		c.OnObservation(id, backend.StageRejected)
	}
}
