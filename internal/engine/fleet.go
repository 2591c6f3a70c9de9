// Package engine generates the tokens of an answer: it chooses a path of runners
// that covers every layer of the model, drives a session along that path, and
// reroutes the session when a runner fails or is slow.
//
// It also keeps a request that crashes runners (a poison request) from running
// again: CrashTracker quarantines a request that was running on two runners when
// they crashed.
//
// Usage: Pool keeps the fleet and drives one Session for each request over real
// streams. Keep its Fleet up to date with the reports of the runners, then call
// Generate, which calls emit for each token:
//
//	pool := engine.NewPool(zone)
//	pool.WithFleet(func(f *engine.Fleet) {
//		f.SetRunners(instances)
//		f.RecordReport(time.Now(), id, report)
//	})
//	err := pool.Generate(ctx, engine.Request{Model: m, Version: v, Layers: n, Prompt: p, MaxTokens: 64}, emit)
package engine

import (
	"fmt"
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/ejection"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	// loadHalfLife is the age at which a load report has half its weight.
	loadHalfLife = 500 * time.Millisecond
	// crossZonePenalty exceeds any predicted time, so a path uses a runner of
	// another availability zone only where the fleet's zone has no path without
	// ejected runners.
	crossZonePenalty = time.Hour
	// ejectedPenalty far exceeds crossZonePenalty, so an ejected runner is used only
	// where no path exists without it.
	ejectedPenalty = 24 * time.Hour
	// maxBatchSteps is the maximum number of steps that a runner executes in
	// one batch. It must match the limit of the runners.
	maxBatchSteps = 64
	// defaultStepCost is used for a runner that reports no costs.
	defaultStepCost = 2 * time.Millisecond
	// stepTimeWeight is the weight of the newest measurement in the moving
	// average of a runner's step times. The average replaces the prediction when
	// it exceeds stepTimeMinRatio times the prediction, and expires stepTimeTTL
	// after the last measurement.
	stepTimeWeight   = 0.3
	stepTimeMinRatio = 4
	stepTimeTTL      = 2 * time.Second
	// prefixBlockSize is the number of positions in one block of a prefix cache.
	// A block is assumed to stay cached for prefixTTL. When more than maxPrefixes
	// blocks are recorded for a runner, all of them are discarded.
	prefixBlockSize = 16
	prefixTTL       = time.Minute
	maxPrefixes     = 4096
)

// Report is the status that a runner reports about itself.
type Report struct {
	Incarnation string
	Model       environment.ModelName
	Version     environment.ModelVersion
	Layers      int
	Range       runner.LayerRange
	Leaving     bool
	Loading     bool
	Queued      int
	// Sessions is the number of sessions that the runner keeps state for.
	Sessions     int
	BatchCost    time.Duration
	PositionCost time.Duration
	// RoundTrip is the time that fetching the report took.
	RoundTrip    time.Duration
	FencingToken int64
}

// Runner is the state that a Fleet keeps for one runner. Leaving comes from the
// instance list, Report.Leaving from the runner.
type Runner struct {
	ID      runner.ID
	Address string
	Zone    instancelist.Zone
	Leaving bool
	Report  Report
	// reportedAt is when the report was made; zero before the first one.
	reportedAt time.Time
	// assigned counts this instance's sessions whose path includes the runner;
	// assignedAtReport is its value when the report was recorded.
	assigned         int
	assignedAtReport int
	ejection         ejection.State
	// stepTime is the moving average of the time for a step of one position.
	stepTime   time.Duration
	stepTimeAt time.Time
	// prefixSentAt holds, for the hash of each prompt block, when it was last
	// sent to the runner.
	prefixSentAt map[uint64]time.Time
}

// Hop is one runner of a path, with the layers that it runs.
type Hop struct {
	Runner  runner.ID
	Address string
	Range   runner.LayerRange
	// PredictedTime is the predicted time of the prefill on this runner. Later
	// steps, of one position, are compared with it too.
	PredictedTime time.Duration
}

// Path is a sequence of runners whose ranges cover all layers in order.
type Path []Hop

// NoPathError reports that no sequence of runners covers the model's layers.
type NoPathError struct {
	Model   environment.ModelName
	Version environment.ModelVersion
}

