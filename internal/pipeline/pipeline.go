// Package pipeline chooses the backend servers that run a request's layers, so that
// each layer runs exactly once and in order.
//
// Usage: list the stages that accept requests and find the path with the lowest cost
// for a request that entered in an availability zone:
//
//	path, ok := pipeline.Find(engine, stages, zone)
//
// Find runs for each request. It searches the layer boundaries of some dozens of
// backend servers, which takes microseconds, and compares the predicted time of a
// token on each server under its current load.
package pipeline

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Stage is a backend server that holds layers and accepts requests.
type Stage struct {
	ID          deployment.BackendID
	Address     deployment.Address
	Zone        deployment.Zone
	Layers      deployment.LayerRange
	Accelerator deployment.Accelerator
	// Slots is the number of requests that it takes as the first stage, 0 if unknown.
	Slots int
	// Requests estimates the requests of all instances in flight on the stage.
	Requests int
	// Full is set while the stage must get no new requests, but is expected to accept some
	// soon.
	Full bool
	// AtLimit is set while the stage must not be the first one of a path, since it takes no
	// more requests a second.
	AtLimit bool
	// Unreachable is set while the stage must not be the first one of a path, since this
	// instance does not reach it.
	Unreachable bool
	// TimeToFirstEvent is the time to the first event of recent requests whose path
	// started at this stage, 0 if unknown.
	TimeToFirstEvent time.Duration
	// Slowdown is the ratio of the stage's time for a step to the time expected of its
	// accelerator. Values below 1 count as 1.
	Slowdown float64
	// Wait is the time until the stage can begin the prefill of a request that is moved to it, and
	// PrefillPerLayer how long that prefill takes for each layer, in nanoseconds. Both are used by
	// Reroute only, for the stages that replace others.
	Wait            time.Duration
	PrefillPerLayer float64
}

// prefill returns how long a moved request waits for the prefill of some of a stage's layers.
func (s *Stage) prefill(layers int) time.Duration {
	return s.Wait + time.Duration(s.PrefillPerLayer*float64(layers))
}

const (
	// HopTime is the time to send a token's activations to the next backend server.
	HopTime = 150 * time.Microsecond
	// zoneCrossingCost accounts for the inter-zone link, which all requests share. The
	// activations of one prompt occupy it for tens of milliseconds, so the requests of
	// a single zone can saturate it. A path that lies entirely in another zone sends
	// only events over the link.
	zoneCrossingCost = 100 * time.Millisecond
	// crowdingThreshold is the used share of a stage's request memory above which the
	// stage costs more. fullCrowdingCost is the added cost once all of it is used.
	crowdingThreshold = 0.7
	fullCrowdingCost  = 40 * time.Millisecond
	// maxMemoryUse is the used share of a stage's request memory from which on it gets no
	// new requests, since those that it runs still grow.
	maxMemoryUse = 0.92
	// bytesPerMegabyte converts to deployment.Megabytes, the platform's unit of memory.
	bytesPerMegabyte = 1e6
	// unqueuedFirstEvent is the time to the first event of a request that does not have
	// to queue. Any time above it is divided by firstEventCostDivisor, since the cost of
	// a path is the time of one token.
	unqueuedFirstEvent    = 120 * time.Millisecond
	firstEventCostDivisor = 10
	// maxHops is the maximum number of stages of a path.
	maxHops = 32
	// remoteZoneCost is added to a path that starts in another zone than the request's,
	// since its events cross the zone boundary.
	remoteZoneCost = 5 * time.Millisecond
	// eventGapShare is the share of the target gap between events that their computation may take,
	// as in the placement of layers.
	eventGapShare = 0.8
)

// PredictedStepTime is the predicted time of one token on some of a stage's layers, at
// the stage's current number of requests and slowdown.
func PredictedStepTime(engine *deployment.Engine, stage Stage, layers int) time.Duration {
	step := engine.StepTime + time.Duration(stage.Requests)*engine.StepPerRequest
	step += time.Duration(float64(stage.Requests) * engine.TypicalTokens() / 1000 * float64(engine.StepPerKContext))
	share := float64(layers) / float64(engine.Layers)
	return time.Duration(float64(step) * stage.Accelerator.StepFactor * share * max(1, stage.Slowdown))
}

