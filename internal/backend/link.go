package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// contactAge is how old a contact with a server may be to be newer than the attempt to
	// connect whose failure another instance reports.
	contactAge = 500 * time.Millisecond
	// ownLinkTimeout is how long a link counts as the only fault after another instance has
	// told that its own link to the server works.
	ownLinkTimeout = 3 * time.Second
)

// link is what is known of the link from this instance to a server, apart from the state of
// the server itself.
type link struct {
	contactAt    time.Time // when this instance was last in contact with the server
	suspectSince time.Time // zero if the link is not suspected
	avoidUntil   time.Time // minimum time of the suspicion
	// told is set if the suspicion stems from other instances only.
	told bool
	// ownUntil is until when the link, not the server, is known to be at fault.
	ownUntil time.Time
	failures map[deployment.InstanceID]time.Time // of the links of other instances
}

func (l *link) suspected() bool { return !l.suspectSince.IsZero() }

// own reports whether another instance reaches the server, to which this one's link fails.
func (l *link) own(now time.Time) bool { return l.suspected() && now.Before(l.ownUntil) }

func (l *link) recentContact(now time.Time) bool {
	return !l.contactAt.IsZero() && now.Sub(l.contactAt) < contactAge
}

func (l *link) clear() {
	l.suspectSince = time.Time{}
	l.ownUntil = time.Time{}
	l.told = false
}

// mark suspects the link. It reports whether it was not suspected before.
func (l *link) mark(now time.Time, told bool) bool {
	fresh := !l.suspected()
	if fresh {
		l.suspectSince = now
	}
	l.told = told && (fresh || l.told)
	l.avoidUntil = later(l.avoidUntil, now.Add(suspectTimeout))
	return fresh
}

// recordPeerFailure records that the link of another instance failed.
func (l *link) recordPeerFailure(now time.Time, from deployment.InstanceID) {
	if l.failures == nil {
		l.failures = map[deployment.InstanceID]time.Time{}
	}
	if countSuspicion(now, l.failures, from) >= minSuspectingPeers {
		l.mark(now, true)
	}
}

// recordPeerContact records that the link of another instance works.
func (l *link) recordPeerContact(now time.Time) {
	if l.suspected() {
		l.ownUntil = now.Add(ownLinkTimeout)
	}
}

// RecordContact records that this instance has connected to a server, or has got a response
// of it. Earlier failures of other instances' links then don't count.
func (f *Fleet) RecordContact(now time.Time, id deployment.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok {
		return
	}
	s.link.contactAt = now
	clear(s.link.failures)
	if s.link.told {
		s.link.clear()
		s.link.avoidUntil = time.Time{}
	}
}

// RecordConnected records that this instance has connected to a server, by an attempt that was begun
// at a time. That also ends the suspicion of its own link, and shows that the process has not ended
// before.
func (f *Fleet) RecordConnected(now, begun time.Time, address deployment.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.byAddress(address); s != nil {
		if begun.After(s.endedAt) {
			s.clearEnd()
		}
		s.link.contactAt = now
		clear(s.link.failures)
		s.link.clear()
		s.link.avoidUntil = time.Time{}
	}
}

// ClearLinkSuspects ends the suspicions of the links to the servers of a service, as this
// instance had lost them all and has them again. What it took for ends of servers may have been
// the loss of the first links.
func (f *Fleet) ClearLinkSuspects(service deployment.ServiceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.Service != service {
			continue
		}
		s.clearEnd()
		if !s.link.told {
			s.link.clear()
			s.link.avoidUntil = time.Time{}
		}
	}
}

// ReachedByOthers reports whether another instance has told that it reaches a server, to which
// the link of this one is suspected.
func (f *Fleet) ReachedByOthers(now time.Time, id deployment.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	return ok && s.link.own(now)
}

// MarkLinkSuspect keeps a stage to which this instance can't connect out of new paths. If
// another instance reaches it, it stays out as the first stage only. MarkLinkSuspect returns
// the stage, and whether the link to it was not suspected before.
func (f *Fleet) MarkLinkSuspect(now time.Time, address deployment.Address) (deployment.BackendID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byAddress(address)
	if s == nil {
		return "", false
	}
	return s.ID, s.link.mark(now, false)
}

// suspected reports whether the server or the link to it is suspected.
func (s *server) suspected() bool { return !s.suspectSince.IsZero() || s.link.suspected() }

// outOfPaths reports whether a suspicion keeps a stage out of each place of a path.
func (s *server) outOfPaths(now time.Time) bool {
	return !s.suspectSince.IsZero() || s.link.suspected() && !s.link.own(now)
}

// suspectedSince returns since when a stage has been out of paths by a suspicion.
func (s *server) suspectedSince() time.Time {
	since := later(s.link.suspectSince, s.link.ownUntil)
	if s.suspectSince.IsZero() || s.link.suspected() && since.Before(s.suspectSince) {
		return since
	}
	return s.suspectSince
}
