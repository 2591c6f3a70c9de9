package placement

import (
	"sort"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// fragment is a sequence of servers whose ranges of layers follow one another.
type fragment struct {
	servers []int
	layers  deployment.LayerRange // from the first layer of the first server to the end of the last
}

// replicasOf returns which servers form a replica, as indices, without those that hold no
// layers. A replica may miss layers. Servers whose ranges meet form a fragment; fragments
// form a replica where the distance between one's end and the next one's start is
// smallest; a server whose layers another server holds alone belongs to the replica of that one.
func replicasOf(engine *deployment.Engine, servers []Server) [][]int {
	complete, partial := separate(engine, fragmentsOf(servers))
	chains := join(partial)
	chains = append(complete, chains...)
	chains = absorb(servers, chains)
	replicas := make([][]int, 0, len(chains))
	for _, chain := range chains {
		replicas = append(replicas, chain.servers)
	}
	return replicas
}

// fragmentsOf appends each server, by its first layer, to a fragment that ends there, and
// starts a fragment with it where there is none.
func fragmentsOf(servers []Server) []fragment {
	var fragments []fragment
	for _, index := range byFirstLayer(servers) {
		layers := servers[index].Layers
		at := endingAt(fragments, layers.First)
		if at < 0 {
			fragments = append(fragments, fragment{servers: []int{index}, layers: layers})
			continue
		}
		fragments[at].servers = append(fragments[at].servers, index)
		fragments[at].layers.End = layers.End
	}
	return fragments
}

// byFirstLayer returns the indices of the servers that hold layers, the lowest layers and
// of equal ones the longest range first.
func byFirstLayer(servers []Server) []int {
	var order []int
	for i, server := range servers {
		if server.Layers.Len() > 0 {
			order = append(order, i)
		}
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := servers[order[i]], servers[order[j]]
		switch {
		case a.Layers.First != b.Layers.First:
			return a.Layers.First < b.Layers.First
		case a.Layers.End != b.Layers.End:
			return a.Layers.End > b.Layers.End
		}
		return a.ID < b.ID
	})
	return order
}

func endingAt(fragments []fragment, layer int) int {
	for i, f := range fragments {
		if f.layers.End == layer {
			return i
		}
	}
	return -1
}

// separate returns the fragments that hold all layers, and the others.
func separate(engine *deployment.Engine, fragments []fragment) (complete, partial []fragment) {
	for _, f := range fragments {
		if f.layers.First == 0 && f.layers.End == engine.Layers {
			complete = append(complete, f)
		} else {
			partial = append(partial, f)
		}
	}
	return complete, partial
}

// join appends each fragment, by its first layer, to the chain whose end is nearest to
// that, if the chain becomes longer by it.
func join(fragments []fragment) []fragment {
	var chains []fragment
	for _, f := range fragments {
		at := nearest(chains, f)
		if at < 0 {
			chains = append(chains, f)
			continue
		}
		chains[at].servers = append(append([]int(nil), chains[at].servers...), f.servers...)
		chains[at].layers.End = f.layers.End
	}
	return chains
}

func nearest(chains []fragment, f fragment) int {
	best, bestDistance := -1, 0
	for i, chain := range chains {
		if chain.layers.End >= f.layers.End || chain.layers.First >= f.layers.First {
			continue
		}
		distance := max(chain.layers.End-f.layers.First, f.layers.First-chain.layers.End)
		if best < 0 || distance < bestDistance {
			best, bestDistance = i, distance
		}
	}
	return best
}

// absorb moves chains of one server into the chain of a server that holds all of their
// layers and more. Such servers load layers before the other one releases them.
func absorb(servers []Server, chains []fragment) []fragment {
	var kept, single []fragment
	for _, chain := range chains {
		if len(chain.servers) == 1 {
			single = append(single, chain)
		} else {
			kept = append(kept, chain)
		}
	}
	for _, chain := range single {
		at := containing(servers, kept, chain.layers)
		if at < 0 {
			kept = append(kept, chain)
			continue
		}
		kept[at].servers = append(append([]int(nil), kept[at].servers...), chain.servers...)
	}
	return kept
}

// containing returns the chain with a server that holds the given layers and more. Of
// several it prefers one whose upper half they are, which is what planner.offload loads. It
// returns -1 if there is none.
func containing(servers []Server, chains []fragment, layers deployment.LayerRange) int {
	found, foundDistance := -1, 0
	for i, chain := range chains {
		for _, index := range chain.servers {
			held := servers[index].Layers
			if !held.Contains(layers) || held == layers {
				continue
			}
			middle := held.First + held.Len()/2
			distance := max(layers.First-middle, middle-layers.First) + held.End - layers.End
			if found < 0 || distance < foundDistance {
				found, foundDistance = i, distance
			}
		}
	}
	return found
}
