package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/internal/spillover"
)

// zonesService is a service on one whole replica of 100 slots in each of the zones a, b and c. Those
// in b and c are faster than that in a by more than the cost of a crossing.
func zonesService() (*deployment.Service, []deployment.Backend) {
	engine := &deployment.Engine{
		Layers: 80, Stride: 2, StepTime: time.Millisecond, TypicalOutputTokens: 100, TargetEventGap: 200 * time.Millisecond,
		Accelerators: map[string]deployment.Accelerator{"slow": {StepFactor: 20}, "fast": {StepFactor: 10}, "faster": {StepFactor: 9}},
	}
	servers := []deployment.Backend{{Zone: "a", Accelerator: "slow"}, {Zone: "b", Accelerator: "faster"}, {Zone: "c", Accelerator: "fast"}}
	for i := range servers {
		s := &servers[i]
		s.ID, s.Address = deployment.BackendID("i-"+string(s.Zone)), deployment.Address(fmt.Sprintf("10.0.0.%d:80", i+1))
		s.Service, s.Slots, s.Layers = "svc", 100, deployment.LayerRange{End: 80}
	}
	return &deployment.Service{Name: "svc", Engine: engine}, servers
}

// zoneGateway returns a gateway of an instance in zone a.
func zoneGateway(now time.Time, id deployment.InstanceID, servers []deployment.Backend) *Gateway {
	fleet := backend.NewFleet("a")
	fleet.Replace(now, servers)
	g := testGateway(fleet)
	g.shares.self, g.Settings.Instance = id, id
	g.shares.enabled, g.ZoneShares = true, true
	return g
}

// TestZonesShareNothingUnlessEnabled guards against requests that are kept in their zone, and reports
// that are sent, where the operator has not asked for shares.
func TestZonesShareNothingUnlessEnabled(t *testing.T) {
	now := time.Unix(1000, 0)
	service := &deployment.Service{Name: "svc", Engine: &deployment.Engine{Layers: 80, TargetEventGap: time.Second}}
	g := testGateway(backend.NewFleet("a"))
	assert.DeepEqual(t, g.ReportZone(now), ZoneReport{Zone: "a"})
	g.shares.setOwn("svc", []admission.PriorityDemand{{Waiting: 1}}, time.Second)
	assert.Assert(t, !g.shares.knows("svc"))
	assert.NilError(t, g.SetZoneReport(now, ZoneReport{Zone: "b", Free: map[deployment.ServiceName]spillover.Free{"svc": {Requests: 10}}}))
	assert.Assert(t, g.shares.order(now, service, routing.Rank{}, nil) == nil)
}

// reserveZone reserves a path for a request and returns the zone of its first stage.
func reserveZone(g *Gateway, now time.Time, service *deployment.Service) (deployment.Zone, *crossing, error) {
	c := &call{service: service, started: now}
	c.decision.Route = &deployment.Route{Resumable: true, MaxAttempts: 2}
	request := pathRequest{gateway: g, call: c, ran: map[deployment.BackendID]bool{}, lastEventAt: now}
	reserved, err := request.reserve(now)
	if err != nil {
		return "", nil, err
	}
	return reserved.inFlight.Backend.Zone, reserved.crossing, nil
}

func report(t *testing.T, g *Gateway, now time.Time, zone deployment.Zone, requests float64) {
	free := map[deployment.ServiceName]spillover.Free{"svc": {Requests: requests}}
	assert.NilError(t, g.SetZoneReport(now, ZoneReport{Zone: zone, Free: free}))
}

// TestRequestStaysInZoneThatSuffices guards against requests that cross though the home zone has
// capacity, and against another choice than the previous one where nothing is known of other zones or
// no route has a target for the gap between events.
func TestRequestStaysInZoneThatSuffices(t *testing.T) {
	now := time.Now()
	service, servers := zonesService()
	g := zoneGateway(now, "i", servers)
	zone, crossed, err := reserveZone(g, now, service)
	assert.NilError(t, err)
	assert.Equal(t, zone, deployment.Zone("b"))
	assert.Equal(t, crossed.reason, spillover.ReasonCheapest)
	report(t, g, now, "b", 50)
	zone, crossed, err = reserveZone(g, now, service)
	assert.NilError(t, err)
	assert.Equal(t, zone, deployment.Zone("a"))
	assert.Assert(t, crossed == nil)
	service.Engine.TargetEventGap = 0
	zone, _, err = reserveZone(g, now, service)
	assert.NilError(t, err)
	assert.Equal(t, zone, deployment.Zone("b"))
}

