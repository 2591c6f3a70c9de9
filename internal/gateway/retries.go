package gateway

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

// RetryReports is what an instance tells its zone of its retry budgets, by service.
type RetryReports map[deployment.ServiceName]retrybudget.Report

// ZoneRetryReports is what a zone tells another one of its retry budgets, by service.
type ZoneRetryReports map[deployment.ServiceName]retrybudget.ZoneReport

// RetryReports returns what this instance has to tell its zone of its retry budgets.
func (g *Gateway) RetryReports(now time.Time) RetryReports {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := RetryReports{}
	for name, state := range g.services {
		reports[name] = state.exchange.Report(now)
	}
	return reports
}

// RetryReportsDue reports whether a retry budget has changed so much since RetryReports that the
// zone should be told early.
func (g *Gateway) RetryReportsDue(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.services {
		if state.exchange.ReportDue(now) {
			return true
		}
	}
	return false
}

// ZoneRetryReports returns what this instance, as a bridge, has to tell another zone.
func (g *Gateway) ZoneRetryReports(now time.Time, to deployment.Zone) ZoneRetryReports {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := ZoneRetryReports{}
	for name, state := range g.services {
		reports[name] = state.exchange.ZoneReport(now, to)
	}
	return reports
}

// ZoneRetryReportsDue does for ZoneRetryReports what RetryReportsDue does for RetryReports.
func (g *Gateway) ZoneRetryReportsDue(now time.Time, to deployment.Zone) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.services {
		if state.exchange.ZoneReportDue(now, to) {
			return true
		}
	}
	return false
}

// ChangedSince reports whether a zone's reports differ so much from earlier ones that they should
// be passed on early.
func (r ZoneRetryReports) ChangedSince(told ZoneRetryReports) bool {
	for name, report := range r {
		if report.ChangedSince(told[name]) {
			return true
		}
	}
	return false
}

// SetPeerRetries stores what another instance of the zone has reported with RetryReports.
func (g *Gateway) SetPeerRetries(now time.Time, instance deployment.InstanceID, reports RetryReports) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, state := range g.services {
		if report, ok := reports[name]; ok {
			state.exchange.SetPeer(now, instance, report)
		}
	}
}

// SetZoneRetries stores what another zone has reported with ZoneRetryReports.
func (g *Gateway) SetZoneRetries(now time.Time, zone deployment.Zone, reports ZoneRetryReports) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, state := range g.services {
		if report, ok := reports[name]; ok {
			state.exchange.SetZone(now, zone, report)
		}
	}
}

// ShareRetries applies the reports of the others to the retry budgets. It must be called several
// times a second.
func (g *Gateway) ShareRetries(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.services {
		state.exchange.Update(now)
	}
}
