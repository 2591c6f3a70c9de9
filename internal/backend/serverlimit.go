package backend

import (
	"maps"
	"math/rand/v2"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/serverlimit"
)

// LimitReport is what instances tell one another of a backend server with a limit: what it
// has said, and how much they have sent to it in the last window.
type LimitReport struct {
	Statement serverlimit.Statement
	Sent      float64
}

// LimitReports are reports by backend server.
type LimitReports map[deployment.BackendID]LimitReport

// toldLimits is what others have told, by instance of this zone or by other zone.
type toldLimits map[string]timedReports

type timedReports struct {
	reports LimitReports
	at      time.Time
}

// set stores reports, and drops those that are too old.
func (t toldLimits) set(now time.Time, from string, reports LimitReports) {
	maps.DeleteFunc(t, func(_ string, told timedReports) bool { return now.Sub(told.at) > peerLoadMaxAge })
	t[from] = timedReports{reports: reports, at: now}
}

// sentTo returns what was sent to a backend server. Reports that are too old don't count.
func (t toldLimits) sentTo(now time.Time, id deployment.BackendID) float64 {
	sum := 0.0
	for _, told := range t {
		if now.Sub(told.at) <= peerLoadMaxAge {
			sum += told.reports[id].Sent
		}
	}
	return sum
}

// NameLimit records that a backend server has named a limit, in requests a second. It
// reports whether its limit has changed.
func (f *Fleet) NameLimit(now time.Time, id deployment.BackendID, perSecond float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	return ok && s.rate.Name(now, 0, perSecond)
}

// LiftLimit records that a backend server has answered without a limit. It reports whether
// that ends its limit.
func (f *Fleet) LiftLimit(now time.Time, id deployment.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	return ok && s.rate.Lift(now, 0)
}

// RecordCall records that a probe or an order was sent to a backend server, which counts as
// a request there.
func (f *Fleet) RecordCall(now time.Time, address deployment.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.byAddress(address); s != nil {
		s.rate.RecordArrival(now)
	}
}

// LimitedServers returns the number of backend servers that have a limit.
func (f *Fleet) LimitedServers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, s := range f.servers {
		if s.rate.Limited() {
			count++
		}
	}
	return count
}

// Limited reports whether a backend server of a service has a limit.
func (f *Fleet) Limited(service deployment.ServiceName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.Service == service && s.rate.Limited() {
			return true
		}
	}
	return false
}

// LimitReports returns what this instance tells its zone of the limits of backend servers.
func (f *Fleet) LimitReports(now time.Time) LimitReports {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limitReports(now, toldLimits{})
}

// ZoneLimitReports returns the sum over the instances of this zone, as far as they have told.
func (f *Fleet) ZoneLimitReports(now time.Time) LimitReports {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limitReports(now, f.peerLimits)
}

func (f *Fleet) limitReports(now time.Time, others toldLimits) LimitReports {
	reports := LimitReports{}
	for id, s := range f.servers {
		if statement, ok := s.rate.Statement(now); ok {
			reports[id] = LimitReport{Statement: statement, Sent: s.rate.Sent(now) + others.sentTo(now, id)}
		}
	}
	return reports
}

// SetPeerLimits stores what another instance of this zone has told. It returns the backend
// servers whose limits have changed by it.
func (f *Fleet) SetPeerLimits(now time.Time, instance deployment.InstanceID, reports LimitReports) []deployment.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerLimits.set(now, string(instance), reports)
	return f.mergeStatements(now, reports)
}

// SetZoneLimits stores what the instances of another zone have told. It returns the backend
// servers whose limits have changed by it.
func (f *Fleet) SetZoneLimits(now time.Time, zone deployment.Zone, reports LimitReports) []deployment.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zoneLimits.set(now, string(zone), reports)
	return f.mergeStatements(now, reports)
}

func (f *Fleet) mergeStatements(now time.Time, reports LimitReports) []deployment.BackendID {
	var changed []deployment.BackendID
	for id, report := range reports {
		if s, ok := f.servers[id]; ok && s.rate.Merge(now, report.Statement) {
			changed = append(changed, id)
		}
	}
	return changed
}

// mayStartWithinLimit reports whether one more request may be sent to a backend server
// within the limit that it has named, if any.
func (f *Fleet) mayStartWithinLimit(now time.Time, s *server) bool {
	if !s.rate.Limited() {
		return true
	}
	s.rate.SetOthers(serverlimit.Others{
		Sent:      f.peerLimits.sentTo(now, s.ID) + f.zoneLimits.sentTo(now, s.ID),
		Instances: f.otherSenders(s.Zone),
	})
	return s.rate.MaySend(now, rand.Float64)
}

// otherSenders returns how many other instances are assumed to send to the backend servers of
// a zone: for this instance's own zone those of the zone, as few requests come from elsewhere.
func (f *Fleet) otherSenders(zone deployment.Zone) int {
	if zone == f.zone {
		return f.load.instancesInZone - 1
	}
	return f.load.instances - 1
}
