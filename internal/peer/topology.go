package peer

import (
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

// Topology says which instances keep links to each other: ZoneMesh, FullMesh
// or RandomView.
type Topology interface {
	isTopology()
}

// ZoneMesh links every two instances of an availability zone, and a few
// bridges to each other zone.
type ZoneMesh struct{}

// FullMesh links every two instances. It is a baseline for measurements.
type FullMesh struct{}

// RandomView links each instance to Size others, spread by hashing. It is a
// baseline for measurements.
type RandomView struct {
	Size int
}

func (ZoneMesh) isTopology()   {}
func (FullMesh) isTopology()   {}
func (RandomView) isTopology() {}

// DialTargets returns the instances that this one should dial when it has no link
// to them.
func (r *Membership) DialTargets(now time.Time) []instancelist.Instance {
	var targets []instancelist.Instance
	switch t := r.topology.(type) {
	case FullMesh:
		targets = r.mine(now, r.Others())
	case RandomView:
		targets = heaviest(string(r.self), r.Others(), t.Size)
	default:
		targets = r.zoneMesh(now)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return targets
}

// mine returns those that this instance dials: of two instances the one with
// the smaller id dials, unless it leaves the other waiting.
func (r *Membership) mine(now time.Time, list []instancelist.Instance) []instancelist.Instance {
	var targets []instancelist.Instance
	for _, i := range list {
		if r.self < i.ID || now.Sub(r.members[i.ID].heard) >= dialPatience {
			targets = append(targets, i)
		}
	}
	return targets
}

// zoneMesh returns every instance of this zone and, where this one is a
// bridge, a few of another zone.
func (r *Membership) zoneMesh(now time.Time) []instancelist.Instance {
	byZone := map[instancelist.Zone][]instancelist.Instance{}
	for _, i := range r.Others() {
		byZone[i.Zone] = append(byZone[i.Zone], i)
	}
	targets := r.mine(now, byZone[r.zone])
	for zone, list := range byZone {
		if zone != r.zone && r.isBridge(zone) {
			targets = append(targets, heaviest(string(r.self), list, bridges)...)
		}
	}
	return targets
}
