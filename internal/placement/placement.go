// Package placement decides which layers of a model each backend server of an
// availability zone holds.
//
// Usage: pass the current state of the zone's backend servers and apply the returned
// changes, each only if its backend server still holds the layers that were passed:
//
//	for _, change := range placement.Plan(engine, servers) { ... }
//
// A replica is a group of backend servers that together hold each layer once. Paths stay
// within a zone, since a path within one zone sends no activations over the inter-zone
// link and keeps working when the zone is partitioned from the others. A zone gets as many
// replicas as raise the rate at which it answers requests (rateModel): the time of a token
// is the sum over all servers of its path, so that backend servers of similar speed form a
// replica, and a replica is no longer than its memory for requests requires. A zone whose
// memory suffices for one replica only gets it over all of its servers.
//
// Within a replica, layers are distributed by memory, not by speed. The memory that layers
// leave free is request memory, and the backend server with the least request memory per
// layer limits how many requests the replica can run. Some servers stay empty, so that a
// failed one can be replaced without using memory of the rest.
//
// Nothing but the layers held is kept between plans. Which servers form a replica follows
// from their layers (replicasOf). Plan is a pure function of its arguments, so that the
// next lease holder computes the same result from the same state.
package placement

import (
	"math"
	"slices"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Server is a backend server that may hold layers.
type Server struct {
	ID         deployment.BackendID
	Memory     deployment.Megabytes
	StepFactor float64               // multiplies the time of a step
	Slots      int                   // requests that it serves at once as the first stage, 0 if unknown
	Layers     deployment.LayerRange // empty where it holds none
	// Fixed is set while the backend server is applying an order or can't be given
	// one. Its layers count as held, and the plan does not change them.
	Fixed bool
}

// Assignment is the new range of layers for one backend server.
type Assignment struct {
	ID     deployment.BackendID
	Layers deployment.LayerRange
}

const (
	// normalShare is the share of a backend server's memory that layers may use.
	normalShare = 0.8
	// raisedShare and maxShare apply when gaps are filled, if with the smaller share not
	// all layers fit with capacity for one more layer on each server.
	raisedShare = 0.86
	maxShare    = 0.93
	// goalShare sets the goal for the request memory per layer, as a share of what a
	// replica spread over all servers would have. The smallest servers stay empty if the
	// others reach the goal without them, so that a failed server can be replaced
	// without using memory of the rest.
	goalShare = 0.6
	// slotsMargin is the request memory that is of use, as a multiple of that for typical
	// requests in all slots.
	slotsMargin = 1.1
	// maxEmptyShare is the maximum share of the servers that the first plan leaves empty.
	maxEmptyShare = 0.3
	// lowShare is the share of the goal below which layers are moved off a server.
	lowShare = 0.5
	// The boundary between two neighbours is moved only if the lower request memory per
	// layer of the two becomes more than minMoveGain times as large.
	minMoveGain = 1.5
)

// Plan returns the changes that give the servers complete replicas, or as much of one as
// fits. Servers keep the layers that they hold if possible, since releasing layers waits
// for all requests that pass through them. Gaps are assigned to empty servers first, then
// to neighbours of the gap, and then to servers whose layers other servers hold too. If a
// server has too little request memory, another one loads some of its layers first, and it
// releases them only once both hold them, so that no layer becomes uncovered. Each server
// gets at most one change at a time.
func Plan(engine *deployment.Engine, servers []Server) []Assignment {
	servers = withinModel(engine, servers)
	z := newZonePlanner(engine, servers)
	if z.model.holds(z.servers, 2) {
		return z.plan()
	}
	p := newPlanner(engine, servers)
	if p.holdingCount() == 0 {
		return p.fresh()
	}
	p.fillGaps()
	p.improve()
	return p.changes
}

// withinModel returns the servers with the part of their layers that the model has.
func withinModel(engine *deployment.Engine, servers []Server) []Server {
	within := slices.Clone(servers)
	for i := range within {
		within[i].Layers = within[i].Layers.Intersect(deployment.LayerRange{First: 0, End: engine.Layers})
	}
	return within
}

// planner plans one replica and the empty servers that it may use. It holds the servers as
// they will be after the changes planned so far.
type planner struct {
	engine  *deployment.Engine
	servers []Server // in descending order of memory
	changes []Assignment
	goal    float64 // request memory per layer, in megabytes
	// gapShare is the share of a server's memory up to which a server that already holds
	// layers may be filled to cover a gap, or to shift free capacity towards it. Empty and
	// reassigned servers are filled up to normalShare.
	gapShare float64
	// touched holds the servers that have a change, or whose layers a changed one loads.
	touched map[deployment.BackendID]bool
}

func newPlanner(engine *deployment.Engine, servers []Server) *planner {
	p := &planner{engine: engine, servers: bySize(servers), touched: map[deployment.BackendID]bool{}}
	p.goal = min(goalShare*p.minRequestMemory(p.all()), p.slotsRequestMemory())
	p.gapShare = p.minGapShare()
	return p
}

// slotsRequestMemory returns the request memory per layer beyond which a replica gains
// nothing, since the slots of its first stage are used up before.
func (p *planner) slotsRequestMemory() float64 {
	model := rateModel{engine: p.engine}
	if model.slots(p.servers) == unknownSlots {
		return math.Inf(1)
	}
	return slotsMargin * float64(model.slots(p.servers)) / model.requestsIn(1)
}

// minGapShare returns the smallest share of memory with which all layers fit and each
// server can hold one more, so that layers can be moved between servers; maxShare if
// the smaller ones don't suffice. A server that is filled further than needed delays
// all requests.
func (p *planner) minGapShare() float64 {
	for _, share := range []float64{normalShare, raisedShare} {
		if p.movableLayers(share) >= p.engine.Layers {
			return share
		}
	}
	return maxShare
}

// movableLayers returns how many layers the servers can hold within a share of their memory
// while each has capacity for one more, so that layers can be moved between them.
func (p *planner) movableLayers(share float64) int {
	count := 0
	for _, server := range p.servers {
		count += max(0, p.capacity(server, share)-1)
	}
	return count
}

func (p *planner) all() []int {
	all := make([]int, len(p.servers))
	for i := range all {
		all[i] = i
	}
	return all
}

// minRequestMemory returns the request memory per layer of a complete replica over the
// given servers, at the server with the least of it. It returns 0 if they can't hold all
// layers.
func (p *planner) minRequestMemory(servers []int) float64 {
	minMemory, held := 0.0, 0
	for i, count := range p.layerCounts(p.engine.Layers, servers) {
		if count == 0 {
			continue
		}
		held += count
		if memory := p.requestMemory(servers[i], count); minMemory == 0 || memory < minMemory {
			minMemory = memory
		}
	}
	if held < p.engine.Layers {
		return 0
	}
	return minMemory
}

func (p *planner) holdingCount() int {
	count := 0
	for _, server := range p.servers {
		if server.Layers.Len() > 0 {
			count++
		}
	}
	return count
}

// capacity returns the maximum number of layers that fit in a share of a server's memory.
func (p *planner) capacity(server Server, share float64) int {
	return int(float64(server.Memory) * share / float64(p.engine.LayerSize))
}

func (p *planner) assign(index int, layers deployment.LayerRange) {
	p.servers[index].Layers = layers
	for i, change := range p.changes {
		if change.ID == p.servers[index].ID {
			p.changes[i].Layers = layers
			return
		}
	}
	p.changes = append(p.changes, Assignment{ID: p.servers[index].ID, Layers: layers})
}

// fresh plans a zone that holds no layers. It splits the layers, as far as they fit, over
// the servers that are not Fixed. It leaves out the smallest of these as long as the
// others reach the goal, up to maxEmptyShare.
func (p *planner) fresh() []Assignment {
	var available []int
	for i := range p.servers {
		if !p.servers[i].Fixed {
			available = append(available, i)
		}
	}
	minServers := len(available) - int(maxEmptyShare*float64(len(available)))
	for len(available) > minServers && p.minRequestMemory(available[:len(available)-1]) >= p.goal {
		available = available[:len(available)-1]
	}
	p.split(deployment.LayerRange{First: 0, End: p.engine.Layers}, available)
	return p.changes
}

// split divides a range among servers by memory, in the order of the servers. If the
// servers have too little capacity, the end of the range stays uncovered.
func (p *planner) split(layers deployment.LayerRange, servers []int) {
	counts := p.layerCounts(layers.Len(), servers)
	first := layers.First
	for i, index := range servers {
		if counts[i] == 0 {
			continue
		}
		p.assign(index, deployment.LayerRange{First: first, End: first + counts[i]})
		first += counts[i]
	}
}

// layerCounts divides a number of layers among servers, one by one: each goes to the server
// that has the most request memory per layer afterwards.
func (p *planner) layerCounts(layers int, servers []int) []int {
	counts := make([]int, len(servers))
	for range layers {
		best := -1
		for i, index := range servers {
			if counts[i] >= p.capacity(p.servers[index], normalShare) {
				continue
			}
			if best < 0 || p.requestMemory(servers[i], counts[i]+1) > p.requestMemory(servers[best], counts[best]+1) {
				best = i
			}
		}
		if best < 0 {
			return counts
		}
		counts[best]++
	}
	return counts
}

// requestMemory returns the request memory per layer of a server if it holds count layers.
// It limits how many tokens of requests the server can hold.
func (p *planner) requestMemory(index, count int) float64 {
	memory := float64(p.servers[index].Memory)
	return (memory - float64(count)*float64(p.engine.LayerSize)) / float64(count)
}

// replicas returns how many servers hold each layer.
func (p *planner) replicas() []int {
	return p.replicasOn(func(int) bool { return true })
}

// replicasOn returns how many of the chosen servers hold each layer.
func (p *planner) replicasOn(chosen func(index int) bool) []int {
	replicas := make([]int, p.engine.Layers)
	for i, server := range p.servers {
		if !chosen(i) {
			continue
		}
		for layer := max(0, server.Layers.First); layer < min(server.Layers.End, p.engine.Layers); layer++ {
			replicas[layer]++
		}
	}
	return replicas
}

// gaps returns the ranges of layers that no server holds.
func (p *planner) gaps() []deployment.LayerRange {
	var gaps []deployment.LayerRange
	replicas := p.replicas()
	for first := 0; first < len(replicas); first++ {
		if replicas[first] > 0 {
			continue
		}
		end := first
		for end < len(replicas) && replicas[end] == 0 {
			end++
		}
		gaps = append(gaps, deployment.LayerRange{First: first, End: end})
		first = end
	}
	return gaps
}

func (p *planner) fillGaps() {
	for p.fillGap() {
	}
}

// fillGap covers at least a part of the first gap that can be covered, and reports
// whether there was one.
func (p *planner) fillGap() bool {
	for _, gap := range p.gaps() {
		if p.fillWithEmpty(gap) || p.fillWithNeighbours(gap) || p.fillWithRedundant(gap) {
			return true
		}
	}
	return false
}

// fillWithEmpty covers a gap, or its beginning, with empty servers: with the smallest one
// that reaches the goal with all of the gap, else with the fewest of the largest ones that
// all reach it, else with all of them.
func (p *planner) fillWithEmpty(gap deployment.LayerRange) bool {
	empty := p.empty()
	if len(empty) == 0 {
		return false
	}
	for i := len(empty) - 1; i >= 0; i-- {
		if gap.Len() <= p.capacity(p.servers[empty[i]], normalShare) && p.requestMemory(empty[i], gap.Len()) >= p.goal {
			p.assign(empty[i], gap)
			return true
		}
	}
	for count := 2; count < len(empty); count++ {
		if p.canSplit(gap.Len(), empty[:count]) {
			empty = empty[:count]
			break
		}
	}
	p.split(gap, empty)
	return true
}

// canSplit reports whether the servers can hold so many layers and all reach the goal.
func (p *planner) canSplit(layers int, servers []int) bool {
	held := 0
	for i, count := range p.layerCounts(layers, servers) {
		held += count
		if count > 0 && p.requestMemory(servers[i], count) < p.goal {
			return false
		}
	}
	return held == layers
}

// empty returns the servers that hold no layers and can be given an order, the largest first.
func (p *planner) empty() []int {
	var empty []int
	for i, server := range p.servers {
		if !server.Fixed && server.Layers.Len() == 0 && p.capacity(server, normalShare) > 0 {
			empty = append(empty, i)
		}
	}
	return empty
}

// fillWithNeighbours extends one server next to the gap by one layer: the one that has the
// most request memory per layer afterwards.
func (p *planner) fillWithNeighbours(gap deployment.LayerRange) bool {
	best, bestMemory := -1, 0.0
	for i, server := range p.servers {
		adjacent := server.Layers.Len() > 0 && (server.Layers.End == gap.First || server.Layers.First == gap.End)
		if !adjacent || server.Fixed || server.Layers.Len() >= p.capacity(server, p.gapShare) {
			continue
		}
		memory := p.requestMemory(i, server.Layers.Len()+1)
		if best < 0 || memory > bestMemory {
			best, bestMemory = i, memory
		}
	}
	if best < 0 {
		return false
	}
	layers := p.servers[best].Layers
	if layers.End == gap.First {
		layers.End++
	} else {
		layers.First--
	}
	p.assign(best, layers)
	return true
}