func (e *NoPathError) Error() string {
	return fmt.Sprintf("no runners cover all layers of %s %s", e.Model, e.Version)
}

// Fleet is the set of runners that an entry instance can use. It is not safe for
// concurrent use.
type Fleet struct {
	zone    instancelist.Zone
	runners map[runner.ID]*Runner
	policy  Policy
	// instanceCount is the number of entry instances in the fleet's
	// availability zone, including this one.
	instanceCount int
}

// NewFleet returns an empty fleet. Paths prefer runners of the given availability
// zone.
func NewFleet(zone instancelist.Zone) *Fleet {
	return &Fleet{zone: zone, runners: map[runner.ID]*Runner{}, policy: Cheapest{}, instanceCount: 1}
}

// SetRunners replaces the set of runners with the runners of the instance list.
// The state of a runner is kept while its id and address stay the same.
func (f *Fleet) SetRunners(runners []instancelist.Instance) {
	listed := make(map[runner.ID]bool, len(runners))
	for _, i := range runners {
		id := runner.ID(i.ID)
		listed[id] = true
		r, ok := f.runners[id]
		if !ok || r.Address != i.Address {
			r = &Runner{ID: id, Address: i.Address}
			f.runners[id] = r
		}
		r.Zone, r.Leaving = i.Zone, i.Leaving
	}
	for id := range f.runners {
		if !listed[id] {
			delete(f.runners, id)
		}
	}
}

// SetInstanceCount sets the number of entry instances in the fleet's availability
// zone, including this one.
func (f *Fleet) SetInstanceCount(instances int) {
	f.instanceCount = max(instances, 1)
}

