package placement

import (
	"sort"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// improve changes the layers of servers with too little request memory, and moves free
// capacity towards gaps that are left.
func (p *planner) improve() {
	p.offload()
	p.rebalance()
}

// offload assigns the upper half of the layers of servers with too little request memory
// to empty servers, as far as these have the capacity.
func (p *planner) offload() {
	for _, index := range p.empty() {
		lowest, found := p.lowestMemoryServer()
		if !found {
			return
		}
		layers := p.servers[lowest].Layers
		p.touched[p.servers[lowest].ID] = true
		count := min(layers.Len()-layers.Len()/2, p.capacity(p.servers[index], normalShare))
		p.assign(index, deployment.LayerRange{First: layers.End - count, End: layers.End})
	}
}

// lowestMemoryServer returns the server with the least request memory per layer among those
// that have too little of it, hold at least two layers, and are the only holder of all their
// layers.
func (p *planner) lowestMemoryServer() (int, bool) {
	replicas := p.replicas()
	best := -1
	for i, server := range p.servers {
		if server.Layers.Len() < 2 || !singleReplica(replicas, server.Layers) || p.currentRequestMemory(i) >= lowShare*p.goal {
			continue
		}
		if best < 0 || p.currentRequestMemory(i) < p.currentRequestMemory(best) {
			best = i
		}
	}
	return best, best >= 0
}

func (p *planner) currentRequestMemory(index int) float64 {
	return p.requestMemory(index, p.servers[index].Layers.Len())
}

func singleReplica(replicas []int, layers deployment.LayerRange) bool {
	for layer := layers.First; layer < layers.End; layer++ {
		if replicas[layer] > 1 {
			return false
		}
	}
	return true
}

// rebalance moves the boundaries between neighbours: first between those that overlap, then
// between those that are adjacent. While there are gaps, it shifts capacity towards them
// instead.
func (p *planner) rebalance() {
	if gaps := p.gaps(); len(gaps) > 0 {
		for _, gap := range gaps {
			p.shiftCapacity(gap)
		}
		return
	}
	order := p.byLayer()
	for _, change := range p.changes {
		p.touched[change.ID] = true
	}
	p.eachPair(order, p.removeOverlap)
	p.eachPair(order, p.moveBoundary)
}

// eachPair tries a move on each pair of neighbours of which neither is touched.
func (p *planner) eachPair(order []int, move func(left, right int) bool) {
	for i := 0; i+1 < len(order); i++ {
		left, right := p.servers[order[i]].ID, p.servers[order[i+1]].ID
		if p.touched[left] || p.touched[right] || !move(order[i], order[i+1]) {
			continue
		}
		p.touched[left] = true
		p.touched[right] = true
	}
}

// byLayer returns the servers that hold layers, in the order of the layers.
func (p *planner) byLayer() []int {
	var order []int
	for i, server := range p.servers {
		if server.Layers.Len() > 0 {
			order = append(order, i)
		}
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := p.servers[order[i]], p.servers[order[j]]
		switch {
		case a.Layers.First != b.Layers.First:
			return a.Layers.First < b.Layers.First
		case a.Layers.End != b.Layers.End:
			return a.Layers.End < b.Layers.End
		}
		return a.ID < b.ID
	})
	return order
}

// bestBoundary returns the boundary between low and high at which the layers from first to
// end are best split between two servers, and the request memory per layer of the one with
// less of it. The boundary is -1 if there is none that leaves both servers a layer.
func (p *planner) bestBoundary(left, right, first, low, high, end int) (int, float64) {
	best, bestMemory := -1, 0.0
	for at := max(low, first+1); at <= min(high, end-1); at++ {
		memory := min(p.requestMemory(left, at-first), p.requestMemory(right, end-at))
		if best < 0 || memory > bestMemory {
			best, bestMemory = at, memory
		}
	}
	return best, bestMemory
}

// sufficientMemory is the request memory per layer from which on a server needs no change.
func (p *planner) sufficientMemory() float64 { return lowShare * p.goal }

// removeOverlap splits the layers that two servers both hold, so that each of these layers
// stays on one of the two, if one of them has too little request memory. It reports whether
// it did.
func (p *planner) removeOverlap(left, right int) bool {
	l, r := p.servers[left], p.servers[right]
	overlaps := r.Layers.First < l.Layers.End && l.Layers.End <= r.Layers.End
	if !overlaps || l.Fixed || r.Fixed || min(p.currentRequestMemory(left), p.currentRequestMemory(right)) >= p.sufficientMemory() {
		return false
	}
	at, _ := p.bestBoundary(left, right, l.Layers.First, r.Layers.First, l.Layers.End, r.Layers.End)
	if at < 0 {
		return false
	}
	if at != l.Layers.End {
		p.assign(left, deployment.LayerRange{First: l.Layers.First, End: at})
	}
	if at != r.Layers.First {
		p.assign(right, deployment.LayerRange{First: at, End: r.Layers.End})
	}
	return true
}

// moveBoundary lets one of two adjacent servers load layers of the other, if one has too
// little request memory and the move raises the lower of the two by more than the factor
// minMoveGain. It reports whether it did.
func (p *planner) moveBoundary(left, right int) bool {
	l, r := p.servers[left], p.servers[right]
	if l.Layers.End != r.Layers.First || l.Fixed || r.Fixed {
		return false
	}
	low := min(l.Layers.End, r.Layers.End-p.capacity(r, normalShare))
	high := max(l.Layers.End, l.Layers.First+p.capacity(l, normalShare))
	at, memory := p.bestBoundary(left, right, l.Layers.First, low, high, r.Layers.End)
	now := min(p.currentRequestMemory(left), p.currentRequestMemory(right))
	switch {
	case at < 0 || now >= p.sufficientMemory() || memory <= now*minMoveGain || at == l.Layers.End:
		return false
	case at > l.Layers.End:
		p.assign(left, deployment.LayerRange{First: l.Layers.First, End: at})
	default:
		p.assign(right, deployment.LayerRange{First: at, End: r.Layers.End})
	}
	return true
}
