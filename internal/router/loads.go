package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/gateway"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

// loadSchedule decides when this instance reports its load. A check is due every
// earlyLoadInterval.
type loadSchedule struct {
	regularAt time.Time
	last      backend.StageLoads
	unchanged int
	hadDemand bool // in the last message
}

// regular reports whether a regular report is due, and records that it is made.
func (s *loadSchedule) regular(now time.Time) bool {
	if now.Sub(s.regularAt) < loadInterval-earlyLoadInterval/2 {
		return false
	}
	s.regularAt = now
	return true
}

// skips reports whether a regular report may be left out as its load was told before.
func (s *loadSchedule) skips(loads backend.StageLoads) bool {
	s.unchanged++
	return maps.Equal(loads, s.last) && s.unchanged < unchangedLoadTicks
}

func (s *loadSchedule) told(loads backend.StageLoads, hasDemand bool) {
	s.last, s.unchanged, s.hadDemand = loads, 0, hasDemand
}

// broadcastLoads sends the load of this instance to its zone, and the load of its zone to
// the other zones, until ctx ends. It also tells all of the servers that have said that they leave.
func (r *Router) broadcastLoads(ctx context.Context) {
	var schedule loadSchedule
	var bridged []peer.Hello
	ticker := time.NewTicker(earlyLoadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		r.broadcastDepartures()
		r.gateway.ShareRetries(now)
		regular := schedule.regular(now)
		if regular {
			bridged = r.bridged()
			r.repeatLinksState(now)
		}
		r.sendZoneLoads(now, bridged, regular)
		r.sendLoads(now, &schedule, regular)
	}
}

// sendLoads sends the load of this instance to its zone, if it is due.
func (r *Router) sendLoads(now time.Time, schedule *loadSchedule, regular bool) {
	early := r.gateway.RetryReportsDue(now) || r.fleet.LoadsRoseMuch()
	if !regular && !early {
		return
	}
	loads, limits, cutOff := r.fleet.SnapshotLoads(), r.fleet.LimitReports(now), r.outOfReach(now)
	demand := r.gateway.Demand(now)
	hasNews := early || len(limits) > 0 || cutOff || len(demand) > 0 || schedule.hadDemand
	if schedule.skips(loads) && !hasNews {
		return
	}
	schedule.told(loads, len(demand) > 0)
	message := peer.StageLoads{Loads: loads, Limits: limits, CutOff: cutOff, Demand: demand}
	setRetryReports(&message, r.gateway.RetryReports(now))
	r.mesh.BroadcastZone(message)
}

// sendZoneLoads sends the load of this zone to the bridged zones, those of which much has changed if
// the regular time has not come. The instances that get it relay it to their zones.
func (r *Router) sendZoneLoads(now time.Time, bridged []peer.Hello, regular bool) {
	report := sync.OnceValue(func() gateway.ZoneReport { return r.gateway.ReportZone(now) })
	for _, instance := range bridged {
		zone := deployment.Zone(instance.Zone)
		if !regular && !r.gateway.ZoneRetryReportsDue(now, zone) {
			continue
		}
		message := peer.ZoneLoads{
			Zone: r.settings.Zone, Loads: r.fleet.ZoneLoads(now), Limits: r.fleet.ZoneLimitReports(now),
			Demand: report().Demand, Free: report().Free, AsOf: report().AsOf, Origin: instancelist.ID(report().Origin),
		}
		setZoneRetryReports(&message, r.gateway.ZoneRetryReports(now, zone))
		r.mesh.Send(instance.Instance, message)
	}
}

// bridged returns one instance of each other zone to which this instance is a bridge.
func (r *Router) bridged() []peer.Hello {
	var list []peer.Hello
	seen := map[instancelist.Zone]bool{instancelist.Zone(r.settings.Zone): true}
	for _, instance := range r.mesh.Active() {
		if seen[instance.Zone] {
			continue
		}
		seen[instance.Zone] = true
		if r.mesh.IsBridge(instance.Zone) {
			list = append(list, instance)
		}
	}
	return list
}

