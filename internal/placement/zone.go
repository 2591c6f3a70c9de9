package placement

import (
	"sort"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// reserveShare is the share of a zone's servers that new replicas leave empty.
const reserveShare = 1.0 / 12

// zonePlanner plans a zone that has memory for more than one replica.
type zonePlanner struct {
	engine  *deployment.Engine
	model   rateModel
	servers []Server // as passed, the largest first
	planned []Server // as they will be after the changes planned so far
	changed map[int]bool
}

func newZonePlanner(engine *deployment.Engine, servers []Server) *zonePlanner {
	z := &zonePlanner{engine: engine, model: rateModel{engine: engine}, servers: bySize(servers), changed: map[int]bool{}}
	z.planned = append([]Server(nil), z.servers...)
	return z
}

// bySize returns the servers in descending order of memory.
func bySize(servers []Server) []Server {
	sorted := append([]Server(nil), servers...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Memory != sorted[j].Memory {
			return sorted[i].Memory > sorted[j].Memory
		}
		return sorted[i].ID < sorted[j].ID
	})
	return sorted
}

// plan keeps the replicas that the zone has, completes those that can be completed, and
// builds new ones from the servers that are left. A replica that can't be completed is
// given up if the others hold all layers: its servers then complete or form others. Where no
// replica is predicted to answer in time, the zone gets one over all servers.
func (z *zonePlanner) plan() []Assignment {
	replicas := replicasOf(z.engine, z.servers)
	z.byCompleteness(replicas)
	kept, givenUp := z.giveUp(replicas)
	for i, replica := range kept {
		kept[i] = z.complete(replica, z.empty())
	}
	for i, replica := range kept {
		kept[i] = z.complete(replica, append(z.empty(), z.released(givenUp)...))
	}
	if len(kept) > 0 && z.missing(z.all()) > 0 {
		z.cover()
		return z.changes()
	}
	for _, replica := range kept {
		z.apply(z.planner(append(replica[:len(replica):len(replica)], z.empty()...)), (*planner).improve)
	}
	z.build(z.released(givenUp))
	if len(kept) == 0 && len(z.changed) == 0 {
		return newPlanner(z.engine, z.servers).fresh()
	}
	return z.changes()
}

// cover fills the gaps that all replicas have in common, as in a zone with one replica.
func (z *zonePlanner) cover() {
	p := newPlanner(z.engine, z.planned)
	z.apply(p, (*planner).fillGaps)
	z.apply(p, (*planner).improve)
}

func (z *zonePlanner) all() []int {
	all := make([]int, len(z.planned))
	for i := range all {
		all[i] = i
	}
	return all
}

// missing returns how many layers none of the given servers holds.
func (z *zonePlanner) missing(indices []int) int {
	missing := 0
	p := &planner{engine: z.engine, servers: selected(z.planned, indices)}
	for _, gap := range p.gaps() {
		missing += gap.Len()
	}
	return missing
}

// byCompleteness sorts replicas, the one that misses the fewest layers first, and of equal
// ones that with the fewest servers.
func (z *zonePlanner) byCompleteness(replicas [][]int) {
	sort.SliceStable(replicas, func(i, j int) bool {
		a, b := z.missing(replicas[i]), z.missing(replicas[j])
		if a != b {
			return a < b
		}
		return len(replicas[i]) < len(replicas[j])
	})
}

// giveUp separates the replicas to keep from those that can't be completed with the empty
// servers, and whose layers the others hold. A replica with a server that is Fixed is kept,
// since it may be changing.
func (z *zonePlanner) giveUp(replicas [][]int) (kept, givenUp [][]int) {
	kept = append(kept, replicas...)
	for i := len(kept) - 1; i > 0; i-- {
		if z.completable(kept[i]) || z.fixed(kept[i]) || z.missing(flatten(kept[:i])) > 0 {
			continue
		}
		givenUp = append(givenUp, kept[i])
		kept = append(kept[:i:i], kept[i+1:]...)
	}
	return kept, givenUp
}

func flatten(replicas [][]int) []int {
	var all []int
	for _, replica := range replicas {
		all = append(all, replica...)
	}
	return all
}

