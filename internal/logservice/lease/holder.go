package lease

import "time"

const (
	// TTL is how long a grant is respected after it was last seen renewed.
	TTL = 6 * time.Second
	// renewInterval leaves room for two lost renewals within TTL.
	renewInterval = 2 * time.Second
	requestRetry  = 1 * time.Second
)

// Holder decides when to ask for a duty and when to renew it.
type Holder struct {
	duty  Duty
	self  Incarnation
	asked time.Time
	// wants is false while another instance is preferred for the duty.
	wants bool
	// vacantSince is when the duty was first seen without a live holder.
	vacantSince time.Time
}

// NewHolder returns the decider of one duty at one instance.
func NewHolder(duty Duty, self Incarnation) *Holder {
	return &Holder{duty: duty, self: self}
}

// Prefer tells the holder whether this instance is the preferred one. Another
// instance still takes the duty when nobody has for a second TTL.
func (h *Holder) Prefer(preferred bool) {
	h.wants = preferred
}

// Holds reports whether this instance holds the duty and has seen its grant
// renewed within TTL. A holder that was paused sees that it lapsed.
func (h *Holder) Holds(now time.Time, g Grant) bool {
	return g.Fence != NoFence && g.Holder == h.self && now.Sub(g.Seen) < TTL
}

// Step returns the request to append now, if any.
func (h *Holder) Step(now time.Time, g Grant) (Request, bool) {
	if now.Sub(h.asked) < requestRetry {
		return Request{}, false
	}
	if h.Holds(now, g) {
		h.vacantSince = time.Time{}
		if now.Sub(g.Seen) < renewInterval || !h.wants {
			return Request{}, false
		}
		h.asked = now
		return Request{Duty: h.duty, Holder: h.self, Replaces: g.Fence, Renew: true}, true
	}
	if g.Fence != NoFence && now.Sub(g.Seen) < TTL {
		h.vacantSince = time.Time{}
		return Request{}, false
	}
	if h.vacantSince.IsZero() {
		h.vacantSince = now
	}
	if !h.wants && now.Sub(h.vacantSince) < TTL {
		return Request{}, false
	}
	h.asked = now
	return Request{Duty: h.duty, Holder: h.self, Replaces: g.Fence}, true
}
