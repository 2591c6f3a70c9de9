package engine

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

func modelOf(version string) []environment.Model {
	return []environment.Model{{Name: "m", Version: environment.ModelVersion(version), Layers: 4}}
}

// fleetOf returns a fleet in zone-a of runners with the given reports. Runners whose
// id starts with "far" are in zone-b. Missing fields of a report get defaults.
func fleetOf(reports map[runner.ID]Report, now time.Time) *Fleet {
	f := NewFleet("zone-a")
	var list []instancelist.Instance
	for id := range reports {
		zone := instancelist.Zone("zone-a")
		if len(id) > 3 && id[:3] == "far" {
			zone = "zone-b"
		}
		list = append(list, instancelist.Instance{ID: instancelist.ID(id), Zone: zone, Address: string(id)})
	}
	f.SetRunners(list)
	for id, report := range reports {
		report.Model, report.Layers = "m", 4
		if report.Version == "" {
			report.Version = "v1"
		}
		if report.Range.End == 0 {
			report.Range.End = 4
		}
		if report.BatchCost == 0 {
			report.BatchCost = time.Millisecond
		}
		f.RecordReport(now, id, report)
	}
	return f
}

// TestChoosePath checks at which runner a new session starts.
func TestChoosePath(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		reports map[runner.ID]Report
		change  func(f *Fleet)
		query   PathQuery
		want    runner.ID
	}{
		"lower load": {
			reports: map[runner.ID]Report{"a": {Sessions: 50}, "b": {Sessions: 2}}, want: "b",
		},
		"faster": {
			reports: map[runner.ID]Report{"a": {BatchCost: 9 * time.Millisecond}, "b": {}}, want: "b",
		},
		"shorter round trip": {
			reports: map[runner.ID]Report{"a": {RoundTrip: 50 * time.Millisecond}, "b": {RoundTrip: time.Millisecond}}, want: "b",
		},
		"own zone despite higher load": {
			reports: map[runner.ID]Report{"a": {Sessions: 500}, "far-b": {}}, want: "a",
		},
		"other zone if own zone has no path": {
			reports: map[runner.ID]Report{"a": {Range: runner.LayerRange{End: 2}}, "far-b": {}}, want: "far-b",
		},
		"draining runner excluded": {
			reports: map[runner.ID]Report{"a": {Leaving: true}, "b": {Sessions: 50}}, want: "b",
		},
		"loading runner excluded": {
			reports: map[runner.ID]Report{"a": {Loading: true}, "b": {Sessions: 50}}, want: "b",
		},
		"ejected runner avoided": {
			reports: map[runner.ID]Report{"a": {}, "b": {Sessions: 50}},
			change:  func(f *Fleet) { f.RecordFailure(now, "a") }, want: "b",
		},
		"ejected runner used if it is the only one": {
			reports: map[runner.ID]Report{"a": {}}, change: func(f *Fleet) { f.RecordFailure(now, "a") }, want: "a",
		},
		"step reply ends ejection": {
			reports: map[runner.ID]Report{"a": {}, "b": {Sessions: 50}},
			change: func(f *Fleet) {
				f.RecordFailure(now, "a")
				f.RecordStepTime(now, "a", time.Millisecond)
			}, want: "a",
		},
		"own sessions count before the next report": {
			reports: map[runner.ID]Report{"a": {}, "b": {Sessions: 1}},
			change: func(f *Fleet) {
				for range 9 {
					f.Assign(Path{{Runner: "a"}})
				}
			}, want: "b",
		},
		"other instances assumed to assign as many sessions": {
			reports: map[runner.ID]Report{
				"a": {BatchCost: 10 * time.Millisecond, PositionCost: time.Millisecond},
				"b": {BatchCost: 30 * time.Millisecond, PositionCost: time.Millisecond},
			},
			change: func(f *Fleet) {
				f.SetInstanceCount(8)
				for range 3 {
					f.Assign(Path{{Runner: "a"}})
				}
			}, want: "b",
		},
		"few sessions of a single instance": {
			reports: map[runner.ID]Report{
				"a": {BatchCost: 10 * time.Millisecond, PositionCost: time.Millisecond},
				"b": {BatchCost: 30 * time.Millisecond, PositionCost: time.Millisecond},
			},
			change: func(f *Fleet) {
				for range 3 {
					f.Assign(Path{{Runner: "a"}})
				}
			}, want: "a",
		},
		"measured step time exceeds prediction": {
			reports: map[runner.ID]Report{"a": {}, "b": {Sessions: 5}},
			change:  func(f *Fleet) { f.RecordStepTime(now, "a", 200*time.Millisecond) }, want: "b",
		},
		"prompt prefix cached": {
			reports: map[runner.ID]Report{"a": {PositionCost: time.Millisecond}, "b": {PositionCost: time.Millisecond, Sessions: 3}},
			change:  func(f *Fleet) { f.RecordPrefill(now, "b", []uint64{1, 2}) },
			query:   PathQuery{Positions: 40, Prefixes: []uint64{1, 2}}, want: "b",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleetOf(test.reports, now)
			if test.change != nil {
				test.change(f)
			}
			query := test.query
			query.Model, query.Version, query.Layers = "m", "v1", 4
			path, err := f.ChoosePath(now, query)
			assert.NilError(t, err)
			assert.Equal(t, path[0].Runner, test.want)
		})
	}
}

// TestNoPathError checks that a gap in the covered layers gives a *NoPathError with
// its fields set.
func TestNoPathError(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleetOf(map[runner.ID]Report{"a": {Range: runner.LayerRange{End: 2}}, "b": {Range: runner.LayerRange{First: 3, End: 4}}}, now)
	_, err := f.ChoosePath(now, PathQuery{Model: "m", Version: "v1", Layers: 4})
	var none *NoPathError
	assert.Assert(t, errors.As(err, &none))
	assert.Equal(t, none.Version, environment.ModelVersion("v1"))
}

// TestOldReportWeighsLess checks that the load in an old report loses weight: the
// runner with the higher but older load is chosen.
func TestOldReportWeighsLess(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleetOf(map[runner.ID]Report{"a": {Sessions: 30}, "b": {Sessions: 10}}, now)
	later := now.Add(20 * loadHalfLife)
	f.RecordReport(later, "b", f.runners["b"].Report)
	path, err := f.ChoosePath(later, PathQuery{Model: "m", Version: "v1", Layers: 4})
	assert.NilError(t, err)
	assert.Equal(t, path[0].Runner, runner.ID("a"))
}
