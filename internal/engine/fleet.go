// Package engine turns a prompt into tokens: it chooses a path of runners that
// covers every layer, drives a session along it, and goes on with another path
// when a runner is lost.
//
// Usage: keep a Fleet up to date with reports, and drive one Session for each
// answer; Pool does both with real streams:
//
//	tokens, err := pool.Generate(ctx, engine.Request{Model: m, Prompt: p, MaxTokens: 64}, emit)
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
	// loadHalfLife is the age at which a load report counts half.
	loadHalfLife = 500 * time.Millisecond
	// remotePenalty keeps a path in the own availability zone wherever that
	// can serve at all.
	remotePenalty = time.Hour
	// ejectedPenalty keeps ejected runners out unless no path exists without.
	ejectedPenalty = 24 * time.Hour
	// engineBatch is the number of steps that engines run in one batch.
	engineBatch = 64
	defaultCost = 2 * time.Millisecond
	// observedWeight is the weight of the newest observation, observedMemory
	// how long observations count once none is made any more.
	observedWeight = 0.3
	observedFactor = 4
	observedMemory = 2 * time.Second
	// prefixBlock is the number of positions that a prefix cache keeps
	// together, prefixMemory how long a block is believed to stay cached.
	prefixBlock  = 16
	prefixMemory = time.Minute
	maxPrefixes  = 4096
)

// Report is what a runner says about itself.
type Report struct {
	Incarnation string
	Model       environment.ModelName
	Version     environment.ModelVersion
	Layers      int
	Range       runner.LayerRange
	Leaving     bool
	Loading     bool
	Queued      int
	// Sessions is the number of answers that the runner keeps state for.
	Sessions     int
	BatchCost    time.Duration
	PositionCost time.Duration
	// RoundTrip is how long the report took to fetch.
	RoundTrip    time.Duration
	FencingToken int64
}

// Runner is what is known about one runner.
type Runner struct {
	ID      runner.ID
	Address string
	Zone    instancelist.Zone
	Leaving bool
	Report  Report
	// reported is when the report was made; zero before the first.
	reported time.Time
	// assigned counts this instance's answers whose path has the runner, and
	// assignedThen how many there were when the report was made.
	assigned     int
	assignedThen int
	ejection     ejection.State
	// observed is how long a step of one position has taken lately.
	observed   time.Duration
	observedAt time.Time
	// prefixes holds when a prompt block was last sent to the runner.
	prefixes map[uint64]time.Time
}

// Hop is one runner of a path.
type Hop struct {
	Runner  runner.ID
	Address string
	Range   runner.LayerRange
	// Expected is how long the first pass is predicted to take here.
	Expected time.Duration
}

// Path is runners whose ranges cover all layers in order.
type Path []Hop

// NoPathError says that no chain of runners covers the model's layers.
type NoPathError struct {
	Model   environment.ModelName
	Version environment.ModelVersion
}

func (e *NoPathError) Error() string {
	return fmt.Sprintf("no runners cover all layers of %s %s", e.Model, e.Version)
}

// Fleet is the runners that an entry instance may use. It is not safe for
// concurrent use.
type Fleet struct {
	zone    instancelist.Zone
	runners map[runner.ID]*Runner
	policy  Policy
	// sharing is the number of instances that use the fleet, this one included.
	sharing int
}

// NewFleet returns an empty fleet seen from an availability zone.
func NewFleet(zone instancelist.Zone) *Fleet {
	return &Fleet{zone: zone, runners: map[runner.ID]*Runner{}, policy: Cheapest{}, sharing: 1}
}

