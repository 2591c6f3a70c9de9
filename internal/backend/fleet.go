package backend

import (
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/ejection"
)

const (
	// missingGrace is how long an entry that vanished around an outage of the
	// list may take to come back.
	missingGrace = 2 * time.Second
)

// server is what this instance knows of one backend server.
type server struct {
	deployment.Backend
	ejection      ejection.State
	inFlight      int
	connections   int // of this instance, one for each request that begins here
	waiting       int // requests of all instances, from its last answer
	avoidUntil    time.Time
	suspectSince  time.Time // zero where it is not suspected
	missingSince  time.Time // zero while it is listed
	fullAt        time.Time // when it last had no room, zero if ever it had
	limit         float64   // requests of this instance at that time
	refusals      int       // in a row
	refusingSince time.Time
	start         startTime
	pace          float64 // times longer than usual that it takes, 0 if not known
	paceAt        time.Time
	// ordered is what it was last ordered to hold, for as long as the list may tell
	// otherwise. Layers outside of it take nothing new.
	ordered      deployment.LayerRange
	orderedUntil time.Time
}

func (s *server) usable(now time.Time) bool {
	return !s.Draining && s.suspectSince.IsZero() && !now.Before(s.avoidUntil)
}

// Fleet is the list of backend servers with what this instance has seen of them.
// It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	servers  map[deployment.BackendID]*server
	departed map[deployment.BackendID]departure
	synced   bool
	outageAt time.Time // last time at which the list could not be read
	load     zoneLoad
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{
		servers: map[deployment.BackendID]*server{}, departed: map[deployment.BackendID]departure{}, load: newZoneLoad(),
	}
}

// SetInstanceCount tells how many instances, this one included, send requests.
func (f *Fleet) SetInstanceCount(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.instances = max(1, count)
}

// SnapshotLoads returns how many requests of this instance are under way along paths that
// begin in each zone, to be told to the others.
func (f *Fleet) SnapshotLoads() map[deployment.Zone]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load.tell()
}

// SetPeerLoads takes another instance's loads.
func (f *Fleet) SetPeerLoads(now time.Time, instance deployment.InstanceID, loads map[deployment.Zone]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.setPeer(now, instance, loads)
}

// Synced tells whether the list has been read once.
func (f *Fleet) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// Put adds or changes an entry. A new start of a backend server under an id that
// it had makes what was known of it void. It reports whether the entry differs
// from what was known.
func (f *Fleet) Put(entry deployment.Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.put(entry)
}

func (f *Fleet) put(entry deployment.Backend) bool {
	if f.superseded(entry) {
		return false
	}
	f.comeBack(entry.ID)
	known, ok := f.servers[entry.ID]
	if !ok || !known.StartedAt.Equal(entry.StartedAt) {
		f.servers[entry.ID] = &server{Backend: entry}
		return true
	}
	changed := known.Backend != entry || !known.missingSince.IsZero()
	known.Backend = entry
	known.missingSince = time.Time{}
	return changed
}

// superseded tells whether a later start has the address of an entry. Earlier starts
// that had it are dropped: they have ended, whatever their entries say.
func (f *Fleet) superseded(entry deployment.Backend) bool {
	for id, other := range f.servers {
		if other.Address != entry.Address || id == entry.ID {
			continue
		}
		if other.StartedAt.After(entry.StartedAt) {
			return true
		}
		delete(f.servers, id)
	}
	return false
}

// RemoveReplaced takes a backend server off whose address is another's by the word of who has
// it. The list may bring it back.
func (f *Fleet) RemoveReplaced(id deployment.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.servers, id)
}

// Remove takes an entry off. Around an outage of the list the backend server may
// be alive, so it stays for the time that its entry may take to come back.
func (f *Fleet) Remove(now time.Time, id deployment.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(now, id)
}

func (f *Fleet) remove(now time.Time, id deployment.BackendID) {
	known, ok := f.servers[id]
	if !ok {
		return
	}
	if !f.outageAt.IsZero() && now.Sub(f.outageAt) < missingGrace {
		if known.missingSince.IsZero() {
			known.missingSince = now
		}
		return
	}
	f.depart(now, known)
	delete(f.servers, id)
}

// Replace takes a whole reading of the list.
func (f *Fleet) Replace(now time.Time, entries []deployment.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = true
	listed := map[deployment.BackendID]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		f.put(entry)
	}
	for id := range f.servers {
		if !listed[id] {
			f.remove(now, id)
		}
	}
}

// RecordListUnavailable notes that the list could not be read.
func (f *Fleet) RecordListUnavailable(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageAt = now
}

// ExpireMissing drops the backend servers whose entries did not come back.
func (f *Fleet) ExpireMissing(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		if !s.missingSince.IsZero() && now.Sub(f.outageAt) >= missingGrace {
			delete(f.servers, id)
		}
	}
}

func (f *Fleet) at(address deployment.Address) *server {
	for _, s := range f.servers {
		if s.Address == address {
			return s
		}
	}
	return nil
}
