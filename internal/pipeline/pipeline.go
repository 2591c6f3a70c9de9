// Package pipeline chooses the backend servers that a request's tokens pass
// through, so that each layer runs once and in order.
//
// Usage: list the stages that may take work and ask for the fastest path, seen
// from an availability zone:
//
//	path, ok := pipeline.Find(engine, stages, zone)
//
// Find answers for each request. It searches the layer boundaries of some dozens
// of backend servers, which takes microseconds, and weighs the time that a token
// takes on each of them under its present load.
package pipeline

import (
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Stage is a backend server that holds layers and may take work.
type Stage struct {
	ID          deployment.BackendID
	Address     deployment.Address
	Zone        deployment.Zone
	Layers      deployment.LayerRange
	Accelerator deployment.Accelerator
	// Requests is the number of requests that pass through it now.
	Requests int
	// TimeToFirstEvent is the time to the first event that requests saw of late which began
	// here, 0 where it is not known.
	TimeToFirstEvent time.Duration
	// Slowdown is how many times longer it takes than its kind should.
	Slowdown float64
}

const (
	// hopTime is the time that a token takes from one backend server to the next.
	hopTime = 150 * time.Microsecond
	// borderTime stands for the pipe between zones that all requests share. A
	// prompt's activations take tens of milliseconds of it, so that one zone's
	// requests alone fill it; a whole path in another zone moves events only.
	borderTime = 100 * time.Millisecond
	// crowdedFrom is the part of a stage's memory for requests from which on others
	// are better, and fullTime what a stage without any counts for.
	crowdedFrom = 0.7
	fullTime    = 40 * time.Millisecond
	// bytesPerMegabyte is the platform's unit of memory.
	bytesPerMegabyte = 1e6
	// promptStart is a time to the first event that is no sign of waiting, and
	// startTokens how many tokens' time the rest of it weighs.
	promptStart = 120 * time.Millisecond
	startTokens = 10
	// maxHops is the most stages that a path may have.
	maxHops = 32
	// homeBorderTime is added to a path that begins in another zone than the
	// request's, whose events cross the border.
	homeBorderTime = 5 * time.Millisecond
)

// StepCost is what one token on a part of a stage's layers counts for in the choice
// of a path: its predicted time, and more where the stage is crowded.
func StepCost(engine *deployment.Engine, stage Stage, layers int) time.Duration {
	return PredictedStepTime(engine, stage, layers) + crowding(engine, stage)
}

// PredictedStepTime is the predicted time of one token on a part of a stage's layers.
func PredictedStepTime(engine *deployment.Engine, stage Stage, layers int) time.Duration {
	step := engine.StepTime + time.Duration(stage.Requests)*engine.StepPerRequest
	context := engine.TypicalPromptTokens + engine.TypicalOutputTokens/2
	step += time.Duration(float64(stage.Requests) * context / 1000 * float64(engine.StepPerKContext))
	share := float64(layers) / float64(engine.Layers)
	return time.Duration(float64(step) * stage.Accelerator.StepFactor * share * max(1, stage.Slowdown))
}

// crowding stands for the requests that a stage would refuse or interrupt for lack
// of memory. It grows from 0 where most of the stage's memory for requests is
// taken to several borders between zones where none is left.
func crowding(engine *deployment.Engine, stage Stage) time.Duration {
	free := float64(stage.Accelerator.Memory) - float64(stage.Layers.Len())*float64(engine.LayerSize)
	perToken := engine.KVBytesPerToken / float64(engine.Layers) * float64(stage.Layers.Len()) / bytesPerMegabyte
	if free <= 0 || perToken <= 0 {
		return 0
	}
	usual := engine.TypicalPromptTokens + engine.TypicalOutputTokens/2
	taken := float64(stage.Requests) * usual * perToken / free
	return time.Duration(max(0, taken-crowdedFrom) / (1 - crowdedFrom) * float64(fullTime))
}

// Path is a chosen path with its prediction.
type Path struct {
	Hops []deployment.Hop
	IDs  []deployment.BackendID
	// Cost is the predicted time of one token over the whole path, with
	// penalties for borders.
	Cost time.Duration
}

// ZoneCrossings is the number of borders between zones that the path crosses.
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

// Contains tells whether the path passes through a backend server.
func (p Path) Contains(address deployment.Address) bool {
	for _, hop := range p.Hops {
		if hop.Address == address {
			return true
		}
	}
	return false
}

// Find returns the path with the least predicted time for a token that begins in
// a zone, false where the stages don't cover all layers in order.
func Find(engine *deployment.Engine, stages []Stage, zone deployment.Zone) (Path, bool) {
	search := newSearch(engine, stages)
	search.run(zone)
	return search.path()
}

// search is a shortest-path search over layer boundaries. A node is a boundary
// together with the stage that the path came from, since a border between zones
// costs.
type search struct {
	engine     *deployment.Engine
	stages     []Stage
	boundaries []int
	best       [][]arrival // by boundary, then by stage
}

// arrival is the cheapest way to a boundary that ends on one stage.
type arrival struct {
	reached bool
	cost    time.Duration
	hops    int
	from    int // index of the boundary where the stage takes over
	before  int // stage that was left there, -1 at the first layer
}

func newSearch(engine *deployment.Engine, stages []Stage) *search {
	s := &search{engine: engine, stages: stages}
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
		for next, stage := range s.stages {
			if stage.Layers.First > s.boundaries[at] || stage.Layers.End <= s.boundaries[at] {
				continue
			}
			before, cost, hops, ok := s.cheapest(at, next, zone)
			if ok && hops < maxHops {
				s.extend(at, next, before, cost, hops)
			}
		}
	}
}

