package placement

import "mulberryhead.org/mulberryhead/internal/deployment"

// fillWithRedundant lets the largest server whose layers are all held by others
// as well take a gap, or its begin, in their place.
func (s *state) fillWithRedundant(gap deployment.LayerRange) bool {
	for i, server := range s.servers {
		if server.Layers.Len() == 0 || server.Fixed || s.changed(i) || !s.heldWithout(i) {
			continue
		}
		count := min(gap.Len(), s.room(server, usualShare))
		if count == 0 {
			continue
		}
		s.set(i, deployment.LayerRange{First: gap.First, End: gap.First + count})
		return true
	}
	return false
}

// heldWithout tells whether all layers of a server are held by others for sure:
// one that carries out an order may be giving them up, or not have them yet.
func (s *state) heldWithout(index int) bool {
	copies := s.copiesAt(func(other int) bool {
		return other != index && !s.servers[other].Fixed && !s.changed(other)
	})
	layers := s.servers[index].Layers
	for layer := max(0, layers.First); layer < min(layers.End, s.engine.Layers); layer++ {
		if copies[layer] == 0 {
			return false
		}
	}
	return true
}

// makeRoom brings room for layers closer to a gap whose neighbours are full, from
// both of its sides.
func (s *state) makeRoom(gap deployment.LayerRange) {
	s.shift(gap, side{})
	s.shift(gap, side{after: true, layers: s.engine.Layers})
}

// side looks at the layers before a gap, or at those after it as if they were
// counted from the last layer, so that both sides are handled alike.
type side struct {
	after  bool
	layers int
}

// view turns a range as the engine counts it to one as the side counts it, and back.
func (d side) view(layers deployment.LayerRange) deployment.LayerRange {
	if !d.after {
		return layers
	}
	return deployment.LayerRange{First: d.layers - layers.End, End: d.layers - layers.First}
}

// shift makes the one move that a side needs next. It goes from the gap outwards
// until it meets a server that holds layers of the one nearer to the gap: that one
// gives them up. Or it meets a server with room: this one takes layers of the
// nearer one. So room only ever moves towards the gap and the moves come to an end.
func (s *state) shift(gap deployment.LayerRange, d side) {
	edge := d.view(gap).First
	nearer := -1
	for {
		index := s.endingAt(edge, d)
		if index < 0 || s.servers[index].Fixed {
			return
		}
		if nearer >= 0 && (s.giveUp(nearer, index, d) || s.take(index, nearer, gap.Len(), d)) {
			return
		}
		nearer = index
		edge = d.view(s.servers[index].Layers).First
	}
}

// endingAt returns the server that holds the layer before an edge, reaching the
// furthest from the gap, or -1.
func (s *state) endingAt(edge int, d side) int {
	best := -1
	for i, server := range s.servers {
		layers := d.view(server.Layers)
		if server.Layers.Len() == 0 || layers.First >= edge || layers.End < edge {
			continue
		}
		if best < 0 || layers.First < d.view(s.servers[best].Layers).First {
			best = i
		}
	}
	return best
}

// giveUp takes the layers of the server nearer to the gap away that the one
// further along holds too. It reports whether there are any.
func (s *state) giveUp(nearer, further int, d side) bool {
	near := d.view(s.servers[nearer].Layers)
	far := d.view(s.servers[further].Layers)
	if far.End <= near.First {
		return false
	}
	if far.End < near.End && !s.changed(nearer) && !s.changed(further) {
		s.set(nearer, d.view(deployment.LayerRange{First: far.End, End: near.End}))
	}
	return true
}

// take lets the server further along take up to most layers of the one nearer to
// the gap, as far as it has room. It reports whether it does.
func (s *state) take(further, nearer, most int, d side) bool {
	far := d.view(s.servers[further].Layers)
	room := s.room(s.servers[further], s.gapShare) - far.Len()
	count := min(room, most, s.servers[nearer].Layers.Len()-1)
	if count <= 0 || s.changed(further) || s.changed(nearer) {
		return false
	}
	s.set(further, d.view(deployment.LayerRange{First: far.First, End: far.End + count}))
	return true
}

// changed tells whether the plan changes a server already.
func (s *state) changed(index int) bool {
	for _, change := range s.changes {
		if change.ID == s.servers[index].ID {
			return true
		}
	}
	return false
}