// Runners returns all runners, sorted by id.
func (f *Fleet) Runners() []*Runner {
	list := make([]*Runner, 0, len(f.runners))
	for _, r := range f.runners {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Runner returns the state of one runner, and false for a runner that is not in
// the instance list.
func (f *Fleet) Runner(id runner.ID) (*Runner, bool) {
	r, ok := f.runners[id]
	return r, ok
}

// RecordReport records a report that a runner made at the given time. A report
// older than the recorded one is dropped, and so is one of an unknown runner.
func (f *Fleet) RecordReport(at time.Time, id runner.ID, report Report) {
	r, ok := f.runners[id]
	if !ok || at.Before(r.reportedAt) {
		return
	}
	if r.Report.Incarnation != "" && r.Report.Incarnation != report.Incarnation {
		// The runner restarted: its ejection and its cached prefixes no
		// longer apply.
		r.ejection.RecordSuccess()
		r.prefixSentAt = nil
	}
	r.Report, r.reportedAt = report, at
	r.assignedAtReport = r.assigned
}

// Assign counts a session on each runner of its path.
func (f *Fleet) Assign(path Path) {
	for _, hop := range path {
		if r, ok := f.runners[hop.Runner]; ok {
			r.assigned++
		}
	}
}

// Unassign undoes Assign when a session leaves the path or ends.
func (f *Fleet) Unassign(path Path) {
	for _, hop := range path {
		if r, ok := f.runners[hop.Runner]; ok && r.assigned > 0 {
			r.assigned--
		}
	}
}

// RecordFailure ejects a runner, for longer with each failure in a row.
func (f *Fleet) RecordFailure(now time.Time, id runner.ID) {
	if r, ok := f.runners[id]; ok {
		r.ejection.RecordFailure(now)
	}
}

// PathQuery describes the path that a session needs.
type PathQuery struct {
	Model   environment.ModelName
	Version environment.ModelVersion
	Layers  int
	// Positions is the number of positions of the session's first step on each
	// runner of the path: those of the prefill, or 1 to predict the time of a
	// later step.
	Positions int
	// Exclude holds the runners that the path must not use.
	Exclude map[runner.ID]bool
	// Prefixes holds a hash for each complete block of the prompt. A block's hash
	// also covers all blocks before it.
	Prefixes []uint64
}

// CheapestPath returns the path with the lowest cost. It stays in the fleet's
// availability zone if runners there that are not ejected cover the layers.
// Otherwise it uses as few ejected runners as possible, and then as few runners of
// other zones as possible. The error is a *NoPathError.
func (f *Fleet) CheapestPath(now time.Time, q PathQuery) (Path, error) {
	best := make([]time.Duration, q.Layers+1)
	via := make([]*Runner, q.Layers+1)
	reached := make([]bool, q.Layers+1)
	reached[0] = true
	for _, r := range f.candidates(q) {
		from, to := r.Report.Range.First, r.Report.Range.End
		if !reached[from] {
			continue
		}
		total := best[from] + f.cost(now, r, &q)
		if !reached[to] || total < best[to] {
			best[to], via[to], reached[to] = total, r, true
		}
	}
	if !reached[q.Layers] {
		return nil, &NoPathError{Model: q.Model, Version: q.Version}
	}
	var path Path
	for at := q.Layers; at > 0; at = via[at].Report.Range.First {
		r := via[at]
		path = append(Path{f.hop(now, r, &q)}, path...)
	}
	return path, nil
}

// InZone reports whether all runners of a path are in the fleet's availability
// zone.
func (f *Fleet) InZone(path Path) bool {
	for _, hop := range path {
		if r, ok := f.runners[hop.Runner]; !ok || r.Zone != f.zone {
			return false
		}
	}
	return true
}

// ServableVersion returns the version of a model to serve: the configured one if
// runners cover its layers, otherwise another version that they cover, otherwise
// the configured one. The old version is thus served while runners load a new one.
func (f *Fleet) ServableVersion(now time.Time, m environment.Model) environment.ModelVersion {
	query := PathQuery{Model: m.Name, Version: m.Version, Layers: m.Layers}
	if _, err := f.CheapestPath(now, query); err == nil {
		return m.Version
	}
	for _, r := range f.Runners() {
		query.Version = r.Report.Version
		if r.Report.Model != m.Name {
			continue
		}
		if _, err := f.CheapestPath(now, query); err == nil {
			return query.Version
		}
	}
	return m.Version
}

func (f *Fleet) hop(now time.Time, r *Runner, q *PathQuery) Hop {
	return Hop{Runner: r.ID, Address: r.Address, Range: r.Report.Range, PredictedTime: f.predictServiceTime(now, r, q)}
}

// candidates returns the runners that accept new sessions for the query, sorted by
// first layer, so that CheapestPath needs only one pass over them.
func (f *Fleet) candidates(q PathQuery) []*Runner {
	var list []*Runner
	for _, r := range f.runners {
		report := &r.Report
		switch {
		case r.Leaving || report.Leaving || report.Loading || q.Exclude[r.ID]:
		case r.reportedAt.IsZero() || report.Model != q.Model || report.Version != q.Version:
		case report.Layers != q.Layers || report.Range.First < 0 || report.Range.End > q.Layers || report.Range.First >= report.Range.End:
		default:
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Report.Range.First != b.Report.Range.First {
			return a.Report.Range.First < b.Report.Range.First
		}
		return a.ID < b.ID
	})
	return list
}

// RecordPrefill records that the blocks of a prompt are about to be sent to a
// runner.
func (f *Fleet) RecordPrefill(now time.Time, id runner.ID, prefixes []uint64) {
	r, ok := f.runners[id]
	if !ok || len(prefixes) == 0 {
		return
	}
	if r.prefixSentAt == nil || len(r.prefixSentAt) > maxPrefixes {
		r.prefixSentAt = map[uint64]time.Time{}
	}
	for _, hash := range prefixes {
		r.prefixSentAt[hash] = now
	}
}

// RecordStepTime records the time that a runner took for a step of one position.
// It ends the runner's ejection, since the runner has replied.
func (f *Fleet) RecordStepTime(now time.Time, id runner.ID, elapsed time.Duration) {
	r, ok := f.runners[id]
	if !ok {
		return
	}
	if now.Sub(r.stepTimeAt) >= stepTimeTTL {
		r.stepTime = elapsed
	}
	r.stepTime += time.Duration(stepTimeWeight * float64(elapsed-r.stepTime))
	r.stepTimeAt = now
	r.ejection.RecordSuccess()
}

// ReportedAt returns when the newest report was made, zero before the first.
func (r *Runner) ReportedAt() time.Time {
	return r.reportedAt
}