// crowdingCost accounts for the requests that a stage would reject or interrupt for lack
// of memory. It is 0 until the estimated use of the stage's request memory reaches
// crowdingThreshold, and then grows linearly: it is fullCrowdingCost when the memory is
// used up, and more when the estimate exceeds the memory.
func crowdingCost(engine *deployment.Engine, stage Stage) time.Duration {
	used := memoryUse(engine, &stage)
	return time.Duration(max(0, used-crowdingThreshold) / (1 - crowdingThreshold) * float64(fullCrowdingCost))
}

// memoryUse returns the share of a stage's request memory that its requests are estimated
// to use, 0 if the memory is not known.
func memoryUse(engine *deployment.Engine, stage *Stage) float64 {
	free := float64(stage.Accelerator.Memory) - float64(stage.Layers.Len())*float64(engine.LayerSize)
	perToken := engine.KVBytesPerToken / float64(engine.Layers) * float64(stage.Layers.Len()) / bytesPerMegabyte
	if free <= 0 || perToken <= 0 {
		return 0
	}
	return float64(stage.Requests) * engine.TypicalTokens() * perToken / free
}

// HasMemory reports whether a stage is estimated to have memory for one more request.
func HasMemory(engine *deployment.Engine, stage *Stage) bool {
	return memoryUse(engine, stage) < maxMemoryUse
}

// MemoryRoom returns for how many more requests a stage is estimated to have memory. It returns
// false if its memory is not known, which does not bound them.
func MemoryRoom(engine *deployment.Engine, stage *Stage) (int, bool) {
	one := *stage
	one.Requests = 1
	perRequest := memoryUse(engine, &one)
	if perRequest <= 0 {
		return 0, false
	}
	return max(0, int(math.Ceil(maxMemoryUse/perRequest))-stage.Requests), true
}

// Path is a sequence of stages that runs all layers, with its predicted cost.
type Path struct {
	Hops []deployment.Hop
	IDs  []deployment.BackendID
	// Cost is the predicted time of one token over the whole path, plus penalties for
	// zone crossings, crowded stages and queueing.
	Cost time.Duration
	// FirstStageRequests is the estimated load of the first stage when the path was chosen.
	FirstStageRequests int
}

// ZoneCrossings returns how many hops of the path are in another zone than the hop before.
func ZoneCrossings(path Path, stages []Stage) int {
	zones := map[deployment.Address]deployment.Zone{}
	for _, stage := range stages {
		zones[stage.Address] = stage.Zone
	}
	count := 0
	for i := 1; i < len(path.Hops); i++ {
		if zones[path.Hops[i].Address] != zones[path.Hops[i-1].Address] {
			count++
		}
	}
	return count
}

// Contains reports whether the path passes through a backend server.
func (p Path) Contains(address deployment.Address) bool {
	for _, hop := range p.Hops {
		if hop.Address == address {
			return true
		}
	}
	return false
}

// Find returns the path with the lowest cost for a request that entered in a zone. The path
// stays within one zone. Only if no zone holds all layers, it may cross zones. Find returns
// false if it finds no path of at most maxHops hops that covers all layers in order on
// stages that are not full.
//
// With an order of zones, the path is in the first of them that has one by which events come within
// the engine's TargetEventGap, else the path with the lowest cost in any of them.
func Find(engine *deployment.Engine, stages []Stage, zone deployment.Zone, order ...deployment.Zone) (Path, bool) {
	byZone := ByZone(stages)
	var best Path
	var found bool
	if len(order) > 0 {
		best, found = findInOrder(engine, byZone, order)
	} else {
		best, found = findCheapest(engine, byZone, zone)
	}
	if found || anyComplete(engine, byZone) {
		return best, found
	}
	return findPath(engine, accepting(stages), zone)
}

// ByZone groups stages by zone.
func ByZone(stages []Stage) map[deployment.Zone][]Stage {
	byZone := map[deployment.Zone][]Stage{}
	for _, stage := range stages {
		byZone[stage.Zone] = append(byZone[stage.Zone], stage)
	}
	return byZone
}

// anyComplete reports whether a zone holds all layers.
func anyComplete(engine *deployment.Engine, byZone map[deployment.Zone][]Stage) bool {
	for _, inZone := range byZone {
		if len(MissingLayers(engine, inZone)) == 0 {
			return true
		}
	}
	return false
}

