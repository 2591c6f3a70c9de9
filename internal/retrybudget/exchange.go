package retrybudget

import (
	"maps"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// minPause is a time without Update after which reports may be old: the process or its
	// machine stood still. Reports that arrive within pauseRecovery after it are ignored.
	minPause      = time.Second
	pauseRecovery = 500 * time.Millisecond
)

// Report is what an instance tells its zone.
type Report struct {
	Spending Spending
	Loans    map[Borrower]float64
}

// ZoneReport is what a zone tells another one: the sums over its instances that have reported.
type ZoneReport struct {
	Spending Spending
	Lenders  int
	Loan     float64 // to the zone that the report goes to
}

// Exchange is the part of one instance in the lending of one service's retries: it keeps the
// reports of the others, and decides from them what its budget lends and borrows. The time is an
// argument. It is not safe for concurrent use, and Update must be called several times a second.
//
//	exchange := NewExchange(budget, "instance-1", "zone-a")
//	exchange.SetPeer(now, "instance-2", report)
//	exchange.Update(now)
//	send(exchange.Report(now))
type Exchange struct {
	budget     *WindowBudget
	self       deployment.InstanceID
	zone       deployment.Zone
	instances  int // of all zones, with this one
	inZone     int // with this one
	peers      map[deployment.InstanceID]timedReport
	zones      map[deployment.Zone]timedZoneReport
	offers     map[Borrower]float64
	toldOffers map[Borrower]float64
	toldZones  map[deployment.Zone]ZoneReport
	updatedAt  time.Time
	ignoreTill time.Time
}

type timedReport struct {
	Report
	at time.Time
}

type timedZoneReport struct {
	ZoneReport
	at time.Time
}

// NewExchange returns an exchange without reports.
func NewExchange(budget *WindowBudget, self deployment.InstanceID, zone deployment.Zone) *Exchange {
	return &Exchange{
		budget: budget, self: self, zone: zone, instances: 1, inZone: 1,
		peers: map[deployment.InstanceID]timedReport{}, zones: map[deployment.Zone]timedZoneReport{},
		toldZones: map[deployment.Zone]ZoneReport{},
	}
}

// SetCounts sets the number of instances of all zones and of this one, with this instance.
func (e *Exchange) SetCounts(instances, inZone int) {
	e.instances, e.inZone = max(1, instances), max(1, inZone)
}

// SetPeer stores the report of another instance of the zone.
func (e *Exchange) SetPeer(now time.Time, instance deployment.InstanceID, report Report) {
	if e.trusts(now) && instance != e.self {
		e.peers[instance] = timedReport{Report: report, at: now}
	}
}

// SetZone stores the report of another zone.
func (e *Exchange) SetZone(now time.Time, zone deployment.Zone, report ZoneReport) {
	if e.trusts(now) && zone != e.zone {
		e.zones[zone] = timedZoneReport{ZoneReport: report, at: now}
	}
}

// trusts reports whether a message that arrives now is not one that waited while this process
// stood still.
func (e *Exchange) trusts(now time.Time) bool {
	if !e.updatedAt.IsZero() && now.Sub(e.updatedAt) >= minPause {
		e.updatedAt = now
		e.ignoreTill = now.Add(pauseRecovery)
	}
	return !now.Before(e.ignoreTill)
}

// Update applies the reports to the budget: what may be borrowed, and what is lent.
func (e *Exchange) Update(now time.Time) {
	e.trusts(now)
	e.updatedAt = now
	e.expire(now)
	var loans []Loan
	var needs []Need
	self := Borrower{Instance: e.self}
	for id, peer := range e.peers {
		if retries := peer.Loans[self]; retries > 0 {
			loans = append(loans, Loan{Retries: retries, Lenders: 1, Borrowers: 1, Until: peer.at.Add(reportLifetime)})
		}
		needs = append(needs, Need{Borrower: Borrower{Instance: id}, Spending: peer.Spending, Lenders: e.inZone - 1})
	}
	for name, zone := range e.zones {
		if zone.Loan > 0 {
			loans = append(loans, Loan{Retries: zone.Loan, Lenders: zone.Lenders, Borrowers: e.inZone, Until: zone.at.Add(reportLifetime)})
		}
		needs = append(needs, Need{Borrower: Borrower{Zone: name}, Spending: zone.Spending, Lenders: e.instances - zone.Lenders})
	}
	e.budget.SetLoans(loans)
	e.offers = e.budget.Lend(now, needs)
}

func (e *Exchange) expire(now time.Time) {
	for id, peer := range e.peers {
		if now.Sub(peer.at) > reportLifetime {
			delete(e.peers, id)
		}
	}
	for name, zone := range e.zones {
		if now.Sub(zone.at) > reportLifetime {
			delete(e.zones, name)
		}
	}
}

// Report returns what this instance has to tell its zone.
func (e *Exchange) Report(now time.Time) Report {
	e.toldOffers = maps.Clone(e.offers)
	return Report{Spending: e.budget.Report(now), Loans: e.toldOffers}
}

// ReportDue reports whether the state has changed by so much since Report that it should be told
// early: half of what was left has been spent, or a loan has grown.
func (e *Exchange) ReportDue(now time.Time) bool {
	for borrower, retries := range e.offers {
		if retries > e.toldOffers[borrower] {
			return true
		}
	}
	return e.budget.ReportDue(now)
}

// ZoneReport returns what this instance, as a bridge, has to tell another zone.
func (e *Exchange) ZoneReport(now time.Time, to deployment.Zone) ZoneReport {
	report := e.sumFor(now, to)
	e.toldZones[to] = report
	return report
}

// ZoneReportDue does for ZoneReport what ReportDue does for Report.
func (e *Exchange) ZoneReportDue(now time.Time, to deployment.Zone) bool {
	return e.sumFor(now, to).ChangedSince(e.toldZones[to])
}

// ChangedSince reports whether a zone's report differs so much from an earlier one that it should
// be told early.
func (r ZoneReport) ChangedSince(told ZoneReport) bool {
	return r.Loan >= told.Loan+1 || r.Spending.changedSince(told.Spending)
}

// sumFor sums up the reports of the zone's instances for another zone.
func (e *Exchange) sumFor(now time.Time, to deployment.Zone) ZoneReport {
	borrower := Borrower{Zone: to}
	sum := ZoneReport{Spending: e.budget.Spending(now), Lenders: 1, Loan: e.offers[borrower]}
	for _, peer := range e.peers {
		if now.Sub(peer.at) > reportLifetime {
			continue
		}
		sum.Spending.Allowed += peer.Spending.Allowed
		sum.Spending.Spent += peer.Spending.Spent
		sum.Lenders++
		sum.Loan += peer.Loans[borrower]
	}
	return sum
}