// cheapest returns the best way to be at a boundary before stage next takes over.
func (s *search) cheapest(at, next int, zone deployment.Zone) (before int, cost time.Duration, hops int, ok bool) {
	if s.boundaries[at] == 0 {
		if s.stages[next].Zone != zone {
			cost = homeBorderTime
		}
		return -1, cost + waiting(s.stages[next].TimeToFirstEvent), 0, true
	}
	for from, way := range s.best[at] {
		if !way.reached || from == next {
			continue
		}
		total := way.cost + hopTime
		if s.stages[from].Zone != s.stages[next].Zone {
			total += borderTime
		}
		if !ok || total < cost {
			before, cost, hops, ok = from, total, way.hops, true
		}
	}
	return before, cost, hops, ok
}

// extend lets stage next run from a boundary to each later one that it holds.
func (s *search) extend(at, next, before int, cost time.Duration, hops int) {
	for to := at + 1; to < len(s.boundaries) && s.boundaries[to] <= s.stages[next].Layers.End; to++ {
		total := cost + StepCost(s.engine, s.stages[next], s.boundaries[to]-s.boundaries[at])
		way := &s.best[to][next]
		if way.reached && way.cost <= total {
			continue
		}
		*way = arrival{reached: true, cost: total, hops: hops + 1, from: at, before: before}
	}
}

// waiting is what a path counts for whose requests wait for their first event. It
// is less than that time, since what is compared is the time of a token.
func waiting(start time.Duration) time.Duration {
	return max(0, start-promptStart) / startTokens
}

func (s *search) path() (Path, bool) {
	last := len(s.boundaries) - 1
	stage := -1
	for i, way := range s.best[last] {
		if way.reached && (stage < 0 || way.cost < s.best[last][stage].cost) {
			stage = i
		}
	}
	if stage < 0 {
		return Path{}, false
	}
	path := Path{Cost: s.best[last][stage].cost}
	used := map[int]bool{}
	for at := last; at > 0; {
		if used[stage] {
			return Path{}, false // a backend server may be on a path once only
		}
		used[stage] = true
		way := s.best[at][stage]
		path.Hops = append(path.Hops, deployment.Hop{
			Address: s.stages[stage].Address,
			Layers:  deployment.LayerRange{First: s.boundaries[way.from], End: s.boundaries[at]},
		})
		path.IDs = append(path.IDs, s.stages[stage].ID)
		at, stage = way.from, way.before
	}
	reverse(path)
	return path, true
}

func reverse(path Path) {
	for i, j := 0, len(path.Hops)-1; i < j; i, j = i+1, j-1 {
		path.Hops[i], path.Hops[j] = path.Hops[j], path.Hops[i]
		path.IDs[i], path.IDs[j] = path.IDs[j], path.IDs[i]
	}
}

// Reroute returns a path that differs from another only where one of its stages is
// lost: what that one ran is run by stages which are not on the path yet, and all
// others keep what they hold of the request. It is false where the first stage is
// the lost one, or nobody else holds the layers.
func Reroute(engine *deployment.Engine, stages []Stage, path Path, lost deployment.Address) (Path, bool) {
	if path.Hops[0].Address == lost || !path.Contains(lost) {
		return Path{}, false
	}
	byAddress := map[deployment.Address]Stage{}
	for _, stage := range stages {
		byAddress[stage.Address] = stage
	}
	var candidates []Stage
	for i, hop := range path.Hops {
		if hop.Address == lost {
			candidates = append(candidates, clipped(stages, path, hop.Layers)...)
			continue
		}
		kept, ok := byAddress[hop.Address]
		if !ok {
			kept = Stage{ID: path.IDs[i], Address: hop.Address}
		}
		kept.Layers = hop.Layers
		candidates = append(candidates, kept)
	}
	return Find(engine, candidates, byAddress[path.Hops[0].Address].Zone)
}

// clipped returns the stages that are not on a path and hold some of the layers,
// each with just these.
func clipped(stages []Stage, path Path, layers deployment.LayerRange) []Stage {
	var parts []Stage
	for _, stage := range stages {
		part := stage.Layers.Intersect(layers)
		if part.Len() <= 0 || path.Contains(stage.Address) {
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

// Check returns an error text where a path does not run every layer once and in
// order, or has a backend server twice, and "" where it does.
func Check(engine *deployment.Engine, hops []deployment.Hop) string {
	at := 0
	seen := map[deployment.Address]bool{}
	for _, hop := range hops {
		switch {
		case hop.Layers.First != at:
			return "a hop does not begin where the one before it ends"
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
