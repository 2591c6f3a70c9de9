// Package placement decides which layers of a model each backend server of an
// availability zone holds.
//
// Usage: pass what is known of the zone's backend servers and carry out the
// changes that come back, each only if the backend server is still as it was:
//
//	for _, change := range placement.Plan(engine, servers) { ... }
//
// Each zone gets a whole replica of its own where its memory allows, since a path
// that stays inside a zone moves no activations over the pipe between zones and
// goes on when the zone is cut off. The memory that the layers leave holds
// requests, and the backend server with the least of it for each layer bounds how
// many requests the replica carries; so layers go by memory, not by speed. The
// plan answers a zone's whole demand: some dozens of backend servers, a hundred
// requests at once and more.
//
// Plan is a pure function of its arguments, so that whichever instance gives the
// orders next comes to the same result.
package placement

import (
	"sort"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Server is a backend server that may hold layers.
type Server struct {
	ID     deployment.BackendID
	Memory deployment.Megabytes
	Layers deployment.LayerRange // empty where it holds none
	// Fixed is set while the backend server carries out an order, or can't be
	// given one: what it holds counts, and it is not changed.
	Fixed bool
}

// Assignment is a new range for one backend server.
type Assignment struct {
	ID     deployment.BackendID
	Layers deployment.LayerRange
}

const (
	// usualShare is the part of a backend server's memory that layers may take.
	usualShare = 0.8
	// tightShare and urgentShare hold where layers would otherwise be held by nobody.
	tightShare  = 0.86
	urgentShare = 0.93
	// goalShare is the part of the memory for requests that a replica over all
	// servers would have, which the plan gives to those that hold layers. The
	// smallest servers stay empty where the others reach it, so that a lost one can
	// be replaced without taking memory from the rest.
	goalShare = 0.6
	// mostSpare is the largest part of the servers that stay empty.
	mostSpare = 0.3
	// weakShare is the part of the goal below which a server is relieved.
	weakShare = 0.5
	// worthMoving is how many times more memory for each layer the weaker one of
	// two neighbours must have after a move of layers between them.
	worthMoving = 1.5
)

// Plan returns the changes that give the servers a whole replica, or as much of
// one as fits. What already holds layers keeps them where it can, since giving up
// layers waits for all requests that pass through them: a gap goes to servers that
// hold nothing, and to neighbours only where there are none. A server that has too
// little memory left for requests is relieved: another takes some of its layers
// first, and only when both hold them it gives them up, so that no layer is ever
// held by nobody. Each server gets at most one change at a time.
func Plan(engine *deployment.Engine, servers []Server) []Assignment {
	state := newState(engine, servers)
	if state.holding() == 0 {
		return state.fresh()
	}
	state.fillGaps()
	state.relieve()
	state.evenOut()
	return state.changes
}

// state is a plan in the making.
type state struct {
	engine  *deployment.Engine
	servers []Server // the one with the most memory first
	changes []Assignment
	goal    float64 // memory for requests for each layer
	// gapShare is the part of the memory that layers may take while some are held by
	// nobody.
	gapShare float64
	// touched holds the servers that are changed, or relieved by a changed one.
	touched map[deployment.BackendID]bool
}

func newState(engine *deployment.Engine, servers []Server) *state {
	s := &state{engine: engine, servers: append([]Server(nil), servers...), touched: map[deployment.BackendID]bool{}}
	sort.Slice(s.servers, func(i, j int) bool {
		a, b := s.servers[i], s.servers[j]
		if a.Memory != b.Memory {
			return a.Memory > b.Memory
		}
		return a.ID < b.ID
	})
	s.goal = goalShare * s.reach(s.all())
	s.gapShare = s.leastShare()
	return s
}

// leastShare is the least part of the memory with which all layers fit and each
// server has room for one more, so that they can be moved about. A server that is
// filled further than needed holds up the requests of all.
func (s *state) leastShare() float64 {
	for _, share := range []float64{usualShare, tightShare} {
		room := 0
		for _, server := range s.servers {
			room += max(0, s.room(server, share)-1)
		}
		if room >= s.engine.Layers {
			return share
		}
	}
	return urgentShare
}

func (s *state) all() []int {
	all := make([]int, len(s.servers))
	for i := range all {
		all[i] = i
	}
	return all
}

// reach is the memory for requests for each layer that a whole replica over some
// servers has, at its weakest server. It is 0 where they can't hold all layers.
func (s *state) reach(servers []int) float64 {
	weakest, held := 0.0, 0
	for i, count := range s.shares(s.engine.Layers, servers) {
		if count == 0 {
			continue
		}
		held += count
		if spare := s.spare(servers[i], count); weakest == 0 || spare < weakest {
			weakest = spare
		}
	}
	if held < s.engine.Layers {
		return 0
	}
	return weakest
}

func (s *state) holding() int {
	count := 0
	for _, server := range s.servers {
		if server.Layers.Len() > 0 {
			count++
		}
	}
	return count
}

// room is the most layers that a server may hold within a share of its memory.
func (s *state) room(server Server, share float64) int {
	return int(float64(server.Memory) * share / float64(s.engine.LayerSize))
}

func (s *state) set(index int, layers deployment.LayerRange) {
	s.servers[index].Layers = layers
	for i, change := range s.changes {
		if change.ID == s.servers[index].ID {
			s.changes[i].Layers = layers
			return
		}
	}
	s.changes = append(s.changes, Assignment{ID: s.servers[index].ID, Layers: layers})
}

// fresh splits all layers in proportion to memory over as few servers as reach the
// goal.
func (s *state) fresh() []Assignment {
	var free []int
	for i := range s.servers {
		if !s.servers[i].Fixed {
			free = append(free, i)
		}
	}
	fewest := len(free) - int(mostSpare*float64(len(free)))
	for len(free) > fewest && s.reach(free[:len(free)-1]) >= s.goal {
		free = free[:len(free)-1]
	}
	s.split(deployment.LayerRange{First: 0, End: s.engine.Layers}, free)
	return s.changes
}

// split gives a range to servers in proportion to their memory, in their order.
// Where the servers have too little room, the end of the range stays uncovered.
func (s *state) split(layers deployment.LayerRange, servers []int) {
	counts := s.shares(layers.Len(), servers)
	first := layers.First
	for i, index := range servers {
		if counts[i] == 0 {
			continue
		}
		s.set(index, deployment.LayerRange{First: first, End: first + counts[i]})
		first += counts[i]
	}
}

// shares divides layers one by one: each next layer goes to the server that
// keeps the most memory for each layer that it then holds.
func (s *state) shares(layers int, servers []int) []int {
	counts := make([]int, len(servers))
	for range layers {
		best := -1
		for i, index := range servers {
			if counts[i] >= s.room(s.servers[index], usualShare) {
				continue
			}
			if best < 0 || s.spare(servers[i], counts[i]+1) > s.spare(servers[best], counts[best]+1) {
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

// spare is the memory for requests for each layer, were the server to hold count
// layers. It bounds how many tokens of requests the server can take.
func (s *state) spare(index, count int) float64 {
	memory := float64(s.servers[index].Memory)
	return (memory - float64(count)*float64(s.engine.LayerSize)) / float64(count)
}

// copies returns how many servers hold each layer.
func (s *state) copies() []int {
	return s.copiesAt(func(int) bool { return true })
}

// copiesAt returns how many of the chosen servers hold each layer.
func (s *state) copiesAt(chosen func(index int) bool) []int {
	copies := make([]int, s.engine.Layers)
	for i, server := range s.servers {
		if !chosen(i) {
			continue
		}
		for layer := max(0, server.Layers.First); layer < min(server.Layers.End, s.engine.Layers); layer++ {
			copies[layer]++
		}
	}
	return copies
}

// gaps returns the ranges of layers that no server holds.
func (s *state) gaps() []deployment.LayerRange {
	var gaps []deployment.LayerRange
	copies := s.copies()
	for first := 0; first < len(copies); first++ {
		if copies[first] > 0 {
			continue
		}
		end := first
		for end < len(copies) && copies[end] == 0 {
			end++
		}
		gaps = append(gaps, deployment.LayerRange{First: first, End: end})
		first = end
	}
	return gaps
}

func (s *state) fillGaps() {
	for s.fillOne() {
	}
}

// fillOne covers the first gap that can be covered, or a part of it.
func (s *state) fillOne() bool {
	for _, gap := range s.gaps() {
		if s.fillWithEmpty(gap) || s.fillWithNeighbours(gap) || s.fillWithRedundant(gap) {
			return true
		}
	}
	return false
}

// fillWithEmpty covers a gap, or its begin, with servers that hold nothing: with
// as few as leave each of them the goal, the smallest that do.
func (s *state) fillWithEmpty(gap deployment.LayerRange) bool {
	empty := s.empty()
	if len(empty) == 0 {
		return false
	}
	for i := len(empty) - 1; i >= 0; i-- {
		if gap.Len() <= s.room(s.servers[empty[i]], usualShare) && s.spare(empty[i], gap.Len()) >= s.goal {
			s.set(empty[i], gap)
			return true
		}
	}
	for count := 2; count < len(empty); count++ {
		if s.splits(gap.Len(), empty[:count]) {
			empty = empty[:count]
			break
		}
	}
	s.split(gap, empty)
	return true
}

// splits tells whether servers can hold so many layers and keep the goal.
func (s *state) splits(layers int, servers []int) bool {
	held := 0
	for i, count := range s.shares(layers, servers) {
		held += count
		if count > 0 && s.spare(servers[i], count) < s.goal {
			return false
		}
	}
	return held == layers
}

// empty returns the servers that hold nothing and may be ordered, the largest first.
func (s *state) empty() []int {
	var empty []int
	for i, server := range s.servers {
		if !server.Fixed && server.Layers.Len() == 0 && s.room(server, usualShare) > 0 {
			empty = append(empty, i)
		}
	}
	return empty
}

// fillWithNeighbours lets the server that ends at the gap and the one that begins
// after it take one layer each in turn, whichever keeps more memory for requests.
func (s *state) fillWithNeighbours(gap deployment.LayerRange) bool {
	best, bestSpare := -1, 0.0
	for i, server := range s.servers {
		touches := server.Layers.Len() > 0 && (server.Layers.End == gap.First || server.Layers.First == gap.End)
		if !touches || server.Fixed || server.Layers.Len() >= s.room(server, s.gapShare) {
			continue
		}
		spare := s.spare(i, server.Layers.Len()+1)
		if best < 0 || spare > bestSpare {
			best, bestSpare = i, spare
		}
	}
	if best < 0 {
		return false
	}
	layers := s.servers[best].Layers
	if layers.End == gap.First {
		layers.End++
	} else {
		layers.First--
	}
	s.set(best, layers)
	return true
}