// findCheapest returns the cheapest path that stays within one zone.
func findCheapest(engine *deployment.Engine, byZone map[deployment.Zone][]Stage, zone deployment.Zone) (Path, bool) {
	var best Path
	found := false
	for _, inZone := range byZone {
		path, ok := findPath(engine, accepting(inZone), zone)
		if ok && (!found || path.before(&best)) {
			best, found = path, true
		}
	}
	return best, found
}

// findInOrder returns the path within the first zone that has one which meets the target for the
// gap between events, else the cheapest path within one of the zones.
func findInOrder(engine *deployment.Engine, byZone map[deployment.Zone][]Stage, order []deployment.Zone) (Path, bool) {
	var best Path
	found := false
	for _, zone := range order {
		path, ok := findPath(engine, accepting(byZone[zone]), zone)
		if ok && meetsTarget(engine, &path) {
			return path, true
		}
		if ok && (!found || path.before(&best)) {
			best, found = path, true
		}
	}
	return best, found
}

// meetsTarget reports whether events come within the engine's target for the gap between them.
func meetsTarget(engine *deployment.Engine, path *Path) bool {
	event := float64(path.Cost) * float64(max(1, engine.Stride))
	return engine.TargetEventGap == 0 || event <= eventGapShare*float64(engine.TargetEventGap)
}

// before reports whether a path is the better choice of two.
func (p *Path) before(other *Path) bool {
	if p.Cost != other.Cost {
		return p.Cost < other.Cost
	}
	return p.IDs[0] < other.IDs[0]
}

// accepting returns the stages that are not full.
func accepting(stages []Stage) []Stage {
	var list []Stage
	for _, stage := range stages {
		if !stage.Full {
			list = append(list, stage)
		}
	}
	return list
}

func findPath(engine *deployment.Engine, stages []Stage, zone deployment.Zone) (Path, bool) {
	search := newSearch(engine, stages)
	search.run(zone)
	return search.path()
}

// search is a shortest-path search over layer boundaries. A node is a boundary together
// with the stage that ran the layers before it, since the cost of the next hop depends
// on whether it crosses a zone boundary.
type search struct {
	engine     *deployment.Engine
	stages     []Stage
	costs      []stageCost
	boundaries []int
	best       [][]arrival // by boundary, then by stage
}

// stageCost is the cost of a hop on a stage: perHop, and perLayer for each of its layers.
type stageCost struct {
	perHop   time.Duration
	perLayer float64 // nanoseconds
}

// arrival is the cheapest path to a boundary whose last hop runs on a given stage.
type arrival struct {
	reached  bool
	cost     time.Duration
	hops     int
	from     int // index of the boundary at which the last hop starts
	previous int // stage of the hop before, -1 if there is none
}

func newSearch(engine *deployment.Engine, stages []Stage) *search {
	s := &search{engine: engine, stages: stages, costs: make([]stageCost, len(stages))}
	for i, stage := range stages {
		whole := PredictedStepTime(engine, stage, engine.Layers)
		s.costs[i] = stageCost{perHop: crowdingCost(engine, stage) + stage.Wait, perLayer: float64(whole)/float64(engine.Layers) + stage.PrefillPerLayer}
	}
	seen := map[int]bool{0: true, engine.Layers: true}
	for _, stage := range stages {
		seen[stage.Layers.First] = true
		seen[stage.Layers.End] = true
	}
	for boundary := range seen {
		if boundary >= 0 && boundary <= engine.Layers {
			s.boundaries = append(s.boundaries, boundary)
		}
	}
	sort.Ints(s.boundaries)
	s.best = make([][]arrival, len(s.boundaries))
	for i := range s.best {
		s.best[i] = make([]arrival, len(stages))
	}
	return s
}

func (s *search) run(zone deployment.Zone) {
	for at := range s.boundaries[:len(s.boundaries)-1] {
		arrivals := s.arrivals(at)
		for next, stage := range s.stages {
			if stage.Layers.First > s.boundaries[at] || stage.Layers.End <= s.boundaries[at] {
				continue
			}
			previous, cost, hops, ok := s.cheapest(at, next, zone, arrivals)
			if ok && hops < maxHops {
				s.extend(at, next, previous, cost, hops)
			}
		}
	}
}

