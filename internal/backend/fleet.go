package backend

import (
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/ejection"
	"mulberryhead.org/mulberryhead/internal/serverlimit"
)

const (
	// missingGrace is how long an entry that was removed from the backend list may take
	// to reappear. It applies to entries removed around an outage of the list, where it
	// counts from the last failed read of the list, and to those of servers that showed
	// no sign of draining or failure, where it counts from the removal.
	missingGrace = 2 * time.Second
)

// server is the state that this instance keeps about one backend server.
type server struct {
	deployment.Backend
	ejection       ejection.State
	inFlight       int
	connections    int // of this instance: one for each request to a plain service, or of which it is the first stage
	waiting        int // requests of all instances, from its last response
	avoidUntil     time.Time
	waitUntil      time.Time                           // it has said that it wants no requests before
	suspectSince   time.Time                           // zero if it is not suspected
	suspectUntil   time.Time                           // the suspicion does not end before
	endedAt        time.Time                           // when this instance found that it has ended, zero if it is suspected for another cause
	answeredAt     time.Time                           // when it last answered a probe
	suspicions     map[deployment.InstanceID]time.Time // of other instances
	link           link
	missingSince   time.Time // zero while it is listed
	fullAt         time.Time // when the limit was last reduced, zero if it never was
	limit          float64   // on the requests of all instances, as of fullAt
	rejections     int       // consecutive
	rejectingSince time.Time // first of the consecutive rejections
	firstEvent     firstEventTime
	slowdownFactor float64 // ratio of its time for a step to the expected time, 0 if unknown
	slowdownAt     time.Time
	// target is the layer range of the last placement order. Until targetUntil the
	// backend list may still show other layers. Layers outside target get no new
	// requests until then.
	target      deployment.LayerRange
	targetUntil time.Time
	rate        serverlimit.Share // of the requests a second that the server takes
}

func (s *server) usable(now time.Time) bool {
	return !s.Draining && !s.suspected() && !now.Before(s.avoidUntil) && !s.waits(now)
}

// Fleet holds the list of backend servers and what this instance has observed of each.
// It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	servers  map[deployment.BackendID]*server
	unlisted map[deployment.BackendID]unlistedServer
	synced   bool
	outageAt time.Time // last time at which the list could not be read
	load     sharedLoad
	zone     deployment.Zone // of this instance
	// peerLimits and zoneLimits are what the others have told of servers with a limit.
	peerLimits toldLimits
	zoneLimits toldLimits
	departed   departed
	// services are those that a configuration has named, nil before AddServices.
	services     map[deployment.ServiceName]*deployment.Service
	unconfigured map[deployment.BackendID]deployment.Backend // entries of other services
	untold       []deployment.Incarnation                    // that have told this instance, and no other yet, that they leave
}

// NewFleet returns an empty fleet of an instance in a zone.
func NewFleet(zone deployment.Zone) *Fleet {
	return &Fleet{
		zone: zone, peerLimits: toldLimits{}, zoneLimits: toldLimits{}, departed: newDeparted(), unconfigured: map[deployment.BackendID]deployment.Backend{},
		servers: map[deployment.BackendID]*server{}, unlisted: map[deployment.BackendID]unlistedServer{}, load: newSharedLoad(),
	}
}

// SetInstanceCounts sets the number of instances that send requests in all zones and in
// this one, including this instance.
func (f *Fleet) SetInstanceCounts(total, inZone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.instances = max(1, total)
	f.load.instancesInZone = max(1, inZone)
}

// SnapshotLoads returns the number of requests of this instance that are in flight on each
// stage. The caller must send the result to the other instances of the zone: later load
// estimates assume that they know it.
func (f *Fleet) SnapshotLoads() StageLoads {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.reported = f.ownLoads()
	return f.load.reported
}

func (f *Fleet) ownLoads() StageLoads {
	loads := StageLoads{}
	for id, s := range f.servers {
		if s.Accelerator != "" && s.inFlight > 0 {
			loads[id] = s.inFlight
		}
	}
	return loads
}

// ZoneLoads returns the number of requests of all instances of this zone that are in flight
// on each stage, as far as they have reported them.
func (f *Fleet) ZoneLoads(now time.Time) StageLoads {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.expire(now)
	loads := f.ownLoads()
	loads.add(f.load.peerSum, 1)
	return loads
}

// SetPeerLoads stores the loads received from another instance of this zone.
func (f *Fleet) SetPeerLoads(now time.Time, instance deployment.InstanceID, loads StageLoads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.setPeer(now, instance, loads)
}

// SetZoneLoads stores the loads of all instances of another zone.
func (f *Fleet) SetZoneLoads(now time.Time, zone deployment.Zone, loads StageLoads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.setZone(now, zone, loads)
}

// Synced reports whether the backend list has been read at least once.
func (f *Fleet) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// Put adds or updates an entry. If the backend server has restarted under the same ID,
// the state kept about it is discarded. Put reports whether the entry differs from the
// known one. An entry that describes no backend server of a configured service (see Check) changes
// nothing.
func (f *Fleet) Put(entry deployment.Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.put(entry)
}

func (f *Fleet) put(entry deployment.Backend) bool {
	if f.keepAside(entry) || f.check(entry) != nil || f.superseded(entry) {
		return false
	}
	if entry.Draining {
		f.departed.add(entry.Incarnation())
	}
	// An incarnation that leaves does not come back, whatever an older copy of the list says.
	entry.Draining = f.departed.has(entry.Incarnation())
	f.restoreUnlisted(entry.ID)
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

// superseded reports whether a backend server that started later has the address of
// an entry. It removes other servers at that address that did not start later: they
// have ended, whatever their entries say.
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

// Serving reports whether an incarnation is listed and has not announced its shutdown.
func (f *Fleet) Serving(incarnation deployment.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[incarnation.Server]
	return ok && !s.Draining && s.Incarnation() == incarnation
}

// RemoveReplaced removes a backend server after another one has responded at its
// address. A later update of the backend list may add it again.
func (f *Fleet) RemoveReplaced(id deployment.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.servers, id)
}

// Remove removes an entry. Around an outage of the backend list the server may still be
// running, so it is kept until ExpireMissing removes it.
func (f *Fleet) Remove(now time.Time, id deployment.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(now, id)
}

func (f *Fleet) remove(now time.Time, id deployment.BackendID) {
	delete(f.unconfigured, id)
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
	f.recordUnlisted(now, known)
	delete(f.servers, id)
}

// Replace applies a complete snapshot of the backend list.
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
	for id := range f.unconfigured {
		if !listed[id] {
			delete(f.unconfigured, id)
		}
	}
}

// RecordListUnavailable records that the backend list could not be read.
func (f *Fleet) RecordListUnavailable(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageAt = now
}

// ExpireMissing removes the backend servers whose entries have not reappeared within
// the grace period after the last failed read of the list.
func (f *Fleet) ExpireMissing(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		if !s.missingSince.IsZero() && now.Sub(f.outageAt) >= missingGrace {
			delete(f.servers, id)
		}
	}
}

func (f *Fleet) byAddress(address deployment.Address) *server {
	for _, s := range f.servers {
		if s.Address == address {
			return s
		}
	}
	return nil
}
