// Package serverlimit keeps the requests that all instances together send to a backend
// server within the rate that the server has named.
//
// No instance decides for the others. Each one tells what it has sent in the last window
// and what the server has named, and takes for itself a part of the room that is left, as
// far as it knows. It begins with an equal part, so that instances which begin to send at
// the same moment stay within the limit together. While it wants more and room is left, its
// part grows. The parts are less than one request at a time where many instances share a
// low limit, so they are drawn at random, and expire if they aren't used.
//
// Usage: keep a Share for each server, feed it, and ask before each request:
//
//	share := &serverlimit.Share{}
//	share.Name(now, 0, 11.5)
//	share.SetOthers(serverlimit.Others{Sent: 12, Instances: 2})
//	if share.MaySend(now, random) { share.RecordArrival(now) }
//
// A Share is not safe for concurrent use. Its zero value has no limit.
package serverlimit

import (
	"math"
	"time"
)

const (
	// window is the time in which what was sent is compared with the limit.
	window = 2 * time.Second
	// grantInterval is the interval at which this instance takes its part of the room.
	grantInterval = 200 * time.Millisecond
	// pace bounds what all instances take together in a time, in multiples of the limit,
	// while each has an equal part. It leaves room for the parts that are drawn at random.
	pace = 0.8
	// partGrowth is how much this instance's part grows with each grant while it wants more
	// and more than wideRoom of the limit is left, and partDecline how much it declines
	// while less than narrowRoom is.
	partGrowth  = 1.4
	partDecline = 0.5
	wideRoom    = 0.5
	narrowRoom  = 0.25
	// permitLifetime is how long a part that is not used is kept.
	permitLifetime = time.Second
	// minPerSecond is the least rate at which a server is asked whether its limit still
	// holds, as only its answers tell.
	minPerSecond = 0.25
	// liftDelay is how long after an answer with a limit one without does not lift it, as
	// answers on different connections overtake each other.
	liftDelay = 250 * time.Millisecond
)

// Statement is what a server has said of its limit, as instances exchange it.
type Statement struct {
	PerSecond float64       // the limit last named
	NamedAge  time.Duration // since it was last named
	// Answered is set if there was an answer without a limit, LiftedAge ago.
	Answered  bool
	LiftedAge time.Duration
}

// Others is what is known of the other instances: what they have sent in the last window, as
// far as they have told, and how many there are.
type Others struct {
	Sent      float64
	Instances int
}

// Share is this instance's part of the rate of one server.
type Share struct {
	perSecond float64
	namedAt   time.Time // zero if a limit was never named
	liftedAt  time.Time
	since     time.Time // from when arrivals count: the limit was named or fell
	arrivals  []time.Time
	others    Others
	permits   []time.Time // when they were taken
	grantedAt time.Time
	part      float64 // of what is offered, 0 for an equal one
	denied    bool    // since the last grant
	deniedAt  time.Time
}

// IsLimit reports whether a number is a limit.
func IsLimit(perSecond float64) bool {
	return perSecond >= 0 && !math.IsInf(perSecond, 0) && !math.IsNaN(perSecond)
}

// Name records that the server named a limit some time ago, in requests a second. It reports
// whether the limit that is in force has changed.
func (s *Share) Name(now time.Time, age time.Duration, perSecond float64) bool {
	at := now.Add(-age)
	if !IsLimit(perSecond) || !s.namedAt.IsZero() && !at.After(s.namedAt) {
		return false
	}
	was, wasLimited := s.perSecond, s.Limited()
	s.perSecond, s.namedAt = perSecond, at
	if !wasLimited || perSecond < was {
		s.since = now
		s.permits = nil
	}
	return !wasLimited || perSecond != was
}

// Lift records that the server gave an answer without a limit some time ago. It reports
// whether that ends the limit.
func (s *Share) Lift(now time.Time, age time.Duration) bool {
	wasLimited := s.Limited()
	if at := now.Add(-age); at.After(s.liftedAt) {
		s.liftedAt = at
	}
	return wasLimited && !s.Limited()
}

// Limited reports whether a limit is in force.
func (s *Share) Limited() bool {
	return !s.namedAt.IsZero() && s.liftedAt.Sub(s.namedAt) < liftDelay
}

