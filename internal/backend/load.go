package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// peerLoadMaxAge is how long the loads received from another instance are used.
const peerLoadMaxAge = 2 * time.Second

// zoneLoad counts the in-flight requests on paths that begin in each zone: those of
// this instance, and those that other instances have reported. peerRequests also
// estimates requests that have not been reported yet: after a zone fails, all instances
// reroute its requests at the same moment, and each sees only its own.
type zoneLoad struct {
	instances int // including this one
	own       map[deployment.Zone]int
	reported  map[deployment.Zone]int // own as of the last snapshot for the other instances
	peers     map[deployment.InstanceID]peerLoad
}

type peerLoad struct {
	loads map[deployment.Zone]int
	at    time.Time
}

func newZoneLoad() zoneLoad {
	return zoneLoad{
		instances: 1, own: map[deployment.Zone]int{}, reported: map[deployment.Zone]int{},
		peers: map[deployment.InstanceID]peerLoad{},
	}
}

// snapshot returns the loads of this instance and records them as reported to the others.
func (l *zoneLoad) snapshot() map[deployment.Zone]int {
	loads := make(map[deployment.Zone]int, len(l.own))
	for zone, count := range l.own {
		loads[zone] = count
	}
	l.reported = loads
	return loads
}

func (l *zoneLoad) setPeer(now time.Time, instance deployment.InstanceID, loads map[deployment.Zone]int) {
	l.peers[instance] = peerLoad{loads: loads, at: now}
	for id, peer := range l.peers {
		if now.Sub(peer.at) > peerLoadMaxAge {
			delete(l.peers, id)
		}
	}
}

// peerRequests estimates the requests of the other instances on paths that begin in a
// zone.
// Instances without a recent report are assumed to have the mean load of those with
// one. Each other instance is assumed to have added as many requests as this one since
// its last snapshot.
func (l *zoneLoad) peerRequests(now time.Time, zone deployment.Zone) int {
	reporting, sum := 0, 0
	for _, peer := range l.peers {
		if now.Sub(peer.at) <= peerLoadMaxAge {
			reporting++
			sum += peer.loads[zone]
		}
	}
	others := l.instances - 1
	if reporting > 0 && others > reporting {
		sum += sum * (others - reporting) / reporting
	}
	added := max(0, l.own[zone]-l.reported[zone])
	return sum + added*others
}
