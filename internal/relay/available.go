package relay

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Usable reports whether a peer that is not in tried may be chosen.
func (d *Directory) Usable(now time.Time, tried map[deployment.InstanceID]bool) bool {
	for id, state := range d.peers {
		if !tried[id] && state.usable(now) {
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

// Usable does the same as Directory.Usable.
func (s *SharedDirectory) Usable(now time.Time, tried map[deployment.InstanceID]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Usable(now, tried)
}

// CutOff does the same as Directory.CutOff.
func (s *SharedDirectory) CutOff(now time.Time, id deployment.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.CutOff(now, id)
}