// handleZoneLoads stores the load of another zone, and relays it to this zone if it comes
// from there.
func (r *Router) handleZoneLoads(now time.Time, from peer.Hello, message peer.ZoneLoads) {
	if message.Zone == r.settings.Zone {
		return
	}
	reports := zoneRetryReportsOf(message)
	r.fleet.SetZoneLoads(now, message.Zone, message.Loads)
	r.gateway.SetZoneRetries(now, message.Zone, reports)
	r.logLimitsTold(from, r.fleet.SetZoneLimits(now, message.Zone, message.Limits))
	r.logInvalidReport(from, r.gateway.SetZoneReport(now, gateway.ZoneReport{
		Zone: message.Zone, Demand: message.Demand, Free: message.Free, AsOf: message.AsOf, Origin: string(message.Origin),
	}))
	if from.Zone != instancelist.Zone(r.settings.Zone) && r.zoneRelays.due(now, message.Zone, reports) {
		r.mesh.BroadcastZone(message)
	}
}

// zoneRelays records when the load of each other zone was last relayed, and with which reports of
// retries.
type zoneRelays struct {
	mu      sync.Mutex
	at      map[deployment.Zone]time.Time
	reports map[deployment.Zone]gateway.ZoneRetryReports
}

// due reports whether the load of a zone is to be relayed now, and records that it is. One whose
// retries have changed much is relayed sooner.
func (z *zoneRelays) due(now time.Time, zone deployment.Zone, reports gateway.ZoneRetryReports) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	interval := minRelayInterval
	if reports.ChangedSince(z.reports[zone]) {
		interval = minEarlyRelayInterval
	}
	if now.Sub(z.at[zone]) < interval {
		return false
	}
	if z.at == nil {
		z.at, z.reports = map[deployment.Zone]time.Time{}, map[deployment.Zone]gateway.ZoneRetryReports{}
	}
	z.at[zone], z.reports[zone] = now, reports
	return true
}

// logInvalidReport logs that a report of a peer was ignored. It does nothing without an error.
func (r *Router) logInvalidReport(from peer.Hello, err error) {
	if err != nil && r.invalidReports.Allow() {
		r.logger.Warn("report of a peer ignored", zap.String("peer", string(from.Instance)), zap.Error(err))
	}
}

func setRetryReports(message *peer.StageLoads, reports gateway.RetryReports) {
	message.Retries = make(map[deployment.ServiceName]retrybudget.Spending, len(reports))
	message.Loans = make(map[deployment.ServiceName]map[retrybudget.Borrower]float64, len(reports))
	for name, report := range reports {
		message.Retries[name] = report.Spending
		message.Loans[name] = report.Loans
	}
}

func retryReportsOf(message peer.StageLoads) gateway.RetryReports {
	reports := make(gateway.RetryReports, len(message.Retries))
	for name, spending := range message.Retries {
		reports[name] = retrybudget.Report{Spending: spending, Loans: message.Loans[name]}
	}
	return reports
}

func setZoneRetryReports(message *peer.ZoneLoads, reports gateway.ZoneRetryReports) {
	message.Retries = make(map[deployment.ServiceName]retrybudget.Spending, len(reports))
	message.Loans = make(map[deployment.ServiceName]float64, len(reports))
	for name, report := range reports {
		message.Retries[name], message.Loans[name] = report.Spending, report.Loan
		message.Lenders = max(message.Lenders, report.Lenders)
	}
}

func zoneRetryReportsOf(message peer.ZoneLoads) gateway.ZoneRetryReports {
	reports := make(gateway.ZoneRetryReports, len(message.Retries))
	for name, spending := range message.Retries {
		reports[name] = retrybudget.ZoneReport{Spending: spending, Lenders: message.Lenders, Loan: message.Loans[name]}
	}
	return reports
}
