package daemon

import (
	"context"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	// shareInterval is how often an instance tells its zone about the runners
	// that it polls, and demandInterval about its tenants' demand. Both grow
	// with the zone, by one for each zoneStep instances, because what is told
	// goes to each of them.
	loadInterval             = 1 * time.Second
	demandInterval           = 3 * time.Second
	instancesPerIntervalStep = 20
	// wholeEvery is how often a report is sent again whole.
	fullReportInterval = 30 * time.Second
	// demandMemory is how many intervals a peer's demand counts.
	maxDemandAgeIntervals = 3
	// maxDemands bounds the tenants in one message, the largest first. The
	// others' limits are split evenly.
	maxDemandTeams = 8
	demandWeight   = 0.5
)

// loadSharer collects the reports that this instance fetched and says what the
// zone must be told: a whole report when what seldom changes did, else the
// load, and nothing while that has hardly moved.
type loadSharer struct {
	mu      sync.Mutex
	reports map[runner.ID]*sharedReport
}

type sharedReport struct {
	latest     engine.Report
	lastSent   engine.Report
	lastFullAt time.Time
	updated    bool
}

func newLoadSharer() *loadSharer {
	return &loadSharer{reports: map[runner.ID]*sharedReport{}}
}

func (s *loadSharer) record(id runner.ID, report engine.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared, ok := s.reports[id]
	if !ok {
		shared = &sharedReport{}
		s.reports[id] = shared
	}
	shared.latest, shared.updated = report, true
}

// whole returns the reports that the zone was told, for a new link.
func (s *loadSharer) fullReports() []peer.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads []peer.LoadReport
	for id, shared := range s.reports {
		if !shared.lastFullAt.IsZero() {
			loads = append(loads, peer.LoadReport{Runner: id, Report: shared.latest})
		}
	}
	return loads
}

// next returns what to tell now. A report that is no longer fetched here is
// forgotten.
func (s *loadSharer) takePending(now time.Time) (peer.LoadReports, peer.LoadUpdates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads peer.LoadReports
	var updates peer.LoadUpdates
	for id, shared := range s.reports {
		switch {
		case !shared.updated:
			delete(s.reports, id)
			continue
		case now.Sub(shared.lastFullAt) >= fullReportInterval || !equalExceptLoad(shared.latest, shared.lastSent):
			loads.Reports = append(loads.Reports, peer.LoadReport{Runner: id, Report: shared.latest})
			shared.lastFullAt = now
		default:
			// Also an unchanged load is told: it says that the runner lives.
			updates.Updates = append(updates.Updates, peer.LoadUpdate{
				Runner: id, Queued: shared.latest.Queued, Sessions: shared.latest.Sessions,
			})
		}
		shared.lastSent, shared.updated = shared.latest, false
	}
	return loads, updates
}

// sameKind reports whether two reports differ in nothing but load.
func equalExceptLoad(a, b engine.Report) bool {
	a.Queued, a.Sessions, a.RoundTrip = b.Queued, b.Sessions, b.RoundTrip
	return a == b
}

// shareLoads tells the zone about the runners that this instance polls.
func (d *Daemon) broadcastLoads(ctx context.Context) {
	for {
		inZone, _ := d.entryCounts()
		select {
		case <-ctx.Done():
			return
		case <-time.After(scaleInterval(loadInterval, inZone)):
			now := time.Now()
			loads, updates := d.loadSharer.takePending(now)
			if len(loads.Reports) > 0 {
				d.mesh.BroadcastZone(loads)
			}
			if len(updates.Updates) > 0 {
				d.mesh.BroadcastZone(updates)
			}
		}
	}
}

// demands knows how much each tenant asks for at the zone's instances.
type demandTracker struct {
	mu    sync.Mutex
	peers map[instancelist.ID]peerDemand
}

type peerDemand struct {
	teams map[environment.TeamName]float64
	at    time.Time
}

func newDemandTracker() *demandTracker {
	return &demandTracker{peers: map[instancelist.ID]peerDemand{}}
}

func (d *demandTracker) record(now time.Time, from instancelist.ID, m peer.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[from] = peerDemand{teams: m.Teams, at: now}
}

// forget drops what peers said too long ago.
func (d *demandTracker) expire(now time.Time, maxAge time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.peers {
		if now.Sub(p.at) > maxAge {
			delete(d.peers, id)
		}
	}
}

// share returns the part of a tenant's limit that this instance may use: half
// of its zone's part evenly, half by demand. The parts of all instances add up
// to the whole, and a zone that is cut off keeps to its own.
func (d *demandTracker) quotaFraction(team environment.TeamName, own float64, inZone, inAll int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := own
	for _, p := range d.peers {
		total += p.teams[team]
	}
	byDemand := 1 / float64(inZone)
	if total > 0 {
		byDemand = own / total
	}
	zoneFraction := float64(inZone) / float64(inAll)
	return zoneFraction * ((1-demandWeight)/float64(inZone) + demandWeight*byDemand)
}

// shareDemand tells the zone what each tenant asks for here, and sets the
// tenants' parts.
func (d *Daemon) updateQuotas(ctx context.Context) {
	for {
		inZone, inAll := d.entryCounts()
		interval := scaleInterval(demandInterval, inZone)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			own := d.callers.TakeDemand(maxDemandTeams)
			if len(own) > 0 {
				d.mesh.BroadcastZone(peer.Demand{Teams: own})
			}
			d.demand.expire(time.Now(), maxDemandAgeIntervals*interval)
			d.callers.SetRateShares(func(team environment.TeamName) float64 {
				return d.demand.quotaFraction(team, own[team], inZone, inAll)
			})
		}
	}
}

// grow returns an interval in a zone of so many instances.
func scaleInterval(interval time.Duration, inZone int) time.Duration {
	return interval * time.Duration(1+inZone/instancesPerIntervalStep)
}

// entryCounts returns the number of entry instances of this zone and of all,
// by the platform's list.
func (d *Daemon) entryCounts() (inZone, inAll int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.view.OfKind(instancelist.KindEntry) {
		inAll++
		if i.Zone == d.settings.Zone {
			inZone++
		}
	}
	return max(inZone, 1), max(inAll, 1)
}
