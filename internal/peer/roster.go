package peer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

const (
	// linksPerZone is the number of links that an instance keeps to each other
	// availability zone.
	linksPerZone = 2
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

// Roster knows the entry instances and decides which to keep links to. It is
// not safe for concurrent use.
type Roster struct {
	self    instancelist.ID
	zone    instancelist.AvailabilityZone
	members map[instancelist.ID]*member
}

// NewRoster returns a roster that knows only its own instance.
func NewRoster(self instancelist.ID, zone instancelist.AvailabilityZone) *Roster {
	return &Roster{self: self, zone: zone, members: map[instancelist.ID]*member{}}
}

// Listed takes the entry instances of the platform's list.
func (r *Roster) Listed(now time.Time, list []instancelist.Instance) {
	for _, m := range r.members {
		m.listed = false
	}
	for _, i := range list {
		r.learn(now, i).listed = true
	}
}

// Gossiped takes the instances that a peer knows. What the platform lists goes
// before it.
func (r *Roster) Gossiped(now time.Time, list []instancelist.Instance) {
	for _, i := range list {
		if m, ok := r.members[i.ID]; ok && m.listed {
			continue
		}
		r.learn(now, i)
	}
}

func (r *Roster) learn(now time.Time, i instancelist.Instance) *member {
	m, ok := r.members[i.ID]
	if !ok || m.instance.Address != i.Address {
		m = &member{heard: now}
		r.members[i.ID] = m
	}
	m.instance = i
	return m
}

// Heard notes a sign of life.
func (r *Roster) Heard(now time.Time, id instancelist.ID) {
	if m, ok := r.members[id]; ok {
		m.heard = now
	}
}

// Forget drops the instances that are neither listed nor heard of.
func (r *Roster) Forget(now time.Time) {
	for id, m := range r.members {
		if !m.listed && now.Sub(m.heard) > forgetAfter {
			delete(r.members, id)
		}
	}
}

// Known returns all instances but this one, sorted by id.
func (r *Roster) Known() []instancelist.Instance {
	var list []instancelist.Instance
	for id, m := range r.members {
		if id != r.self {
			list = append(list, m.instance)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Targets returns the instances that this one should dial when it has no link
// to them: every one of its zone, and a few of each other zone.
func (r *Roster) Targets(now time.Time) []instancelist.Instance {
	byZone := map[instancelist.AvailabilityZone][]instancelist.Instance{}
	var targets []instancelist.Instance
	for _, i := range r.Known() {
		if i.Zone != r.zone {
			byZone[i.Zone] = append(byZone[i.Zone], i)
			continue
		}
		if r.self < i.ID || now.Sub(r.members[i.ID].heard) >= dialPatience {
			targets = append(targets, i)
		}
	}
	for _, list := range byZone {
		targets = append(targets, r.nearest(list)...)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return targets
}

// nearest picks instances by rendezvous hashing, so that the links of one zone
// spread over all instances of another.
func (r *Roster) nearest(list []instancelist.Instance) []instancelist.Instance {
	weight := func(i instancelist.Instance) uint64 { return Weight(string(r.self), string(i.ID)) }
	sort.Slice(list, func(a, b int) bool { return weight(list[a]) > weight(list[b]) })
	return list[:min(len(list), linksPerZone)]
}

// Weight is the rendezvous weight of a candidate for an item.
func Weight(item, candidate string) uint64 {
	return xxhash.Sum64String(item + "\x00" + candidate)
}

// Preferred returns the candidate with the greatest rendezvous weight for an
// item, empty if there is none.
func Preferred(item string, candidates []instancelist.ID) instancelist.ID {
	best := instancelist.ID("")
	for _, c := range candidates {
		if best == "" || Weight(item, string(c)) > Weight(item, string(best)) {
			best = c
		}
	}
	return best
}
