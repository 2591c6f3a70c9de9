package placement

import (
	"math"
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

const (
	// minReplicaRequests is the number of typical requests for which a replica must have
	// memory. With fewer, a few long requests use up the memory of a server.
	minReplicaRequests = 64
	// maxReplicaServers leaves room on the longest path for servers that replace a lost one.
	maxReplicaServers = 24
	// usableRequestMemory is the share of the request memory that is planned with, since
	// requests differ in size.
	usableRequestMemory = 0.9
	// eventGapShare is the share of the target gap between events that their computation
	// may take.
	eventGapShare = 0.8
	bytesPerMB    = 1e6
	// unknownSlots is the number of slots where servers do not tell theirs.
	unknownSlots = math.MaxInt32
)

// replicaRate is what one replica over some servers is predicted to carry.
type replicaRate struct {
	requests float64 // at once
	rate     float64 // answers a second
}

// rateModel predicts what replicas carry, from the memory and speed of their servers.
type rateModel struct {
	engine *deployment.Engine
}

// replica returns the prediction for one replica over the given servers, with the layers
// divided by memory. It returns false if the servers can't hold all layers and
// minReplicaRequests requests, or if tokens would take too long even with so few.
func (m rateModel) replica(servers []Server) (replicaRate, bool) {
	memory, ok := m.requestMemory(servers)
	if !ok {
		return replicaRate{}, false
	}
	requests := m.requestsIn(memory)
	idle := m.tokenTime(servers, memory, 0)
	perRequest := (m.tokenTime(servers, memory, minReplicaRequests) - idle) / minReplicaRequests
	if limit := m.maxTokenTime(); limit > 0 && perRequest > 0 {
		requests = min(requests, (limit-idle)/perRequest)
	}
	if requests < minReplicaRequests {
		return replicaRate{}, false
	}
	requests = min(requests, float64(m.slots(servers)))
	answer := max(1, m.engine.TypicalOutputTokens) * (idle + requests*perRequest)
	return replicaRate{requests: requests, rate: requests / answer}, true
}

// requestMemory returns the most request memory per layer, in megabytes, that all servers
// of a replica can have at once. It returns false if they can't hold all layers.
func (m rateModel) requestMemory(servers []Server) (float64, bool) {
	total := 0.0
	for _, server := range servers {
		total += float64(server.Memory)
	}
	if m.layersHeld(servers, 0) < m.engine.Layers {
		return 0, false
	}
	low, high := 0.0, total/float64(m.engine.Layers)
	for high-low > 1 {
		middle := (low + high) / 2
		if m.layersHeld(servers, middle) >= m.engine.Layers {
			low = middle
		} else {
			high = middle
		}
	}
	return low, true
}

// layersHeld returns how many layers servers can hold if each keeps some request memory
// per layer.
func (m rateModel) layersHeld(servers []Server, requestMemory float64) int {
	count := 0
	for _, server := range servers {
		count += m.layersOn(server, requestMemory)
	}
	return count
}

func (m rateModel) layersOn(server Server, requestMemory float64) int {
	most := float64(server.Memory) * normalShare / float64(m.engine.LayerSize)
	return int(min(most, float64(server.Memory)/(float64(m.engine.LayerSize)+requestMemory)))
}

// requestsIn returns how many typical requests fit in an amount of request memory per
// layer.
func (m rateModel) requestsIn(memory float64) float64 {
	perLayer := m.engine.TypicalTokens() * m.engine.KVBytesPerToken / float64(m.engine.Layers) / bytesPerMB
	if perLayer <= 0 {
		return math.MaxInt32
	}
	return usableRequestMemory * memory / perLayer
}

// slots returns the least number of slots of the servers, any of which may be the first.
func (m rateModel) slots(servers []Server) int {
	least := unknownSlots
	for _, server := range servers {
		if server.Slots > 0 {
			least = min(least, server.Slots)
		}
	}
	return least
}

// tokenTime returns the seconds that a token takes over all servers.
func (m rateModel) tokenTime(servers []Server, requestMemory float64, requests int) float64 {
	held := float64(m.layersHeld(servers, requestMemory))
	total := time.Duration(len(servers)) * pipeline.HopTime
	for _, server := range servers {
		stage := pipeline.Stage{Accelerator: deployment.Accelerator{StepFactor: server.StepFactor}, Requests: requests}
		whole := pipeline.PredictedStepTime(m.engine, stage, m.engine.Layers)
		total += time.Duration(float64(whole) * float64(m.layersOn(server, requestMemory)) / held)
	}
	return total.Seconds()
}

// maxTokenTime returns the seconds that a token may take, 0 if there is no limit.
func (m rateModel) maxTokenTime() float64 {
	return eventGapShare * m.engine.TargetEventGap.Seconds() / float64(max(1, m.engine.Stride))
}

// divide divides servers into replicas such that these together have the highest rate, and
// returns their indices by replica. Servers of similar speed form a replica, since the
// slowest ones determine its rate. Servers that add nothing are in none.
func (m rateModel) divide(servers []Server) [][]int {
	order := bySpeed(servers)
	best := make([]float64, len(order)+1)
	from := make([]int, len(order)+1) // where the replica that ends here begins, -1 if none does
	for end := 1; end <= len(order); end++ {
		best[end], from[end] = best[end-1], -1
		for first := end - 1; first >= max(0, end-maxReplicaServers); first-- {
			predicted, ok := m.replica(selected(servers, order[first:end]))
			if ok && best[first]+predicted.rate > best[end] {
				best[end], from[end] = best[first]+predicted.rate, first
			}
		}
	}
	var replicas [][]int
	for end := len(order); end > 0; {
		if from[end] < 0 {
			end--
			continue
		}
		replicas = append(replicas, order[from[end]:end])
		end = from[end]
	}
	return replicas
}

// bySpeed returns the indices of servers, the fastest first and the largest of equally
// fast ones first.
func bySpeed(servers []Server) []int {
	order := make([]int, len(servers))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := servers[order[i]], servers[order[j]]
		switch {
		case a.StepFactor != b.StepFactor:
			return a.StepFactor < b.StepFactor
		case a.Memory != b.Memory:
			return a.Memory > b.Memory
		}
		return a.ID < b.ID
	})
	return order
}

func selected(servers []Server, indices []int) []Server {
	list := make([]Server, 0, len(indices))
	for _, index := range indices {
		list = append(list, servers[index])
	}
	return list
}

// holds reports whether the servers have memory for some number of replicas, each with
// minReplicaRequests requests.
func (m rateModel) holds(servers []Server, replicas int) bool {
	requestMemory := 0.0
	if one := m.requestsIn(1); one < math.MaxInt32 {
		requestMemory = minReplicaRequests / one
	}
	return m.layersHeld(servers, requestMemory) >= replicas*m.engine.Layers
}
