package gateway

import (
	"fmt"
	"time"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/spillover"
)

// ZoneReport is what the instances of another zone report of it, by service. Free is empty if
// nothing is known.
type ZoneReport struct {
	Zone   deployment.Zone
	Demand map[deployment.ServiceName][]admission.PriorityDemand
	Free   map[deployment.ServiceName]spillover.Free
	// AsOf is when the report was made by the clock of Origin, zero if unknown.
	AsOf   time.Time
	Origin string
}

// ReportZone returns the report on this zone, to be sent to the other zones. It is empty if the
// zones don't share their demand.
func (g *Gateway) ReportZone(now time.Time) ZoneReport {
	if !g.ZoneShares {
		return ZoneReport{Zone: g.Settings.Zone}
	}
	report := ZoneReport{
		Zone: g.Settings.Zone, AsOf: now, Origin: string(g.Settings.Instance),
		Demand: map[deployment.ServiceName][]admission.PriorityDemand{}, Free: map[deployment.ServiceName]spillover.Free{},
	}
	for _, service := range g.sharedServices() {
		stages := pipeline.ByZone(g.Fleet.StagesWithFull(now, &service))[g.Settings.Zone]
		capacity := pipeline.CapacityOf(service.Engine, stages, loadLimit)
		g.shares.mu.Lock()
		s := g.shares.service(service.Name)
		report.Free[service.Name] = s.free(capacity)
		if demand := totalDemand(g.shares.instances(now, service.Name, s)); len(demand) > 0 {
			report.Demand[service.Name] = demand
		}
		g.shares.mu.Unlock()
	}
	return report
}

// sharedServices returns the services whose demand the zones share.
func (g *Gateway) sharedServices() []deployment.Service {
	table, ok := g.RoutingTable.Load()
	if !ok {
		return nil
	}
	var services []deployment.Service
	for _, service := range table.Services() {
		if g.shares.shares(&service) {
			services = append(services, service)
		}
	}
	return services
}

// SetZoneReport stores what an instance of another zone has reported with ReportZone. The error is
// that the report is invalid, and was ignored.
func (g *Gateway) SetZoneReport(now time.Time, report ZoneReport) error {
	return g.shares.setZoneReport(now, report)
}

// invalidReportError reports numbers of a peer that can't be right.
type invalidReportError struct {
	service deployment.ServiceName
	what    string
}

func (e *invalidReportError) Error() string {
	return fmt.Sprintf("invalid %s of service %q", e.what, string(e.service))
}

// maxReportedItems bounds the services of a report, and the ranks of a service.
const maxReportedItems = 1000

func validateZoneReport(report ZoneReport) error {
	for service, free := range report.Free {
		if !free.Valid() || len(report.Free) > maxReportedItems {
			return &invalidReportError{service: service, what: "free capacity"}
		}
	}
	for service, list := range report.Demand {
		if len(list) > maxReportedItems || len(report.Demand) > maxReportedItems || len(validDemand(list)) < len(list) {
			return &invalidReportError{service: service, what: "demand"}
		}
	}
	return nil
}

// validDemand returns the demand whose numbers can be right.
func validDemand(list []admission.PriorityDemand) []admission.PriorityDemand {
	var valid []admission.PriorityDemand
	for _, d := range list {
		if spillover.ValidDemand(d) && len(valid) < maxReportedItems {
			valid = append(valid, d)
		}
	}
	return valid
}
