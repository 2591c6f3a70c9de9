package lease

import "time"

const (
	// TTL is how long a grant is valid after a reader last saw it renewed.
	TTL = 6 * time.Second
	// renewInterval leaves time within TTL for two lost renewals, if each attempt
	// ends within requestRetryInterval, or for one that ends with the log client's
	// append timeout of 3 s.
	renewInterval        = 2 * time.Second
	requestRetryInterval = 1 * time.Second
)

// Candidate is the state machine of one instance for one lease. It decides when to
// request the lease and when to renew it.
type Candidate struct {
	lease       Name
	self        Incarnation
	requestedAt time.Time
	// preferred is false while another instance is preferred for the lease.
	preferred bool
	// vacantSince is when the lease was first seen without a valid grant, or zero
	// while there is one.
	vacantSince time.Time
}

// NewCandidate returns the candidate self for a lease.
func NewCandidate(lease Name, self Incarnation) *Candidate {
	return &Candidate{lease: lease, self: self}
}

// SetPreferred sets whether this instance is the preferred holder. An instance that
// is not preferred does not renew the lease, and requests it only after it has been
// vacant for TTL.
func (c *Candidate) SetPreferred(preferred bool) {
	c.preferred = preferred
}

// Holds reports whether this instance holds the lease under g and has seen g granted
// or renewed within TTL. After a pause it returns false if the grant has expired. It
// also returns false for TTL after a conflicting holder was seen.
func (c *Candidate) Holds(now time.Time, g Grant) bool {
	return g.Token != NoToken && g.Holder == c.self && now.Sub(g.RenewedAt) < TTL && !c.hasConflict(now, g)
}

func (c *Candidate) hasConflict(now time.Time, g Grant) bool {
	return !g.conflictAt.IsZero() && now.Sub(g.conflictAt) < TTL
}

// Step returns the request to append now, and false if there is none.
func (c *Candidate) Step(now time.Time, state *State) (Request, bool) {
	g := state.Grant(c.lease)
	if now.Sub(c.requestedAt) < requestRetryInterval {
		return Request{}, false
	}
	if c.Holds(now, g) {
		c.vacantSince = time.Time{}
		if now.Sub(g.RenewedAt) < renewInterval || !c.preferred {
			return Request{}, false
		}
		c.requestedAt = now
		return Request{Lease: c.lease, Holder: c.self, Replaces: g.Token, Renew: true}, true
	}
	if (g.Token != NoToken && now.Sub(g.RenewedAt) < TTL) || c.hasConflict(now, g) {
		c.vacantSince = time.Time{}
		return Request{}, false
	}
	return c.acquire(now, g, state)
}

// acquire requests a vacant lease. Instances that are not preferred wait longer.
func (c *Candidate) acquire(now time.Time, g Grant, state *State) (Request, bool) {
	if c.vacantSince.IsZero() {
		c.vacantSince = now
	}
	delay := time.Duration(0)
	if !c.preferred {
		delay += TTL
	}
	since := c.vacantSince
	holderUnknown := state.HasGap() && g.Token == NoToken
	if holderUnknown {
		// This reader has missed records and does not know the holder. A preferred
		// holder renews within TTL, which this reader then sees; the grant of
		// another expires. The instance that made the last acquire request may
		// also hold the lease.
		delay += TTL + requestRetryInterval
		if acquired := state.LastAcquire(c.lease); acquired.After(since) {
			since = acquired
		}
	}
	if now.Sub(since) < delay {
		return Request{}, false
	}
	c.requestedAt = now
	request := Request{Lease: c.lease, Holder: c.self, Replaces: g.Token}
	if holderUnknown {
		request.Replaces = AnyToken
	}
	return request, true
}