// PerSecond returns the limit last named.
func (s *Share) PerSecond() float64 { return s.perSecond }

// Statement returns what the server has said, and false if it never named a limit.
func (s *Share) Statement(now time.Time) (Statement, bool) {
	if s.namedAt.IsZero() {
		return Statement{}, false
	}
	statement := Statement{PerSecond: s.perSecond, NamedAge: now.Sub(s.namedAt), Answered: !s.liftedAt.IsZero()}
	if statement.Answered {
		statement.LiftedAge = now.Sub(s.liftedAt)
	}
	return statement, true
}

// Merge records what the server has said to another instance. It reports whether the limit
// in force has changed.
func (s *Share) Merge(now time.Time, told Statement) bool {
	changed := s.Name(now, told.NamedAge, told.PerSecond)
	lifted := told.Answered && s.Lift(now, told.LiftedAge)
	return changed || lifted
}

// RecordArrival records that something was sent to the server, and uses a permit if there is
// one. Without a limit it does nothing.
func (s *Share) RecordArrival(now time.Time) {
	if !s.Limited() {
		return
	}
	s.expire(now)
	s.arrivals = append(s.arrivals, now)
	if len(s.permits) > 0 {
		s.permits = s.permits[1:]
	}
}

// Sent returns how much was sent in the last window, since the limit was named or fell.
func (s *Share) Sent(now time.Time) float64 {
	s.expire(now)
	return float64(len(s.arrivals))
}

// SetOthers replaces what is known of the other instances.
func (s *Share) SetOthers(others Others) { s.others = others }

// MaySend reports whether a request may be sent now. random returns a number from 0 to 1.
func (s *Share) MaySend(now time.Time, random func() float64) bool {
	if !s.Limited() {
		return true
	}
	s.expire(now)
	s.grant(now, random)
	if len(s.permits) == 0 {
		s.denied, s.deniedAt = true, now
	}
	return len(s.permits) > 0
}

// Denied reports whether a request could not be sent lately for the limit.
func (s *Share) Denied(now time.Time) bool {
	return s.Limited() && now.Sub(s.deniedAt) < permitLifetime
}

// grant takes this instance's part of the room for the time since the last grant.
func (s *Share) grant(now time.Time, random func() float64) {
	elapsed := now.Sub(s.grantedAt)
	if elapsed < grantInterval {
		return
	}
	s.grantedAt = now
	limit := max(s.perSecond, minPerSecond)
	allowed := limit * s.windowLength(now).Seconds()
	room := allowed - s.others.Sent - float64(len(s.arrivals)+len(s.permits))
	s.adaptPart(room/allowed, elapsed)
	offered := max(0, min(room, pace*limit*min(elapsed, 2*grantInterval).Seconds()))
	whole, rest := math.Modf(offered * s.part)
	if random() < rest {
		whole++
	}
	for range int(whole) {
		s.permits = append(s.permits, now)
	}
}

// adaptPart changes this instance's part by the share of the allowed rate that is left. An
// instance that has sent nothing for a while begins with an equal part again.
func (s *Share) adaptPart(left float64, elapsed time.Duration) {
	equal := 1 / float64(1+s.others.Instances)
	switch {
	case elapsed > permitLifetime:
		s.part = equal
	case s.denied && left > wideRoom:
		s.part *= partGrowth
	case left < narrowRoom:
		s.part *= partDecline
	}
	s.part = min(1, max(equal, s.part))
	s.denied = false
}

// windowLength returns the time over which arrivals are counted. Right after a limit was
// named it is short, but allows one request.
func (s *Share) windowLength(now time.Time) time.Duration {
	return min(window, max(now.Sub(s.since), grantInterval))
}

// expire drops what was sent before the window or before the limit was named, and permits
// that were not used in time.
func (s *Share) expire(now time.Time) {
	s.arrivals = dropBefore(s.arrivals, later(now.Add(-window), s.since))
	s.permits = dropBefore(s.permits, now.Add(-permitLifetime))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dropBefore drops the times before a moment from a sorted list.
func dropBefore(times []time.Time, moment time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(moment) {
		first++
	}
	return times[first:]
}
