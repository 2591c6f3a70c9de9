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
	// loadInterval is how often an instance broadcasts the load of the runners
	// that it polls within its zone, and demandInterval the demand of its teams.
	// Both grow with the size of the zone, by their base value for each
	// instancesPerIntervalStep instances, because each broadcast goes to every
	// instance of the zone.
	loadInterval             = 1 * time.Second
	demandInterval           = 3 * time.Second
	instancesPerIntervalStep = 20
	// fullReportInterval is how often a runner's full report is sent again.
	fullReportInterval = 30 * time.Second
	// maxDemandAgeIntervals is the age, in demand intervals, at which a peer's
	// demand expires.
	maxDemandAgeIntervals = 3
	// maxDemandTeams bounds the teams in one message, those with the highest
	// demand first. The limit of a team that no instance reports is split evenly.
	maxDemandTeams = 8
	// demandWeight is the fraction of a limit that is split by demand; the rest
	// is split evenly.
	demandWeight = 0.5
)

// loadSharer collects the reports that this instance fetched from runners and
// decides what to broadcast in the zone: the full report when it is due or
// anything but the load has changed, else only the load.
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

// fullReports returns the latest report of each runner that was already broadcast,
// for a new link.
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

// takePending returns the messages to broadcast now. It removes each runner whose
// report was not fetched since the last call.
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
			// An unchanged load is sent too: it shows that the runner is alive.
			updates.Updates = append(updates.Updates, peer.LoadUpdate{
				Runner: id, Queued: shared.latest.Queued, Sessions: shared.latest.Sessions,
			})
		}
		shared.lastSent, shared.updated = shared.latest, false
	}
	return loads, updates
}

// equalExceptLoad reports whether two reports are equal apart from the load and the
// round-trip time.
func equalExceptLoad(a, b engine.Report) bool {
	a.Queued, a.Sessions, a.RoundTrip = b.Queued, b.Sessions, b.RoundTrip
	return a == b
}

// broadcastLoads sends the zone the load of the runners that this instance polls.
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

// demandTracker holds the demand of each team at the other instances of the zone.
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

// expire removes demand that was received more than maxAge ago.
func (d *demandTracker) expire(now time.Time, maxAge time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.peers {
		if now.Sub(p.at) > maxAge {
			delete(d.peers, id)
		}
	}
}

// quotaFraction returns the fraction of a team's limit that this instance may use.
// A zone gets a fraction by its number of instances; half of it is split evenly
// and half by demand. When all instances of a zone have the same demand figures,
// their fractions add up to the fraction of the zone, and those of all zones to 1.
// No zone depends on the demand in another, so a partitioned zone stays within its
// own fraction.
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

// updateQuotas sends the zone the demand at this instance of at most maxDemandTeams
// teams, those with the most requests, and sets the fraction of each team's limit that
// this instance may use.
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
			d.callers.SetQuotaFractions(func(team environment.TeamName) float64 {
				return d.demand.quotaFraction(team, own[team], inZone, inAll)
			})
		}
	}
}

// scaleInterval returns the interval to use in a zone of inZone instances.
func scaleInterval(interval time.Duration, inZone int) time.Duration {
	return interval * time.Duration(1+inZone/instancesPerIntervalStep)
}

// entryCounts returns the number of entry instances in this zone and in all zones,
// at least 1 each, according to the platform's instance list.
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