// arrivals returns the stages on which paths reach a boundary, the cheapest path first.
func (s *search) arrivals(at int) []int {
	var list []int
	for stage, arrived := range s.best[at] {
		if arrived.reached {
			list = append(list, stage)
		}
	}
	slices.SortFunc(list, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.best[at][a].cost, s.best[at][b].cost), cmp.Compare(a, b))
	})
	return list
}

// cheapest returns the cheapest path to a boundary that stage next can continue: the stage
// of its last hop, its cost including the hop to next, and its number of hops.
func (s *search) cheapest(at, next int, zone deployment.Zone, arrivals []int) (previous int, cost time.Duration, hops int, ok bool) {
	if s.boundaries[at] == 0 {
		if s.stages[next].AtLimit || s.stages[next].Unreachable {
			return 0, 0, 0, false
		}
		if s.stages[next].Zone != zone {
			cost = remoteZoneCost
		}
		return -1, cost + queueingCost(s.stages[next].TimeToFirstEvent), 0, true
	}
	for _, from := range arrivals {
		arrived := s.best[at][from]
		total := arrived.cost + HopTime
		if ok && total >= cost {
			break // the rest costs no less
		}
		if s.stages[from].Zone != s.stages[next].Zone {
			total += zoneCrossingCost
		}
		if (!ok || total < cost) && !s.passesThrough(at, from, next) {
			previous, cost, hops, ok = from, total, arrived.hops, true
		}
	}
	return previous, cost, hops, ok
}

// passesThrough reports whether the path that reaches a boundary on stage from contains a
// stage before: a backend server may be on a path only once.
func (s *search) passesThrough(at, from, stage int) bool {
	for from >= 0 {
		if s.stages[from].Address == s.stages[stage].Address {
			return true
		}
		hop := s.best[at][from]
		at, from = hop.from, hop.previous
	}
	return false
}

// extend records the paths on which stage next runs the layers from a boundary to each
// later boundary that it holds, where they are cheaper than the known ones.
func (s *search) extend(at, next, previous int, cost time.Duration, hops int) {
	for to := at + 1; to < len(s.boundaries) && s.boundaries[to] <= s.stages[next].Layers.End; to++ {
		layers := s.boundaries[to] - s.boundaries[at]
		total := cost + s.costs[next].perHop + time.Duration(s.costs[next].perLayer*float64(layers))
		current := &s.best[to][next]
		if current.reached && current.cost <= total {
			continue
		}
		*current = arrival{reached: true, cost: total, hops: hops + 1, from: at, previous: previous}
	}
}

// queueingCost is the cost of a path whose requests wait for their first event. It is less
// than the wait itself, since path costs are times of one token.
func queueingCost(timeToFirstEvent time.Duration) time.Duration {
	return max(0, timeToFirstEvent-unqueuedFirstEvent) / firstEventCostDivisor
}

func (s *search) path() (Path, bool) {
	last := len(s.boundaries) - 1
	stage := -1
	for i, candidate := range s.best[last] {
		if candidate.reached && (stage < 0 || candidate.cost < s.best[last][stage].cost) {
			stage = i
		}
	}
	if stage < 0 {
		return Path{}, false
	}
	path := Path{Cost: s.best[last][stage].cost}
	for at := last; at > 0; {
		hop := s.best[at][stage]
		path.Hops = append(path.Hops, deployment.Hop{
			Address: s.stages[stage].Address,
			Layers:  deployment.LayerRange{First: s.boundaries[hop.from], End: s.boundaries[at]},
		})
		path.IDs = append(path.IDs, s.stages[stage].ID)
		at, stage = hop.from, hop.previous
	}
	reverse(path)
	path.FirstStageRequests = s.first(path).Requests
	return path, true
}

// first returns the first stage of a path.
func (s *search) first(path Path) Stage {
	for _, stage := range s.stages {
		if stage.ID == path.IDs[0] {
			return stage
		}
	}
	return Stage{}
}

func reverse(path Path) {
	for i, j := 0, len(path.Hops)-1; i < j; i, j = i+1, j-1 {
		path.Hops[i], path.Hops[j] = path.Hops[j], path.Hops[i]
		path.IDs[i], path.IDs[j] = path.IDs[j], path.IDs[i]
	}
}

