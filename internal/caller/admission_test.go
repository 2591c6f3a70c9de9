package caller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// injectedBug selects a bug that the simulation must detect.
type injectedBug int

const (
	noBug injectedBug = iota
	// slotLeaked does not free the concurrency slot of some finished requests.
	slotLeaked
	// expirySkipped leaves requests in the queue beyond their MaxWait.
	expirySkipped
	// canceledRuns starts requests whose client has disconnected.
	canceledRuns
)

const (
	maxRunning      = 8
	simulationSteps = 300
)

func testTeam(i int) environment.Team {
	return environment.Team{
		Name: environment.TeamName(fmt.Sprint("tenant-", i)), Weight: i + 1, RequestsPerSecond: 50, MaxConcurrent: 6 + i,
	}
}

// simulateAdmission returns a simulation that checks the controller after each of
// a random series of arrivals, completions, disconnects and time steps.
func simulateAdmission(bug injectedBug) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		now := time.Unix(1000, 0)
		a := NewAdmissionController(maxRunning)
		var queued, running []*AdmissionRequest
		disconnected := map[*AdmissionRequest]bool{}
		for range simulationSteps {
			switch c.Choose(5) {
			case 0, 1:
				r := NewAdmissionRequest(testTeam(c.Choose(3)), float64(1+c.Choose(9)), time.Second)
				a.Submit(now, r)
				queued = append(queued, r)
			case 2:
				if len(running) > 0 {
					i := c.Choose(len(running))
					r := running[i]
					running = append(running[:i], running[i+1:]...)
					if bug != slotLeaked || c.Choose(4) > 0 {
						a.Done(now, r)
					}
				}
			case 3:
				now = now.Add(time.Duration(c.Choose(400)) * time.Millisecond)
				if bug != expirySkipped {
					a.Expire(now)
				}
			case 4:
				if len(queued) > 0 {
					r := queued[c.Choose(len(queued))]
					disconnected[r] = bug == canceledRuns || a.Cancel(now, r)
				}
			}
			var err error
			if queued, running, err = collectResults(now, queued, running, disconnected); err != nil {
				return err
			}
			if err := checkAdmission(a, len(queued), running); err != nil {
				return err
			}
		}
		return nil
	}
}

// collectResults moves requests from queued to running, or drops them, by their
// results. It fails if a request is queued for more than its MaxWait plus 400 ms, the
// upper bound of one time step of simulateAdmission.
func collectResults(now time.Time, queued, running []*AdmissionRequest, disconnected map[*AdmissionRequest]bool) (stillQueued, started []*AdmissionRequest, err error) {
	for _, r := range queued {
		select {
		case problem := <-r.Result():
			switch {
			case problem == nil && disconnected[r]:
				return nil, nil, fmt.Errorf("a request runs although its client disconnected")
			case problem == nil:
				running = append(running, r)
			case problem.RetryAfter <= 0:
				return nil, nil, fmt.Errorf("rejected without a Retry-After: %w", problem)
			}
			continue
		default:
		}
		if disconnected[r] {
			continue
		}
		if now.Sub(r.arrived) > r.MaxWait+400*time.Millisecond {
			return nil, nil, fmt.Errorf("a request has been queued for %s", now.Sub(r.arrived))
		}
		stillQueued = append(stillQueued, r)
	}
	return stillQueued, running, nil
}

func checkAdmission(a *AdmissionController, queued int, running []*AdmissionRequest) error {
	runningByTeam := map[environment.TeamName]int{}
	for _, r := range running {
		runningByTeam[r.Team.Name]++
		if runningByTeam[r.Team.Name] > r.Team.MaxConcurrent {
			return fmt.Errorf("team %s runs %d requests at once", r.Team.Name, runningByTeam[r.Team.Name])
		}
	}
	if a.Running() != len(running) || a.Running() > maxRunning {
		return fmt.Errorf("%d concurrency slots in use, %d requests run, limit %d", a.Running(), len(running), maxRunning)
	}
	if a.Queued() != queued {
		return fmt.Errorf("the controller has %d requests in its queue, want %d", a.Queued(), queued)
	}
	return nil
}

// TestProveAdmission checks that every request gets one result in time and that no
// limit is exceeded.
func TestProveAdmission(t *testing.T) {
	prove.Check(t, simulateAdmission(noBug))
}

// TestProveAdmissionCatches checks that the simulation detects each injected bug.
func TestProveAdmissionCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"slot of a finished request leaked":     simulateAdmission(slotLeaked),
		"deadline in the queue ignored":         simulateAdmission(expirySkipped),
		"request of a disconnected client runs": simulateAdmission(canceledRuns),
	})
}

// TestFirstRequestOfTeam checks that the first request of a team is admitted, because
// its token bucket starts full.
func TestFirstRequestOfTeam(t *testing.T) {
	a := NewAdmissionController(maxRunning)
	request := NewAdmissionRequest(testTeam(0), 1, time.Second)
	a.Submit(time.Unix(1000, 0), request)
	assert.Assert(t, <-request.Result() == nil)
}

// TestGreedyTeam checks that one of ten teams that sends 40 times as many requests as
// each of the others raises their 95th percentile latency by less than 10 %.
func TestGreedyTeam(t *testing.T) {
	baseline := othersP95(1)
	greedy := othersP95(40)
	t.Logf("p95 of the other nine teams: %s with equal load, %s beside a greedy team", baseline, greedy)
	assert.Assert(t, greedy < baseline*110/100, "%s to %s", baseline, greedy)
}

// othersP95 simulates ten teams, the first of which sends factor times as many
// requests as each of the others, and returns the 95th percentile of the others'
// time from arrival to completion.
func othersP95(factor int) time.Duration {
	const (
		limit    = 64
		teams    = 10
		service  = 500 * time.Millisecond
		interval = 100 * time.Millisecond
		length   = 60 * time.Second
		tick     = 5 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	a := NewAdmissionController(limit)
	var running, queued []*AdmissionRequest
	var times []time.Duration
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		kept := running[:0]
		for _, r := range running {
			if now.Sub(r.started) < service {
				kept = append(kept, r)
				continue
			}
			a.Done(now, r)
			if r.Team.Name != "greedy" {
				times = append(times, now.Sub(r.arrived))
			}
		}
		running = kept
		for i := range teams {
			if now.Sub(start)%interval != time.Duration(i)*tick {
				continue
			}
			team := environment.Team{Name: environment.TeamName(fmt.Sprint("t", i)), Weight: 1, RequestsPerSecond: 1000, MaxConcurrent: 1000}
			count := 1
			if i == 0 {
				team.Name, count = "greedy", factor
			}
			for range count {
				request := NewAdmissionRequest(team, 1, 730*time.Millisecond)
				a.Submit(now, request)
				queued = append(queued, request)
			}
		}
		a.Expire(now)
		queued, running, _ = collectResults(now, queued, running, nil)
	}
	return quantile(times, 0.95)
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}
