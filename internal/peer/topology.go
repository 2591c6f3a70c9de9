package peer

import (
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

// Topology selects which instances keep links to each other. It is a ZoneMesh,
// FullMesh or RandomView.
type Topology interface {
	isTopology()
}

// ZoneMesh links every two instances of an availability zone, and a few instances
// of it, its bridges, to each other zone.
type ZoneMesh struct{}

// FullMesh links every two instances. It is a baseline for measurements.
type FullMesh struct{}

// RandomView links each instance to Size others, chosen by rendezvous hashing. It
// is a baseline for measurements.
type RandomView struct {
	Size int
}

func (ZoneMesh) isTopology()   {}
func (FullMesh) isTopology()   {}
func (RandomView) isTopology() {}

// DialTargets returns the instances that this one should dial if it has no link to
// them, sorted by ID.
func (m *Membership) DialTargets(now time.Time) []instancelist.Instance {
	var targets []instancelist.Instance
	switch t := m.topology.(type) {
	case FullMesh:
		targets = m.dialedBySelf(now, m.Others())
	case RandomView:
		targets = highestWeighted(string(m.self), m.Others(), t.Size)
	default:
		targets = m.zoneMeshTargets(now)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return targets
}

// dialedBySelf returns the instances of a list that this one dials. Of two instances
// the one with the smaller ID dials, and the other only after passiveDialDelay without
// a link.
func (m *Membership) dialedBySelf(now time.Time, list []instancelist.Instance) []instancelist.Instance {
	var targets []instancelist.Instance
	for _, i := range list {
		if m.self < i.ID || now.Sub(m.members[i.ID].lastSeen) >= passiveDialDelay {
			targets = append(targets, i)
		}
	}
	return targets
}

// zoneMeshTargets returns the instances of this zone that this one dials and, for each
// zone to which it is a bridge, bridgeCount instances of that zone.
func (m *Membership) zoneMeshTargets(now time.Time) []instancelist.Instance {
	byZone := map[instancelist.Zone][]instancelist.Instance{}
	for _, i := range m.Others() {
		byZone[i.Zone] = append(byZone[i.Zone], i)
	}
	targets := m.dialedBySelf(now, byZone[m.zone])
	for zone, list := range byZone {
		if zone != m.zone && m.isBridge(zone) {
			targets = append(targets, highestWeighted(string(m.self), list, bridgeCount)...)
		}
	}
	return targets
}
