package relay

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Reaching reports whether a peer is known to reach backend servers and may be chosen.
func (d *Directory) Reaching(now time.Time) bool {
	for _, state := range d.peers {
		if state.usable(now) && state.reachNow(now) == reachesServers {
			return true
		}
	}
	return false
}

// CutOff reports whether a peer is known not to reach backend servers.
func (d *Directory) CutOff(now time.Time, id deployment.InstanceID) bool {
	state, ok := d.peers[id]
	return ok && state.reachNow(now) == cutOff
}

// Reaching does the same as Directory.Reaching.
func (s *SharedDirectory) Reaching(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Reaching(now)
}

// CutOff does the same as Directory.CutOff.
func (s *SharedDirectory) CutOff(now time.Time, id deployment.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.CutOff(now, id)
}
