package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/internal/spillover"
)

const (
	// decideInterval is the minimum interval between plans for a service. Waiting requests look for
	// a path each 20 ms. With 640 servers and 113 instances in the zone a plan takes 0.6 to 1.1 ms on
	// a busy machine (BenchmarkPlan), so that plans take at most about 2 % of a core.
	decideInterval = 50 * time.Millisecond
	// loadLimit is the share of the slots and of the memory of a zone that plans count as capacity. The
	// rest is left for what is not known yet: the numbers of requests vary between two reports.
	loadLimit = 0.9
	// crossingDelay is the delay of a request that is served in another zone: the connection and the
	// request take 1.2 to 1.5 ms each, and each event 0.7 ms more than within the zone.
	crossingDelay = 5 * time.Millisecond
	// bytesPerPromptToken and bytesPerEvent estimate the bytes of a request and of its response.
	bytesPerPromptToken = 5
	bytesPerEvent       = 250
	// maxReportedZones bounds the zones whose reports are kept, against names that a faulty peer makes up.
	maxReportedZones = 64
	// halfDemandAge is the age from which the demand of another instance counts for half, and
	// maxDemandAge the one from which it doesn't count.
	halfDemandAge = time.Second
	maxDemandAge  = 2 * time.Second
)

// zoneShares keeps what instances and zones report of their demand and capacity, and draws for each
// request the order of zones in which a path is sought (see package spillover).
type zoneShares struct {
	zone            deployment.Zone
	self            deployment.InstanceID
	enabled         bool
	costPerMegabyte time.Duration
	logger          *zap.Logger

	mu       sync.Mutex
	peers    map[deployment.InstanceID]peerDemand
	zones    map[deployment.Zone]timedZoneReport
	services map[deployment.ServiceName]*serviceShares
	delays   spillover.Delays
}

// peerDemand is the demand that another instance of the zone has reported.
type peerDemand struct {
	demand map[deployment.ServiceName][]admission.PriorityDemand
	at     time.Time
}

// timedZoneReport is a report with the time at which it was made, by this instance's clock.
type timedZoneReport struct {
	ZoneReport
	at time.Time
}

// serviceShares is the state of a service.
type serviceShares struct {
	allowance  *spillover.Allowance
	decidedAt  time.Time
	answerTime time.Duration              // mean, 0 if unknown
	reported   []admission.PriorityDemand // own, as last told to the zone
	loggedPlan string
	loggedAt   time.Time
}

func newZoneShares(config *Config) *zoneShares {
	return &zoneShares{
		enabled: config.ZoneShares, zone: config.Settings.Zone, self: config.Settings.Instance, costPerMegabyte: config.ZoneCrossingCost, logger: config.Logger,
		peers: map[deployment.InstanceID]peerDemand{}, zones: map[deployment.Zone]timedZoneReport{},
		services: map[deployment.ServiceName]*serviceShares{},
	}
}

func (z *zoneShares) service(name deployment.ServiceName) *serviceShares {
	s, ok := z.services[name]
	if !ok {
		s = &serviceShares{allowance: spillover.NewAllowance(z.zone)}
		z.services[name] = s
	}
	return s
}

// knows reports whether this instance shares the demand for a service.
func (z *zoneShares) knows(service deployment.ServiceName) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	_, ok := z.services[service]
	return ok
}

