package placement

import (
	"sort"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// relieve lets servers that hold nothing take half of the layers of those that
// have too little memory left for requests.
func (s *state) relieve() {
	for _, index := range s.empty() {
		weakest, found := s.weakest()
		if !found {
			return
		}
		layers := s.servers[weakest].Layers
		s.touched[s.servers[weakest].ID] = true
		count := min(layers.Len()-layers.Len()/2, s.room(s.servers[index], usualShare))
		s.set(index, deployment.LayerRange{First: layers.End - count, End: layers.End})
	}
}

// weakest returns the server with the least memory for requests for each layer, if
// that is too little, among those whose layers nobody else holds.
func (s *state) weakest() (int, bool) {
	copies := s.copies()
	best := -1
	for i, server := range s.servers {
		if server.Layers.Len() < 2 || !sole(copies, server.Layers) || s.spareNow(i) >= weakShare*s.goal {
			continue
		}
		if best < 0 || s.spareNow(i) < s.spareNow(best) {
			best = i
		}
	}
	return best, best >= 0
}

func (s *state) spareNow(index int) float64 { return s.spare(index, s.servers[index].Layers.Len()) }

func sole(copies []int, layers deployment.LayerRange) bool {
	for layer := layers.First; layer < layers.End; layer++ {
		if copies[layer] > 1 {
			return false
		}
	}
	return true
}

// evenOut moves the boundaries between neighbours: first between those that hold
// some of the same layers, then between the others. While layers are missing, all
// moves serve the gap instead.
func (s *state) evenOut() {
	if gaps := s.gaps(); len(gaps) > 0 {
		for _, gap := range gaps {
			s.makeRoom(gap)
		}
		return
	}
	order := s.chain()
	for _, change := range s.changes {
		s.touched[change.ID] = true
	}
	s.eachPair(order, s.settle)
	s.eachPair(order, s.takeOver)
}

// eachPair tries a move on neighbours that have not changed yet.
func (s *state) eachPair(order []int, move func(left, right int) bool) {
	for i := 0; i+1 < len(order); i++ {
		left, right := s.servers[order[i]].ID, s.servers[order[i+1]].ID
		if s.touched[left] || s.touched[right] || !move(order[i], order[i+1]) {
			continue
		}
		s.touched[left] = true
		s.touched[right] = true
	}
}

// chain returns the servers that hold layers, in the order of the layers.
func (s *state) chain() []int {
	var order []int
	for i, server := range s.servers {
		if server.Layers.Len() > 0 {
			order = append(order, i)
		}
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := s.servers[order[i]], s.servers[order[j]]
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

// boundary returns where the layers from first to end are best split between two
// servers, and the memory for each layer that the weaker one has then.
func (s *state) boundary(left, right, first, low, high, end int) (int, float64) {
	best, bestSpare := -1, 0.0
	for at := max(low, first+1); at <= min(high, end-1); at++ {
		spare := min(s.spare(left, at-first), s.spare(right, end-at))
		if best < 0 || spare > bestSpare {
			best, bestSpare = at, spare
		}
	}
	return best, bestSpare
}

// enough is the memory for requests with which a server is left as it is.
func (s *state) enough() float64 { return weakShare * s.goal }

// settle lets two servers that hold some of the same layers give up their part of
// them. It reports whether the two were changed.
func (s *state) settle(left, right int) bool {
	l, r := s.servers[left], s.servers[right]
	overlaps := r.Layers.First < l.Layers.End && l.Layers.End <= r.Layers.End
	if !overlaps || l.Fixed || r.Fixed || min(s.spareNow(left), s.spareNow(right)) >= s.enough() {
		return false
	}
	at, _ := s.boundary(left, right, l.Layers.First, r.Layers.First, l.Layers.End, r.Layers.End)
	if at < 0 {
		return false
	}
	if at != l.Layers.End {
		s.set(left, deployment.LayerRange{First: l.Layers.First, End: at})
	}
	if at != r.Layers.First {
		s.set(right, deployment.LayerRange{First: at, End: r.Layers.End})
	}
	return true
}

// takeOver lets one of two neighbours take layers of the other, where that leaves
// the weaker one clearly more memory for requests.
func (s *state) takeOver(left, right int) bool {
	l, r := s.servers[left], s.servers[right]
	if l.Layers.End != r.Layers.First || l.Fixed || r.Fixed {
		return false
	}
	low := min(l.Layers.End, r.Layers.End-s.room(r, usualShare))
	high := max(l.Layers.End, l.Layers.First+s.room(l, usualShare))
	at, spare := s.boundary(left, right, l.Layers.First, low, high, r.Layers.End)
	now := min(s.spareNow(left), s.spareNow(right))
	switch {
	case at < 0 || now >= s.enough() || spare <= now*worthMoving || at == l.Layers.End:
		return false
	case at > l.Layers.End:
		s.set(left, deployment.LayerRange{First: l.Layers.First, End: at})
	default:
		s.set(right, deployment.LayerRange{First: at, End: r.Layers.End})
	}
	return true
}
