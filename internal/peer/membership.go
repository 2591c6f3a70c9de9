package peer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

const (
	// bridges is the number of instances of an availability zone that keep
	// links to another one, and of links that each of them keeps there.
	bridges = 2
	// forgetAfter is when an instance that is neither listed nor heard of is
	// dropped.
	forgetAfter = 30 * time.Second
	// dialPatience is how long the instance with the greater id waits for a
	// link from the other before it dials itself.
	dialPatience = 1 * time.Second
)

type member struct {
	instance instancelist.Instance
	// listed is set while the platform's newest list names the instance.
	listed bool
	// heard is when it last gave a sign of life, or was first known.
	heard time.Time
}

// Membership knows the entry instances and decides which to keep links to. It is
// not safe for concurrent use.
type Membership struct {
	self instancelist.ID
	zone instancelist.Zone
	// topology is ZoneMesh where it is nil.
	topology Topology
	members  map[instancelist.ID]*member
}

// NewMembership returns a roster that knows only its own instance.
func NewMembership(self instancelist.ID, zone instancelist.Zone, topology Topology) *Membership {
	return &Membership{self: self, zone: zone, topology: topology, members: map[instancelist.ID]*member{}}
}

// SetListed takes the entry instances of the platform's list.
func (r *Membership) SetListed(now time.Time, list []instancelist.Instance) {
	for _, m := range r.members {
		m.listed = false
	}
	for _, i := range list {
		r.learn(now, i).listed = true
	}
}

// MergeGossip takes the instances that a peer knows. What the platform lists goes
// before it.
func (r *Membership) MergeGossip(now time.Time, list []instancelist.Instance) {
	for _, i := range list {
		if m, ok := r.members[i.ID]; ok && m.listed {
			continue
		}
		r.learn(now, i)
	}
}

func (r *Membership) learn(now time.Time, i instancelist.Instance) *member {
	m, ok := r.members[i.ID]
	if !ok || m.instance.Address != i.Address {
		m = &member{heard: now}
		r.members[i.ID] = m
	}
	m.instance = i
	return m
}

// MarkAlive notes a sign of life.
func (r *Membership) MarkAlive(now time.Time, id instancelist.ID) {
	if m, ok := r.members[id]; ok {
		m.heard = now
	}
}

// RemoveExpired drops the instances that are neither listed nor heard of.
func (r *Membership) RemoveExpired(now time.Time) {
	for id, m := range r.members {
		if !m.listed && now.Sub(m.heard) > forgetAfter {
			delete(r.members, id)
		}
	}
}

// Get returns one instance.
func (r *Membership) Get(id instancelist.ID) (instancelist.Instance, bool) {
	if m, ok := r.members[id]; ok {
		return m.instance, true
	}
	return instancelist.Instance{}, false
}

// Unlisted returns the instances that the platform's list does not name: what
// is worth telling peers again.
func (r *Membership) Unlisted() []instancelist.Instance {
	var list []instancelist.Instance
	for _, i := range r.Others() {
		if !r.members[i.ID].listed {
			list = append(list, i)
		}
	}
	return list
}

// Others returns all instances but this one, sorted by id.
func (r *Membership) Others() []instancelist.Instance {
	var list []instancelist.Instance
	for id, m := range r.members {
		if id != r.self {
			list = append(list, m.instance)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// isBridge reports whether this instance is one of its zone's bridges to
// another zone, by rendezvous hashing over the instances that it knows.
func (r *Membership) isBridge(zone instancelist.Zone) bool {
	own := []instancelist.Instance{{ID: r.self}}
	for _, i := range r.Others() {
		if i.Zone == r.zone && !i.Leaving {
			own = append(own, i)
		}
	}
	for _, i := range heaviest(string(zone), own, bridges) {
		if i.ID == r.self {
			return true
		}
	}
	return false
}

// heaviest returns the few instances with the greatest weight for an item, so
// that the links to a zone spread over its instances.
func heaviest(item string, list []instancelist.Instance, count int) []instancelist.Instance {
	sort.Slice(list, func(a, b int) bool {
		return RendezvousWeight(item, string(list[a].ID)) > RendezvousWeight(item, string(list[b].ID))
	})
	return list[:min(len(list), count)]
}

// RendezvousWeight is the rendezvous weight of a candidate for an item.
func RendezvousWeight(item, candidate string) uint64 {
	return xxhash.Sum64String(item + "\x00" + candidate)
}

// RendezvousOwner returns the candidate with the greatest rendezvous weight for an
// item, empty if there is none.
func RendezvousOwner(item string, candidates []instancelist.ID) instancelist.ID {
	best := instancelist.ID("")
	for _, c := range candidates {
		if best == "" || RendezvousWeight(item, string(c)) > RendezvousWeight(item, string(best)) {
			best = c
		}
	}
	return best
}