// setOwn records what this instance tells its zone of a service, and its mean time of an answer.
func (z *zoneShares) setOwn(service deployment.ServiceName, demand []admission.PriorityDemand, answerTime time.Duration) {
	if !z.enabled {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if s, ok := z.services[service]; ok {
		s.reported, s.answerTime = demand, answerTime
	}
}

// setPeerDemand stores the demand that another instance of the zone has reported, as far as it is
// valid and for services that this instance shares.
func (z *zoneShares) setPeerDemand(now time.Time, instance deployment.InstanceID, demand map[deployment.ServiceName][]admission.PriorityDemand) {
	if !z.enabled {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	for id, peer := range z.peers {
		if now.Sub(peer.at) >= maxDemandAge {
			delete(z.peers, id)
		}
	}
	kept := map[deployment.ServiceName][]admission.PriorityDemand{}
	for name := range z.services {
		kept[name] = validDemand(demand[name])
	}
	z.peers[instance] = peerDemand{demand: kept, at: now}
}

// setZoneReport stores the report of another zone unless a newer one is known.
func (z *zoneShares) setZoneReport(now time.Time, report ZoneReport) error {
	if err := validateZoneReport(report); err != nil {
		return err
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	known, ok := z.zones[report.Zone]
	if len(report.Free) == 0 {
		// An instance of an earlier build may have relayed it, and drops what it doesn't know.
		if now.Sub(known.at) > maxDemandAge {
			delete(z.zones, report.Zone)
		}
		return nil
	}
	at := now
	if !report.AsOf.IsZero() {
		at = now.Add(-z.delays.Observe(now, report.Origin, report.AsOf))
	}
	if ok && known.at.After(at) || !ok && len(z.zones) >= maxReportedZones {
		return nil
	}
	z.zones[report.Zone] = timedZoneReport{ZoneReport: report, at: at}
	return nil
}

// order returns the order of zones for a request, given the stages that may get it. It returns nil
// if the previous choice applies: no route to the service has a target for the gap between events,
// or nothing is known of other zones.
func (z *zoneShares) order(now time.Time, service *deployment.Service, rank routing.Rank, stages []pipeline.Stage) []deployment.Zone {
	if !z.shares(service) {
		return nil
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.othersKnown(service.Name) {
		return nil
	}
	s := z.service(service.Name)
	if now.Sub(s.decidedAt) >= decideInterval {
		s.decidedAt = now
		z.decide(now, service, s, stages)
	}
	return s.allowance.Order(now, rank, rand.Float64())
}

// shares reports whether the zones share the demand for a service.
func (z *zoneShares) shares(service *deployment.Service) bool {
	return z.enabled && service.Engine != nil && service.Engine.TargetEventGap > 0
}

// othersKnown reports whether another zone has ever reported its capacity for a service. A report
// that is too old counts: its zone may be cut off, and gets nothing then.
func (z *zoneShares) othersKnown(service deployment.ServiceName) bool {
	for _, report := range z.zones {
		if _, ok := report.Free[service]; ok {
			return true
		}
	}
	return false
}

// decide computes the plan of a service and this instance's part of it.
func (z *zoneShares) decide(now time.Time, service *deployment.Service, s *serviceShares, stages []pipeline.Stage) {
	byZone := pipeline.ByZone(stages)
	home := pipeline.CapacityOf(service.Engine, byZone[z.zone], loadLimit)
	instances := z.instances(now, service.Name, s)
	input := spillover.Input{
		Home:     spillover.ZoneState{Zone: z.zone, Demand: totalDemand(instances), Free: s.free(home)},
		Crossing: crossingOf(service.Engine), CostPerMegabyte: z.costPerMegabyte,
	}
	newest := time.Time{}
	for name, report := range z.zones {
		free, ok := report.Free[service.Name]
		if !ok {
			continue
		}
		if report.at.After(newest) {
			newest = report.at
		}
		seen := pipeline.CapacityOf(service.Engine, byZone[name], loadLimit)
		if !seen.Complete {
			free = spillover.Free{}
		}
		free.Requests = min(free.Requests, seen.Room)
		input.Others = append(input.Others, spillover.ZoneState{Zone: name, Demand: report.Demand[service.Name], Free: free, Age: now.Sub(report.at)})
	}
	plan := spillover.Decide(input)
	s.allowance.Set(now, plan, spillover.Part{Instances: instances, Self: z.self, Turn: uint64(newest.Unix())})
	z.logPlan(now, service.Name, s, &input, plan)
}

// free returns what a zone can take. By Little's law, as many requests end within the mean time of
// an answer as run.
func (s *serviceShares) free(capacity pipeline.Capacity) spillover.Free {
	free := spillover.Free{Requests: capacity.Room}
	if capacity.Complete && s.answerTime > 0 {
		free.PerSecond = float64(capacity.Running) / s.answerTime.Seconds()
	}
	return free
}

// instances returns the demand of each instance of the zone, as the others know it too.
func (z *zoneShares) instances(now time.Time, service deployment.ServiceName, s *serviceShares) []spillover.InstanceDemand {
	list := []spillover.InstanceDemand{{Instance: z.self, Demand: s.reported}}
	for id, peer := range z.peers {
		age := now.Sub(peer.at)
		if age >= maxDemandAge {
			continue
		}
		demand := peer.demand[service]
		if age >= halfDemandAge {
			demand = halved(demand)
		}
		list = append(list, spillover.InstanceDemand{Instance: id, Demand: demand})
	}
	return list
}

func halved(demand []admission.PriorityDemand) []admission.PriorityDemand {
	list := slices.Clone(demand)
	for i := range list {
		list[i].Waiting /= 2
		list[i].Work /= 2
		list[i].ArrivalsPerSecond /= 2
	}
	return list
}

// totalDemand returns the sum of the demand of instances by rank, the most urgent first.
func totalDemand(instances []spillover.InstanceDemand) []admission.PriorityDemand {
	var total []admission.PriorityDemand
	for _, instance := range instances {
		for _, d := range instance.Demand {
			i, ok := slices.BinarySearchFunc(total, d.Rank, func(t admission.PriorityDemand, rank routing.Rank) int { return t.Rank.Compare(rank) })
			if !ok {
				total = slices.Insert(total, i, admission.PriorityDemand{Rank: d.Rank})
			}
			total[i].Waiting += d.Waiting
			total[i].Work += d.Work
			total[i].ArrivalsPerSecond += d.ArrivalsPerSecond
		}
	}
	return total
}

// crossingOf estimates what a typical request costs that is served in another zone.
func crossingOf(engine *deployment.Engine) spillover.Crossing {
	events := engine.TypicalOutputTokens / float64(max(1, engine.Stride))
	return spillover.Crossing{Delay: crossingDelay, Megabytes: (engine.TypicalPromptTokens*bytesPerPromptToken + events*bytesPerEvent) / 1e6}
}

// record counts a request that was reserved a path which begins in a zone, and returns its
// crossing, nil if that is the home zone.
func (z *zoneShares) record(now time.Time, c *call, order []deployment.Zone, zone deployment.Zone) *crossing {
	if zone == z.zone {
		return nil
	}
	crossed := &crossing{target: zone, rank: c.decision.Rank, reason: spillover.ReasonNoPath}
	switch {
	case order == nil:
		crossed.reason = spillover.ReasonCheapest
	case order[0] == zone:
		crossed.reason = spillover.ReasonShare
	}
	if z.shares(c.service) {
		z.mu.Lock()
		defer z.mu.Unlock()
		z.service(c.service.Name).allowance.Record(now, c.decision.Rank, zone)
	}
	return crossed
}
