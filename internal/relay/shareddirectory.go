package relay

import (
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// SharedDirectory is a Directory that is safe for concurrent use.
type SharedDirectory struct {
	mu        sync.Mutex
	directory *Directory
}

// NewSharedDirectory returns a SharedDirectory without peers for an instance.
func NewSharedDirectory(self deployment.InstanceID) *SharedDirectory {
	return &SharedDirectory{directory: NewDirectory(self)}
}

// SetPeers does the same as Directory.SetPeers.
func (s *SharedDirectory) SetPeers(list []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.SetPeers(list)
}

// SetReaching does the same as Directory.SetReaching.
func (s *SharedDirectory) SetReaching(now time.Time, id deployment.InstanceID, reaching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.SetReaching(now, id, reaching)
}

// SetLoad does the same as Directory.SetLoad.
func (s *SharedDirectory) SetLoad(id deployment.InstanceID, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.SetLoad(id, requests)
}

// SetLeaving does the same as Directory.SetLeaving.
func (s *SharedDirectory) SetLeaving(id deployment.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.SetLeaving(id)
}

// Begin chooses a peer and counts a request to it until ended is called. Without a peer
// it returns false.
func (s *SharedDirectory) Begin(now time.Time, zone deployment.Zone, tried map[deployment.InstanceID]bool) (peer Peer, ended func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, ok = s.directory.Choose(now, zone, tried)
	if !ok {
		return peer, func() {}, false
	}
	s.directory.Began(peer.ID)
	return peer, sync.OnceFunc(func() { s.end(peer.ID) }), true
}

func (s *SharedDirectory) end(id deployment.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Ended(id)
}
