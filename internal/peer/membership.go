package peer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

const (
	// bridgeCount is how many instances of an availability zone keep links to
	// another zone, and how many links each of them keeps to it.
	bridgeCount = 2
	// expiryTimeout is how long an instance that is not listed is kept after it was
	// last seen.
	expiryTimeout = 30 * time.Second
	// passiveDialDelay is how long the instance with the greater ID waits for a
	// link from the other instance before it dials that instance.
	passiveDialDelay = 1 * time.Second
)

type member struct {
	instance instancelist.Instance
	// listed is set while the platform's newest list contains the instance.
	listed bool
	// lastSeen is the time of the last MarkAlive, or when the instance became known
	// under its address.
	lastSeen time.Time
}

// Membership holds the known instances, from the platform's list and from gossip,
// and selects those to keep links to. It is not safe for concurrent use.
type Membership struct {
	self instancelist.ID
	zone instancelist.Zone
	// topology may be nil, which means ZoneMesh.
	topology Topology
	members  map[instancelist.ID]*member
}

// NewMembership returns a Membership without other instances. A nil topology means
// ZoneMesh.
func NewMembership(self instancelist.ID, zone instancelist.Zone, topology Topology) *Membership {
	return &Membership{self: self, zone: zone, topology: topology, members: map[instancelist.ID]*member{}}
}

// SetListed replaces the set of listed instances by those of the platform's list.
// Instances that are no longer listed stay until they expire.
func (m *Membership) SetListed(now time.Time, list []instancelist.Instance) {
	for _, entry := range m.members {
		entry.listed = false
	}
	for _, i := range list {
		m.learn(now, i).listed = true
	}
}

// MergeGossip adds or updates the instances that a peer knows. The platform's list
// takes precedence: listed instances are not changed.
func (m *Membership) MergeGossip(now time.Time, list []instancelist.Instance) {
	for _, i := range list {
		if entry, ok := m.members[i.ID]; ok && entry.listed {
			continue
		}
		m.learn(now, i)
	}
}

func (m *Membership) learn(now time.Time, i instancelist.Instance) *member {
	entry, ok := m.members[i.ID]
	if !ok || entry.instance.Address != i.Address {
		entry = &member{lastSeen: now}
		m.members[i.ID] = entry
	}
	entry.instance = i
	return entry
}

// MarkAlive records that an instance was seen at a time.
func (m *Membership) MarkAlive(now time.Time, id instancelist.ID) {
	if entry, ok := m.members[id]; ok {
		entry.lastSeen = now
	}
}

// RemoveExpired removes the instances that are not listed and were last seen more
// than expiryTimeout ago.
func (m *Membership) RemoveExpired(now time.Time) {
	for id, entry := range m.members {
		if !entry.listed && now.Sub(entry.lastSeen) > expiryTimeout {
			delete(m.members, id)
		}
	}
}

// Get returns the instance with an ID, and reports whether it is known.
func (m *Membership) Get(id instancelist.ID) (instancelist.Instance, bool) {
	if entry, ok := m.members[id]; ok {
		return entry.instance, true
	}
	return instancelist.Instance{}, false
}

// Unlisted returns the known instances that the platform's list does not name, sorted
// by ID. Peers can learn of them only by gossip.
func (m *Membership) Unlisted() []instancelist.Instance {
	var list []instancelist.Instance
	for _, i := range m.Others() {
		if !m.members[i.ID].listed {
			list = append(list, i)
		}
	}
	return list
}

// Others returns all known instances except this one, sorted by ID.
func (m *Membership) Others() []instancelist.Instance {
	var list []instancelist.Instance
	for id, entry := range m.members {
		if id != m.self {
			list = append(list, entry.instance)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// isBridge reports whether this instance is one of its zone's bridges to another
// zone, by rendezvous hashing over this instance and the known ones of the zone that
// are not shutting down.
func (m *Membership) isBridge(zone instancelist.Zone) bool {
	own := []instancelist.Instance{{ID: m.self}}
	for _, i := range m.Others() {
		if i.Zone == m.zone && !i.Leaving {
			own = append(own, i)
		}
	}
	for _, i := range highestWeighted(string(zone), own, bridgeCount) {
		if i.ID == m.self {
			return true
		}
	}
	return false
}

// MissingLinks are the links that an instance lacks of those that it should have.
type MissingLinks struct {
	InZone bool // to an instance of its zone
	ToZone bool // to all instances of another zone to which it is a bridge
}

// missingLinks returns which links to known instances are missing. linked tells whether one is there.
func (m *Membership) missingLinks(linked func(instancelist.ID) bool) MissingLinks {
	var missing MissingLinks
	reached := map[instancelist.Zone]bool{}
	for id, other := range m.members {
		if id == m.self {
			continue
		}
		zone, isLinked := other.instance.Zone, linked(id)
		missing.InZone = missing.InZone || zone == m.zone && !isLinked
		reached[zone] = reached[zone] || isLinked
	}
	for zone, isReached := range reached {
		missing.ToZone = missing.ToZone || zone != m.zone && !isReached && m.isBridge(zone)
	}
	return missing
}

// highestWeighted returns the count instances with the greatest rendezvous weights for
// an item, so that the links to a zone spread over its instances. It reorders list.
func highestWeighted(item string, list []instancelist.Instance, count int) []instancelist.Instance {
	sort.Slice(list, func(a, b int) bool {
		return RendezvousWeight(item, string(list[a].ID)) > RendezvousWeight(item, string(list[b].ID))
	})
	return list[:min(len(list), count)]
}

// RendezvousWeight returns the rendezvous hashing weight of a candidate for an item.
func RendezvousWeight(item, candidate string) uint64 {
	return xxhash.Sum64String(item + "\x00" + candidate)
}

// RendezvousOwner returns the candidate with the greatest rendezvous weight for an
// item, or an empty ID if there are no candidates.
func RendezvousOwner(item string, candidates []instancelist.ID) instancelist.ID {
	best := instancelist.ID("")
	for _, c := range candidates {
		if best == "" || RendezvousWeight(item, string(c)) > RendezvousWeight(item, string(best)) {
			best = c
		}
	}
	return best
}
