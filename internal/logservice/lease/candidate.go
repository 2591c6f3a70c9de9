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
// renewed within TTL. A holder that was paused sees that it lapsed, and one that
// has a rival steps back.
func (h *Holder) Holds(now time.Time, g Grant) bool {
	return g.Fence != NoFence && g.Holder == h.self && now.Sub(g.Seen) < TTL && !h.rivalled(now, g)
}

func (h *Holder) rivalled(now time.Time, g Grant) bool {
	return !g.rival.IsZero() && now.Sub(g.rival) < TTL
}

// Step returns the request to append now, if any.
func (h *Holder) Step(now time.Time, f *Fold) (Request, bool) {
	g := f.Grant(h.duty)
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
	if (g.Fence != NoFence && now.Sub(g.Seen) < TTL) || h.rivalled(now, g) {
		h.vacantSince = time.Time{}
		return Request{}, false
	}
	return h.claim(now, g, f)
}

// claim asks for a vacant duty, the preferred instance first.
func (h *Holder) claim(now time.Time, g Grant, f *Fold) (Request, bool) {
	if h.vacantSince.IsZero() {
		h.vacantSince = now
	}
	patience := time.Duration(0)
	if !h.wants {
		patience += TTL
	}
	since := h.vacantSince
	unknown := f.Missed() && g.Fence == NoFence
	if unknown {
		// A holder that lives renews within TTL and is heard of, and whoever
		// made the last claim may hold the duty.
		patience += TTL + requestRetry
		if claimed := f.LastClaim(h.duty); claimed.After(since) {
			since = claimed
		}
	}
	if now.Sub(since) < patience {
		return Request{}, false
	}
	h.asked = now
	request := Request{Duty: h.duty, Holder: h.self, Replaces: g.Fence}
	if unknown {
		request.Replaces = AnyFence
	}
	return request, true
}
