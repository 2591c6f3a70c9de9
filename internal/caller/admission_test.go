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

// flaw names a fault that is planted to show that the proof catches it.
type flaw int

const (
	noFlaw flaw = iota
	// placeLost forgets to free the place of an ended request.
	placeLost
	// expiryForgotten leaves requests in the queue beyond their deadline.
	expiryForgotten
	// abandonedRuns starts requests whose caller has gone.
	abandonedRuns
)

const (
	proofLimit = 8
	proofSteps = 300
)

func proofTenant(i int) environment.Team {
	return environment.Team{
		Name: environment.TeamName(fmt.Sprint("tenant-", i)), Weight: i + 1, RequestsPerSecond: 50, MaxConcurrent: 6 + i,
	}
}

// admissionHolds runs random arrivals, ends, departures and time.
func admissionHolds(f flaw) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		now := time.Unix(1000, 0)
		a := NewAdmissionController(proofLimit)
		var waiting, running []*AdmissionRequest
		gone := map[*AdmissionRequest]bool{}
		for range proofSteps {
			switch c.Choose(5) {
			case 0, 1:
				t := NewAdmissionRequest(proofTenant(c.Choose(3)), float64(1+c.Choose(9)), time.Second)
				a.Submit(now, t)
				waiting = append(waiting, t)
			case 2:
				if len(running) > 0 {
					i := c.Choose(len(running))
					t := running[i]
					running = append(running[:i], running[i+1:]...)
					if f != placeLost || c.Choose(4) > 0 {
						a.Done(now, t)
					}
				}
			case 3:
				now = now.Add(time.Duration(c.Choose(400)) * time.Millisecond)
				if f != expiryForgotten {
					a.Expire(now)
				}
			case 4:
				if len(waiting) > 0 {
					t := waiting[c.Choose(len(waiting))]
					gone[t] = f == abandonedRuns || a.Cancel(now, t)
				}
			}
			var err error
			if waiting, running, err = settleTickets(now, waiting, running, gone); err != nil {
				return err
			}
			if err := checkAdmission(a, len(waiting), running); err != nil {
				return err
			}
		}
		return nil
	}
}

// settleTickets sorts the tickets by what they were told.
func settleTickets(now time.Time, waiting, running []*AdmissionRequest, gone map[*AdmissionRequest]bool) (still, started []*AdmissionRequest, err error) {
	for _, t := range waiting {
		select {
		case problem := <-t.Result():
			switch {
			case problem == nil && gone[t]:
				return nil, nil, fmt.Errorf("a request runs whose caller has gone")
			case problem == nil:
				running = append(running, t)
			case problem.RetryAfter <= 0:
				return nil, nil, fmt.Errorf("turned away without a time to come back: %w", problem)
			}
			continue
		default:
		}
		if gone[t] {
			continue
		}
		if now.Sub(t.arrived) > t.MaxWait+400*time.Millisecond {
			return nil, nil, fmt.Errorf("a request waits for %s", now.Sub(t.arrived))
		}
		still = append(still, t)
	}
	return still, running, nil
}

func checkAdmission(a *AdmissionController, waiting int, running []*AdmissionRequest) error {
	perTenant := map[environment.TeamName]int{}
	for _, t := range running {
		perTenant[t.Team.Name]++
		if perTenant[t.Team.Name] > t.Team.MaxConcurrent {
			return fmt.Errorf("tenant %s runs %d at once", t.Team.Name, perTenant[t.Team.Name])
		}
	}
	if a.Running() != len(running) || a.Running() > proofLimit {
		return fmt.Errorf("%d places taken, %d requests run, limit %d", a.Running(), len(running), proofLimit)
	}
	if a.Queued() != waiting {
		return fmt.Errorf("%d requests queued, %d wait", a.Queued(), waiting)
	}
	return nil
}

// TestProveAdmission checks that every request is answered once and in time,
// and that no limit is passed.
func TestProveAdmission(t *testing.T) {
	prove.Check(t, admissionHolds(noFlaw))
}

// TestProveAdmissionCatches shows that the proof fails for wrong variants.
func TestProveAdmissionCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"place of an ended request lost": admissionHolds(placeLost),
		"deadline in the queue ignored":  admissionHolds(expiryForgotten),
		"abandoned request runs":         admissionHolds(abandonedRuns),
	})
}

// TestFirstRequestOfTenant checks that a tenant that was not seen before has
// its rate at once.
func TestFirstRequestOfTenant(t *testing.T) {
	a := NewAdmissionController(proofLimit)
	ticket := NewAdmissionRequest(proofTenant(0), 1, time.Second)
	a.Submit(time.Unix(1000, 0), ticket)
	assert.Assert(t, <-ticket.Result() == nil)
}

// TestGreedyTenant floods an admission with one tenant of ten and compares the
// 95th percentile of the others' time with that of a quiet day.
func TestGreedyTenant(t *testing.T) {
	quiet := othersP95(1)
	greedy := othersP95(40)
	t.Logf("p95 of the other nine tenants: %s on a quiet day, %s beside a greedy one", quiet, greedy)
	assert.Assert(t, greedy < quiet*110/100, "%s to %s", quiet, greedy)
}

// othersP95 simulates ten tenants, the first of which sends factor times as
// much as each of the others, and returns the 95th percentile of the others'
// time from arrival to end.
func othersP95(factor int) time.Duration {
	const (
		limit    = 64
		tenants  = 10
		service  = 500 * time.Millisecond
		interval = 100 * time.Millisecond
		length   = 60 * time.Second
		tick     = 5 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	a := NewAdmissionController(limit)
	var running, waiting []*AdmissionRequest
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
		for i := range tenants {
			if now.Sub(start)%interval != time.Duration(i)*tick {
				continue
			}
			tenant := environment.Team{Name: environment.TeamName(fmt.Sprint("t", i)), Weight: 1, RequestsPerSecond: 1000, MaxConcurrent: 1000}
			count := 1
			if i == 0 {
				tenant.Name, count = "greedy", factor
			}
			for range count {
				ticket := NewAdmissionRequest(tenant, 1, 730*time.Millisecond)
				a.Submit(now, ticket)
				waiting = append(waiting, ticket)
			}
		}
		a.Expire(now)
		waiting, running, _ = settleTickets(now, waiting, running, nil)
	}
	return quantile(times, 0.95)
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}
