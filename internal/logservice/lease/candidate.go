package lease

import "time"

const (
	// TTL is how long a grant is respected after it was last seen renewed.
	TTL = 6 * time.Second
	// renewInterval leaves room for two lost renewals within TTL.
	renewInterval = 2 * time.Second
	requestRetry  = 1 * time.Second
)

// Candidate decides when to ask for a duty and when to renew it.
type Candidate struct {
	duty  Name
	self  Incarnation
	asked time.Time
	// wants is false while another instance is preferred for the duty.
	wants bool
	// vacantSince is when the duty was first seen without a live holder.
	vacantSince time.Time
}

// NewCandidate returns the decider of one duty at one instance.
func NewCandidate(duty Name, self Incarnation) *Candidate {
	return &Candidate{duty: duty, self: self}
}

// SetPreferred tells the holder whether this instance is the preferred one. Another
// instance still takes the duty when nobody has for a second TTL.
func (h *Candidate) SetPreferred(preferred bool) {
	h.wants = preferred
}

// Holds reports whether this instance holds the duty and has seen its grant
// renewed within TTL. A holder that was paused sees that it lapsed, and one that
// has a rival steps back.
func (h *Candidate) Holds(now time.Time, g Grant) bool {
	return g.Token != NoToken && g.Holder == h.self && now.Sub(g.RenewedAt) < TTL && !h.rivalled(now, g)
}

func (h *Candidate) rivalled(now time.Time, g Grant) bool {
	return !g.rival.IsZero() && now.Sub(g.rival) < TTL
}

// Step returns the request to append now, if any.
func (h *Candidate) Step(now time.Time, f *State) (Request, bool) {
	g := f.Grant(h.duty)
	if now.Sub(h.asked) < requestRetry {
		return Request{}, false
	}
	if h.Holds(now, g) {
		h.vacantSince = time.Time{}
		if now.Sub(g.RenewedAt) < renewInterval || !h.wants {
			return Request{}, false
		}
		h.asked = now
		return Request{Lease: h.duty, Holder: h.self, Replaces: g.Token, Renew: true}, true
	}
	if (g.Token != NoToken && now.Sub(g.RenewedAt) < TTL) || h.rivalled(now, g) {
		h.vacantSince = time.Time{}
		return Request{}, false
	}
	return h.claim(now, g, f)
}

// claim asks for a vacant duty, the preferred instance first.
func (h *Candidate) claim(now time.Time, g Grant, f *State) (Request, bool) {
	if h.vacantSince.IsZero() {
		h.vacantSince = now
	}
	patience := time.Duration(0)
	if !h.wants {
		patience += TTL
	}
	since := h.vacantSince
	unknown := f.HasGap() && g.Token == NoToken
	if unknown {
		// A holder that lives renews within TTL and is heard of, and whoever
		// made the last claim may hold the duty.
		patience += TTL + requestRetry
		if claimed := f.LastAcquire(h.duty); claimed.After(since) {
			since = claimed
		}
	}
	if now.Sub(since) < patience {
		return Request{}, false
	}
	h.asked = now
	request := Request{Lease: h.duty, Holder: h.self, Replaces: g.Token}
	if unknown {
		request.Replaces = AnyToken
	}
	return request, true
}
