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
	shareInterval  = 1 * time.Second
	demandInterval = 3 * time.Second
	zoneStep       = 20
	// wholeEvery is how often a report is sent again whole.
	wholeEvery = 30 * time.Second
	// demandMemory is how many intervals a peer's demand counts.
	demandMemory = 3
	// maxDemands bounds the tenants in one message, the largest first. The
	// others' limits are split evenly.
	maxDemands = 8
	demandPart = 0.5
)

// loadSharer collects the reports that this instance fetched and says what the
// zone must be told: a whole report when what seldom changes did, else the
// load, and nothing while that has hardly moved.
type loadSharer struct {
	mu      sync.Mutex
	reports map[runner.ID]*sharedReport
}

type sharedReport struct {
	report engine.Report
	told   engine.Report
	whole  time.Time
	fresh  bool
}

func newLoadSharer() *loadSharer {
	return &loadSharer{reports: map[runner.ID]*sharedReport{}}
}

func (s *loadSharer) note(id runner.ID, report engine.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared, ok := s.reports[id]
	if !ok {
		shared = &sharedReport{}
		s.reports[id] = shared
	}
	shared.report, shared.fresh = report, true
}

// whole returns the reports that the zone was told, for a new link.
func (s *loadSharer) whole() []peer.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads []peer.LoadReport
	for id, shared := range s.reports {
		if !shared.whole.IsZero() {
			loads = append(loads, peer.LoadReport{Runner: id, Report: shared.report})
		}
	}
	return loads
}

// next returns what to tell now. A report that is no longer fetched here is
// forgotten.
func (s *loadSharer) next(now time.Time) (peer.LoadReports, peer.LoadUpdates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads peer.LoadReports
	var deltas peer.LoadUpdates
	for id, shared := range s.reports {
		switch {
		case !shared.fresh:
			delete(s.reports, id)
			continue
		case now.Sub(shared.whole) >= wholeEvery || !sameKind(shared.report, shared.told):
			loads.Reports = append(loads.Reports, peer.LoadReport{Runner: id, Report: shared.report})
			shared.whole = now
		default:
			// Also an unchanged load is told: it says that the runner lives.
			deltas.Updates = append(deltas.Updates, peer.LoadUpdate{
				Runner: id, Queued: shared.report.Queued, Sessions: shared.report.Sessions,
			})
		}
		shared.told, shared.fresh = shared.report, false
	}
	return loads, deltas
}

// sameKind reports whether two reports differ in nothing but load.
func sameKind(a, b engine.Report) bool {
	a.Queued, a.Sessions, a.RoundTrip = b.Queued, b.Sessions, b.RoundTrip
	return a == b
}

// shareLoads tells the zone about the runners that this instance polls.
func (d *Daemon) shareLoads(ctx context.Context) {
	for {
		inZone, _ := d.entryCounts()
		select {
		case <-ctx.Done():
			return
		case <-time.After(grow(shareInterval, inZone)):
			now := time.Now()
			loads, deltas := d.sharer.next(now)
			if len(loads.Reports) > 0 {
				d.mesh.BroadcastZone(loads)
			}
			if len(deltas.Updates) > 0 {
				d.mesh.BroadcastZone(deltas)
			}
		}
	}
}

// demands knows how much each tenant asks for at the zone's instances.
type demands struct {
	mu    sync.Mutex
	peers map[instancelist.ID]peerDemand
}

type peerDemand struct {
	tenants map[environment.TeamName]float64
	at      time.Time
}

func newDemands() *demands {
	return &demands{peers: map[instancelist.ID]peerDemand{}}
}

func (d *demands) take(now time.Time, from instancelist.ID, m peer.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[from] = peerDemand{tenants: m.Teams, at: now}
}

// forget drops what peers said too long ago.
func (d *demands) forget(now time.Time, memory time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.peers {
		if now.Sub(p.at) > memory {
			delete(d.peers, id)
		}
	}
}

// share returns the part of a tenant's limit that this instance may use: half
// of its zone's part evenly, half by demand. The parts of all instances add up
// to the whole, and a zone that is cut off keeps to its own.
func (d *demands) share(tenant environment.TeamName, own float64, inZone, inAll int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := own
	for _, p := range d.peers {
		total += p.tenants[tenant]
	}
	byDemand := 1 / float64(inZone)
	if total > 0 {
		byDemand = own / total
	}
	zonePart := float64(inZone) / float64(inAll)
	return zonePart * ((1-demandPart)/float64(inZone) + demandPart*byDemand)
}

// shareDemand tells the zone what each tenant asks for here, and sets the
// tenants' parts.
func (d *Daemon) shareDemand(ctx context.Context) {
	for {
		inZone, inAll := d.entryCounts()
		interval := grow(demandInterval, inZone)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			own := d.callers.TakeDemand(maxDemands)
			if len(own) > 0 {
				d.mesh.BroadcastZone(peer.Demand{Teams: own})
			}
			d.demands.forget(time.Now(), demandMemory*interval)
			d.callers.SetRateShares(func(tenant environment.TeamName) float64 {
				return d.demands.share(tenant, own[tenant], inZone, inAll)
			})
		}
	}
}

// grow returns an interval in a zone of so many instances.
func grow(interval time.Duration, inZone int) time.Duration {
	return interval * time.Duration(1+inZone/zoneStep)
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
