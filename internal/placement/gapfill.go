package placement

import "mulberryhead.org/mulberryhead/internal/deployment"

// fillWithRedundant assigns the gap, or its beginning, to the largest server whose layers
// other servers hold too.
func (p *planner) fillWithRedundant(gap deployment.LayerRange) bool {
	for i, server := range p.servers {
		if server.Layers.Len() == 0 || server.Fixed || p.changed(i) || !p.heldByOthers(i) {
			continue
		}
		count := min(gap.Len(), p.capacity(server, normalShare))
		if count == 0 {
			continue
		}
		p.assign(i, deployment.LayerRange{First: gap.First, End: gap.First + count})
		return true
	}
	return false
}

// heldByOthers reports whether other servers hold all layers of a server. It does not count
// servers that are fixed or changed, since a server that is applying an order may be
// releasing the layers, or not have loaded them yet.
func (p *planner) heldByOthers(index int) bool {
	replicas := p.replicasOn(func(other int) bool {
		return other != index && !p.servers[other].Fixed && !p.changed(other)
	})
	layers := p.servers[index].Layers
	for layer := max(0, layers.First); layer < min(layers.End, p.engine.Layers); layer++ {
		if replicas[layer] == 0 {
			return false
		}
	}
	return true
}

// shiftCapacity moves free capacity towards a gap whose neighbours are at capacity, on both
// of its sides.
func (p *planner) shiftCapacity(gap deployment.LayerRange) {
	p.shiftSide(gap, side{})
	p.shiftSide(gap, side{after: true, layers: p.engine.Layers})
}

// side is one side of a gap. Layers after the gap are numbered from the last layer
// backwards, so that the same code handles both sides.
type side struct {
	after  bool
	layers int
}

// normalize converts a range from the engine's numbering to that of the side, or back.
func (s side) normalize(layers deployment.LayerRange) deployment.LayerRange {
	if !s.after {
		return layers
	}
	return deployment.LayerRange{First: s.layers - layers.End, End: s.layers - layers.First}
}

// shiftSide makes the next move that one side needs. It walks from the gap outwards until
// it finds two overlapping servers, and then the one nearer to the gap releases the
// overlap; or until it finds a server with free capacity, which then loads layers of the
// next one towards the gap. Free capacity therefore only moves towards the gap, and the
// moves terminate.
func (p *planner) shiftSide(gap deployment.LayerRange, s side) {
	edge := s.normalize(gap).First
	nearer := -1
	for {
		index := p.endingAt(edge, s)
		if index < 0 || p.servers[index].Fixed {
			return
		}
		if nearer >= 0 && (p.releaseOverlap(nearer, index, s) || p.takeLayers(index, nearer, gap.Len(), s)) {
			return
		}
		nearer = index
		edge = s.normalize(p.servers[index].Layers).First
	}
}

// endingAt returns the server that holds the layer before an edge, or -1. If several do, it
// returns the one that reaches furthest from the gap.
func (p *planner) endingAt(edge int, s side) int {
	best := -1
	for i, server := range p.servers {
		layers := s.normalize(server.Layers)
		if server.Layers.Len() == 0 || layers.First >= edge || layers.End < edge {
			continue
		}
		if best < 0 || layers.First < s.normalize(p.servers[best].Layers).First {
			best = i
		}
	}
	return best
}

// releaseOverlap lets the server nearer to the gap release the layers that the one further
// away holds too, unless either has a change already. It reports whether they overlap.
func (p *planner) releaseOverlap(nearer, further int, s side) bool {
	near := s.normalize(p.servers[nearer].Layers)
	far := s.normalize(p.servers[further].Layers)
	if far.End <= near.First {
		return false
	}
	if far.End < near.End && !p.changed(nearer) && !p.changed(further) {
		p.assign(nearer, s.normalize(deployment.LayerRange{First: far.End, End: near.End}))
	}
	return true
}

// takeLayers lets the server further from the gap load up to maxLayers layers of the nearer
// one, as far as it has the capacity. It reports whether it loads any.
func (p *planner) takeLayers(further, nearer, maxLayers int, s side) bool {
	far := s.normalize(p.servers[further].Layers)
	free := p.capacity(p.servers[further], p.gapShare) - far.Len()
	count := min(free, maxLayers, p.servers[nearer].Layers.Len()-1)
	if count <= 0 || p.changed(further) || p.changed(nearer) {
		return false
	}
	p.assign(further, s.normalize(deployment.LayerRange{First: far.First, End: far.End + count}))
	return true
}

// changed reports whether the plan already changes a server.
func (p *planner) changed(index int) bool {
	for _, change := range p.changes {
		if change.ID == p.servers[index].ID {
			return true
		}
	}
	return false
}