// completable reports whether a replica is complete, or has memory for all layers and
// requests together with the empty servers.
func (z *zonePlanner) completable(replica []int) bool {
	if z.missing(replica) == 0 {
		return true
	}
	servers := selected(z.planned, append(z.empty(), replica...))
	p := &planner{engine: z.engine, servers: servers}
	if p.movableLayers(normalShare) < z.engine.Layers {
		return false
	}
	_, ok := z.model.replica(servers)
	return ok
}

func (z *zonePlanner) fixed(replica []int) bool {
	for _, index := range replica {
		if z.planned[index].Fixed {
			return true
		}
	}
	return false
}

// empty returns the servers that hold no layers and can be given an order.
func (z *zonePlanner) empty() []int {
	var empty []int
	for i, server := range z.planned {
		if server.Layers.Len() == 0 && !server.Fixed {
			empty = append(empty, i)
		}
	}
	return empty
}

// released returns the servers of replicas that are given up and not reassigned yet.
func (z *zonePlanner) released(givenUp [][]int) []int {
	var released []int
	for _, index := range flatten(givenUp) {
		if !z.changed[index] {
			released = append(released, index)
		}
	}
	return released
}

// complete fills the gaps of a replica with some spare servers, then with its own. It
// returns the replica with the spare servers that it got.
func (z *zonePlanner) complete(replica, spare []int) []int {
	if z.missing(replica) == 0 {
		return replica
	}
	for _, index := range spare {
		z.planned[index].Layers = deployment.LayerRange{}
	}
	z.apply(z.planner(append(append([]int(nil), replica...), spare...)), (*planner).fillGaps)
	for _, index := range spare {
		if z.changed[index] {
			replica = append(replica[:len(replica):len(replica)], index)
			continue
		}
		z.planned[index].Layers = z.servers[index].Layers
	}
	return replica
}

// planner returns a planner for some of the servers. It fills none further than a first
// plan does, since other replicas hold the layers too.
func (z *zonePlanner) planner(indices []int) *planner {
	p := newPlanner(z.engine, selected(z.planned, indices))
	p.gapShare = normalShare
	return p
}

// apply lets a planner plan beside the changes planned so far, and takes over its own.
func (z *zonePlanner) apply(p *planner, plan func(p *planner)) {
	byID := map[deployment.BackendID]int{}
	for i, server := range z.planned {
		byID[server.ID] = i
	}
	for i, server := range p.servers {
		if z.changed[byID[server.ID]] && !p.changed(i) {
			p.changes = append(p.changes, Assignment{ID: server.ID, Layers: server.Layers})
			p.touched[server.ID] = true
		}
	}
	plan(p)
	for _, change := range p.changes {
		z.assign(byID[change.ID], change.Layers)
	}
}

func (z *zonePlanner) assign(index int, layers deployment.LayerRange) {
	z.planned[index].Layers = layers
	z.changed[index] = true
}

// build forms new replicas from the empty servers, except a reserve of the smallest, and
// the released ones.
func (z *zonePlanner) build(released []int) {
	empty := z.empty()
	reserve := int(reserveShare * float64(len(z.servers)))
	spare := append([]int(nil), released...)
	spare = append(spare, empty[:max(0, len(empty)-reserve)]...)
	sort.Ints(spare)
	servers := selected(z.planned, spare)
	if !z.model.holds(servers, 1) {
		return
	}
	for _, replica := range z.model.divide(servers) {
		var members []Server
		for _, i := range replica {
			members = append(members, z.planned[spare[i]])
		}
		z.split(members)
	}
}

// split divides all layers among servers.
func (z *zonePlanner) split(members []Server) {
	for i := range members {
		members[i].Layers = deployment.LayerRange{}
	}
	p := newPlanner(z.engine, members)
	p.split(deployment.LayerRange{First: 0, End: z.engine.Layers}, p.all())
	for _, change := range p.changes {
		for i := range z.planned {
			if z.planned[i].ID == change.ID {
				z.assign(i, change.Layers)
			}
		}
	}
}

// changes returns the servers whose layers change.
func (z *zonePlanner) changes() []Assignment {
	var changes []Assignment
	for i, server := range z.planned {
		if server.Layers != z.servers[i].Layers {
			changes = append(changes, Assignment{ID: server.ID, Layers: server.Layers})
		}
	}
	return changes
}