// Reroute returns a path that replaces failed stages: their layers run on stages that are not on
// the path yet, and all other hops stay the same, so that their stages keep the state that they
// hold of the request. stages includes full ones: those may stay on the path, but do not replace
// a failed one. It returns false if no stage on the path failed, if the first one did, or if no
// other stages hold the layers.
func Reroute(engine *deployment.Engine, stages []Stage, path Path, failed []deployment.Address) (Path, bool) {
	gaps := failedLayers(path, failed)
	if len(gaps) == 0 || gaps[0].First == path.Hops[0].Layers.First {
		return Path{}, false
	}
	byAddress := map[deployment.Address]Stage{}
	for _, stage := range stages {
		byAddress[stage.Address] = stage
	}
	candidates := keptStages(byAddress, path, failed)
	moved := map[deployment.Address]Stage{}
	for _, gap := range gaps {
		for _, part := range replacements(stages, path, gap) {
			candidates = append(candidates, part)
			moved[part.Address] = part
		}
	}
	rerouted, ok := Find(engine, candidates, byAddress[path.Hops[0].Address].Zone)
	for _, hop := range rerouted.Hops {
		if stage, ok := moved[hop.Address]; ok {
			rerouted.Cost -= stage.prefill(hop.Layers.Len()) // not part of the time of a token
		}
	}
	return rerouted, ok
}

// failedLayers returns the layers of the failed stages of a path. Those of adjacent stages are one
// range, so that one stage may replace them.
func failedLayers(path Path, failed []deployment.Address) []deployment.LayerRange {
	var gaps []deployment.LayerRange
	for _, hop := range path.Hops {
		switch last := len(gaps) - 1; {
		case !slices.Contains(failed, hop.Address):
		case last >= 0 && gaps[last].End == hop.Layers.First:
			gaps[last].End = hop.Layers.End
		default:
			gaps = append(gaps, hop.Layers)
		}
	}
	return gaps
}

// keptStages returns the stages of a path that did not fail, each reduced to the layers that it
// runs. They have the request already, so that neither their capacity nor their limit matters.
func keptStages(byAddress map[deployment.Address]Stage, path Path, failed []deployment.Address) []Stage {
	var kept []Stage
	for i, hop := range path.Hops {
		if slices.Contains(failed, hop.Address) {
			continue
		}
		stage, ok := byAddress[hop.Address]
		if !ok {
			stage = Stage{ID: path.IDs[i], Address: hop.Address}
		}
		stage.Layers = hop.Layers
		stage.Full, stage.AtLimit = false, false
		stage.Wait, stage.PrefillPerLayer = 0, 0
		kept = append(kept, stage)
	}
	return kept
}

// replacements returns the stages that are not on the path and hold some of the layers,
// each reduced to those layers.
func replacements(stages []Stage, path Path, layers deployment.LayerRange) []Stage {
	var parts []Stage
	for _, stage := range stages {
		part := stage.Layers.Intersect(layers)
		if part.Len() <= 0 || stage.Full || path.Contains(stage.Address) {
			continue
		}
		stage.Layers = part
		parts = append(parts, stage)
	}
	return parts
}

// MissingLayers returns the layers that no stage holds.
func MissingLayers(engine *deployment.Engine, stages []Stage) []deployment.LayerRange {
	held := make([]bool, engine.Layers)
	for _, stage := range stages {
		for layer := max(0, stage.Layers.First); layer < min(stage.Layers.End, engine.Layers); layer++ {
			held[layer] = true
		}
	}
	var missing []deployment.LayerRange
	for layer := range held {
		switch {
		case held[layer]:
		case layer > 0 && !held[layer-1]:
			missing[len(missing)-1].End++
		default:
			missing = append(missing, deployment.LayerRange{First: layer, End: layer + 1})
		}
	}
	return missing
}

// Check returns a description of the problem if the hops do not run every layer once and
// in order or contain a backend server twice, and "" if there is none.
func Check(engine *deployment.Engine, hops []deployment.Hop) string {
	at := 0
	seen := map[deployment.Address]bool{}
	for _, hop := range hops {
		switch {
		case hop.Layers.First != at:
			return "a hop does not start where the previous hop ends"
		case hop.Layers.Len() <= 0:
			return "a hop has no layers"
		case seen[hop.Address]:
			return "a backend server is on the path twice"
		}
		seen[hop.Address] = true
		at = hop.Layers.End
	}
	if at != engine.Layers {
		return "the path ends before the last layer"
	}
	return ""
}