// TestStreamsOfLostServerSpread loses the servers of the home zone with 8 instances whose 6 streams each
// are sent again at once. It guards against streams that all go to the cheapest zone, and against
// more requests to a zone than it has reported to be free.
func TestStreamsOfLostServerSpread(t *testing.T) {
	const instances, streams = 8, 6
	now := time.Now()
	service, servers := zonesService()
	total := map[deployment.Zone]int{}
	waiting := 0
	demand := map[deployment.ServiceName][]admission.PriorityDemand{"svc": {{Waiting: streams}}}
	for i := range instances {
		g := zoneGateway(now, deployment.InstanceID(fmt.Sprint(i)), servers[1:])
		g.shares.service("svc").reported = demand["svc"]
		for j := range instances {
			if j != i {
				g.SetPeerDemand(now, deployment.InstanceID(fmt.Sprint(j)), demand)
			}
		}
		report(t, g, now, "b", 26)
		report(t, g, now, "c", 15)
		for range streams {
			zone, _, err := reserveZone(g, now, service)
			if err != nil {
				waiting++
				continue
			}
			total[zone]++
		}
	}
	assert.DeepEqual(t, total, map[deployment.Zone]int{"b": 26, "c": 15})
	assert.Equal(t, waiting, instances*streams-26-15)
}

// TestReserveBeforeAnyReport guards against streams of a lost server that wait for a report though other
// zones have room.
func TestReserveBeforeAnyReport(t *testing.T) {
	now := time.Now()
	service, servers := zonesService()
	g := zoneGateway(now, "i", servers[1:])
	report(t, g, now, "b", 4)
	report(t, g, now, "c", 6)
	total := map[deployment.Zone]int{}
	for range 10 {
		if zone, _, err := reserveZone(g, now, service); err == nil {
			total[zone]++
		}
	}
	assert.DeepEqual(t, total, map[deployment.Zone]int{"b": 2, "c": 3}) // half is the other neighbour's
}

// TestZoneThatIsCutOffGetsNothing guards against requests that are sent by reports older than 2 s, as after a
// zone was cut off, by ones that were held back on their way, or to a zone whose servers this instance
// doesn't reach or has lost.
func TestZoneThatIsCutOffGetsNothing(t *testing.T) {
	now := time.Now()
	service, servers := zonesService()
	sends := func(prepare func(g *Gateway) time.Time) bool {
		g := zoneGateway(now, "i", servers[1:2])
		zone, _, err := reserveZone(g, prepare(g), service)
		var noPath *noPathError
		assert.Assert(t, err == nil && zone == "b" || errors.As(err, &noPath), "%v", err)
		return err == nil
	}
	free := map[deployment.ServiceName]spillover.Free{"svc": {Requests: 50}}
	assert.Assert(t, sends(func(g *Gateway) time.Time { report(t, g, now, "b", 50); return now }))
	assert.Assert(t, !sends(func(g *Gateway) time.Time { report(t, g, now, "b", 50); return now.Add(2001 * time.Millisecond) }))
	assert.Assert(t, !sends(func(g *Gateway) time.Time { report(t, g, now, "b", 0); return now }))
	assert.Assert(t, !sends(func(g *Gateway) time.Time {
		report(t, g, now, "b", 50)
		g.Fleet.Replace(now, []deployment.Backend{{ID: "i-b", Service: "svc", Zone: "b", Accelerator: "fast", Layers: deployment.LayerRange{First: 1, End: 80}}})
		return now
	}))
	late := ZoneReport{Zone: "b", Free: free, AsOf: now, Origin: "j"}
	assert.Assert(t, !sends(func(g *Gateway) time.Time {
		later := now.Add(3 * time.Second)
		assert.NilError(t, g.SetZoneReport(now, ZoneReport{Zone: "b", Free: free, AsOf: now, Origin: "j"}))
		assert.NilError(t, g.SetZoneReport(later, late))
		return later
	}))
}