// SetRunners takes the engines of the instance list. What is known of those
// that stay is kept.
func (f *Fleet) SetRunners(engines []instancelist.Instance) {
	listed := make(map[runner.ID]bool, len(engines))
	for _, i := range engines {
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

// SetInstanceCount sets the number of instances that use the fleet, this one
// included.
func (f *Fleet) SetInstanceCount(instances int) {
	f.sharing = max(instances, 1)
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

// Runner returns one runner.
func (f *Fleet) Runner(id runner.ID) (*Runner, bool) {
	r, ok := f.runners[id]
	return r, ok
}

// RecordReport takes what a runner said at a time. A report older than the one
// held is dropped.
func (f *Fleet) RecordReport(at time.Time, id runner.ID, report Report) {
	r, ok := f.runners[id]
	if !ok || at.Before(r.reported) {
		return
	}
	if r.Report.Incarnation != "" && r.Report.Incarnation != report.Incarnation {
		// Another process: what was known of the old one says nothing.
		r.ejection.RecordSuccess()
		r.prefixes = nil
	}
	r.Report, r.reported = report, at
	r.assignedThen = r.assigned
}

// Assign counts an answer that takes a path.
func (f *Fleet) Assign(path Path) {
	for _, hop := range path {
		if r, ok := f.runners[hop.Runner]; ok {
			r.assigned++
		}
	}
}

// Unassign counts an answer that leaves its path.
func (f *Fleet) Unassign(path Path) {
	for _, hop := range path {
		if r, ok := f.runners[hop.Runner]; ok && r.assigned > 0 {
			r.assigned--
		}
	}
}

// RecordFailure ejects a runner for a time.
func (f *Fleet) RecordFailure(now time.Time, id runner.ID) {
	if r, ok := f.runners[id]; ok {
		r.ejection.RecordFailure(now)
	}
}

// PathQuery asks for a path.
type PathQuery struct {
	Model   environment.ModelName
	Version environment.ModelVersion
	Layers  int
	// Positions is the number of positions that the first pass runs.
	Positions int
	// Exclude lists runners that this request must not use.
	Exclude map[runner.ID]bool
	// Prefixes holds the hash of each whole block of the prompt, with all
	// before it.
	Prefixes []uint64
}

// CheapestPath returns the cheapest path: in the own availability zone where that
// covers the layers, and through as few other runners as possible where it
// doesn't.
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

// InZone reports whether a path stays in the own availability zone.
func (f *Fleet) InZone(path Path) bool {
	for _, hop := range path {
		if r, ok := f.runners[hop.Runner]; !ok || r.Zone != f.zone {
			return false
		}
	}
	return true
}

// ServableVersion returns the version to serve of a model: the wanted one where
// runners cover its layers, else another one that they cover. While runners
// load a new version, the old one goes on being served.
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
	return Hop{Runner: r.ID, Address: r.Address, Range: r.Report.Range, Expected: f.busy(now, r, q)}
}

// candidates returns the runners that may take new work for the query, by
// rising first layer, so that one pass of ChoosePath settles every layer.
func (f *Fleet) candidates(q PathQuery) []*Runner {
	var list []*Runner
	for _, r := range f.runners {
		report := &r.Report
		switch {
		case r.Leaving || report.Leaving || report.Loading || q.Exclude[r.ID]:
		case r.reported.IsZero() || report.Model != q.Model || report.Version != q.Version:
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

// RecordPrefill notes that a prompt was sent to a runner.
func (f *Fleet) RecordPrefill(now time.Time, id runner.ID, prefixes []uint64) {
	r, ok := f.runners[id]
	if !ok || len(prefixes) == 0 {
		return
	}
	if r.prefixes == nil || len(r.prefixes) > maxPrefixes {
		r.prefixes = map[uint64]time.Time{}
	}
	for _, hash := range prefixes {
		r.prefixes[hash] = now
	}
}

// RecordStepTime takes how long a runner took for a step of one position. Its
// ejection ends, since it answers.
func (f *Fleet) RecordStepTime(now time.Time, id runner.ID, took time.Duration) {
	r, ok := f.runners[id]
	if !ok {
		return
	}
	if now.Sub(r.observedAt) >= observedMemory {
		r.observed = took
	}
	r.observed += time.Duration(observedWeight * float64(took-r.observed))
	r.observedAt = now
	r.ejection.RecordSuccess()
}

// ReportedAt returns when the newest report was made, zero before the first.
func (r *Runner) ReportedAt() time.Time {
	return r.reported
}
