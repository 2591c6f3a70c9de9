package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// peerLoadMaxAge is how long the loads received from another instance or zone are used.
const peerLoadMaxAge = 2 * time.Second

// StageLoads are numbers of requests in flight by backend server.
type StageLoads map[deployment.BackendID]int

// Total returns the sum of the loads.
func (l StageLoads) Total() int {
	total := 0
	for _, requests := range l {
		total += requests
	}
	return total
}

// sharedLoad is what the other instances have in flight on each stage, as they report it:
// each instance of this zone by itself, and all instances of another zone as one sum.
// othersOn also estimates what has not been reported yet: after a zone or a stage fails, all
// instances reroute its requests at the same moment, and each sees only its own.
type sharedLoad struct {
	instances       int        // of all zones, including this one
	instancesInZone int        // including this one
	reported        StageLoads // own as of the last snapshot for the other instances
	peers           map[deployment.InstanceID]timedLoads
	zones           map[deployment.Zone]timedLoads
	// peerSum is the sum over peers, and zoneSum over zones, without those that are too old.
	peerSum StageLoads
	zoneSum StageLoads
}

type timedLoads struct {
	loads StageLoads
	at    time.Time
}

func newSharedLoad() sharedLoad {
	return sharedLoad{
		instances: 1, instancesInZone: 1, reported: StageLoads{},
		peers: map[deployment.InstanceID]timedLoads{}, zones: map[deployment.Zone]timedLoads{},
		peerSum: StageLoads{}, zoneSum: StageLoads{},
	}
}

// add adds the loads of other, factor times.
func (l StageLoads) add(other StageLoads, factor int) {
	for id, count := range other {
		l[id] += factor * count
		if l[id] == 0 {
			delete(l, id)
		}
	}
}

func (l *sharedLoad) setPeer(now time.Time, instance deployment.InstanceID, loads StageLoads) {
	l.peerSum.add(l.peers[instance].loads, -1)
	l.peerSum.add(loads, 1)
	l.peers[instance] = timedLoads{loads: loads, at: now}
}

func (l *sharedLoad) setZone(now time.Time, zone deployment.Zone, loads StageLoads) {
	l.zoneSum.add(l.zones[zone].loads, -1)
	l.zoneSum.add(loads, 1)
	l.zones[zone] = timedLoads{loads: loads, at: now}
}

// expire removes the loads that are too old.
func (l *sharedLoad) expire(now time.Time) {
	for id, peer := range l.peers {
		if now.Sub(peer.at) > peerLoadMaxAge {
			l.peerSum.add(peer.loads, -1)
			delete(l.peers, id)
		}
	}
	for name, zone := range l.zones {
		if now.Sub(zone.at) > peerLoadMaxAge {
			l.zoneSum.add(zone.loads, -1)
			delete(l.zones, name)
		}
	}
}

// earlyRise is by how many own requests on a stage the load must have risen since the last
// snapshot to be told before the regular time.
const earlyRise = 2

// LoadsRoseMuch reports whether the requests of this instance on a stage have risen by earlyRise or
// more since SnapshotLoads.
func (f *Fleet) LoadsRoseMuch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		if s.Accelerator != "" && s.inFlight >= f.load.reported[id]+earlyRise {
			return true
		}
	}
	return false
}

// othersOn estimates the requests of the other instances on a stage, where this instance
// has own requests. Instances of this zone without a recent report are assumed to have the
// mean load of those with one. Each other instance of the zone is assumed to have added as
// many requests as this one since its last snapshot, without the first: one more request is
// what a steady load brings.
func (l *sharedLoad) othersOn(id deployment.BackendID, own int) int {
	sum := l.peerSum[id]
	others := l.instancesInZone - 1
	if reporting := len(l.peers); reporting > 0 && others > reporting {
		sum += sum * (others - reporting) / reporting
	}
	added := max(0, own-l.reported[id]-1)
	return sum + added*max(0, others) + l.zoneSum[id]
}