// TestInvalidOrOlderReportIsIgnored guards against a faulty peer whose numbers replace sound ones, and against
// a report from before a partition that replaces a newer one.
func TestInvalidOrOlderReportIsIgnored(t *testing.T) {
	now := time.Now()
	service, servers := zonesService()
	g := zoneGateway(now, "i", servers[1:])
	assert.NilError(t, g.SetZoneReport(now, ZoneReport{
		Zone: "b", Free: map[deployment.ServiceName]spillover.Free{"svc": {}}, AsOf: now, Origin: "j",
	}))
	var invalid *invalidReportError
	free := map[deployment.ServiceName]spillover.Free{"svc": {Requests: -1}}
	assert.Assert(t, errors.As(g.SetZoneReport(now, ZoneReport{Zone: "b", Free: free}), &invalid))
	free["svc"] = spillover.Free{Requests: 1}
	demand := map[deployment.ServiceName][]admission.PriorityDemand{"svc": {{Waiting: -1}}}
	assert.Assert(t, errors.As(g.SetZoneReport(now, ZoneReport{Zone: "b", Free: free, Demand: demand}), &invalid))
	g.SetPeerDemand(now, "j", demand)
	assert.DeepEqual(t, totalDemand(g.shares.instances(now, "svc", g.shares.service("svc"))), []admission.PriorityDemand(nil))
	free["svc"] = spillover.Free{Requests: 50}
	assert.NilError(t, g.SetZoneReport(now, ZoneReport{Zone: "b", Free: free, AsOf: now.Add(-time.Second), Origin: "j"}))
	_, _, err := reserveZone(g, now, service)
	var noPath *noPathError
	assert.Assert(t, errors.As(err, &noPath))
}

// TestReportsOfDemand guards against demand and capacity that other instances and zones never learn, against
// old demand that counts in full, and against arrivals that are reported long after the last one.
func TestReportsOfDemand(t *testing.T) {
	now := time.Now()
	service, servers := zonesService()
	g := zoneGateway(now, "i", servers)
	var table routing.ActiveTable
	table.UpdateIfNewer(deployment.Configuration{Version: 1, Services: []deployment.Service{*service}})
	g.RoutingTable = &table
	rank := routing.Rank{Priority: 1, Route: 2}
	g.ReportZone(now) // from now on the service is known
	q := g.queue("svc")
	for range 5 {
		q.admission.RecordArrival(now, &admission.Request{Rank: rank})
	}
	q.admission.RecordAnswer(4 * time.Second)
	_, _ = g.Fleet.Begin(now, pipeline.Path{IDs: []deployment.BackendID{"i-a"}})
	own := admission.PriorityDemand{Rank: rank, ArrivalsPerSecond: 5}
	assert.DeepEqual(t, g.Demand(now)["svc"], []admission.PriorityDemand{own})
	peer := admission.PriorityDemand{Rank: rank, Waiting: 3, Work: 9000, ArrivalsPerSecond: 1}
	g.SetPeerDemand(now, "j", map[deployment.ServiceName][]admission.PriorityDemand{"svc": {peer}})
	report := g.ReportZone(now)
	assert.DeepEqual(t, report.Demand["svc"], []admission.PriorityDemand{{Rank: rank, Waiting: 3, Work: 9000, ArrivalsPerSecond: 6}})
	assert.DeepEqual(t, report.Free["svc"], spillover.Free{Requests: 89, PerSecond: 0.25})
	later := now.Add(1500 * time.Millisecond)
	assert.DeepEqual(t, g.ReportZone(later).Demand["svc"], []admission.PriorityDemand{{Rank: rank, Waiting: 1, Work: 4500, ArrivalsPerSecond: 5.5}})
	assert.Equal(t, len(g.Demand(now.Add(11*time.Second))), 0)
}

// TestCrossingsAreCounted guards against bytes between zones that no metric shows.
func TestCrossingsAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	assert.Assert(t, m.countCrossing(nil, []byte("12345")) == nil)
	counter := m.countCrossing(&crossing{target: "b", rank: routing.Rank{Priority: 1}, reason: spillover.ReasonShare}, []byte("12345"))
	response := &backend.Response{Response: &http.Response{Body: io.NopCloser(strings.NewReader("123"))}}
	countBody(response, counter)
	_, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	families, err := registry.Gather()
	assert.NilError(t, err)
	counted := map[string]float64{}
	for _, family := range families {
		if strings.Contains(family.GetName(), "zone_crossing") {
			counted[family.GetName()] = family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	assert.DeepEqual(t, counted, map[string]float64{"mulberryhead_zone_crossing_requests_total": 1, "mulberryhead_zone_crossing_bytes_total": 8})
}
