package gateway

import (
	"fmt"
	"testing"
	"time"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/internal/spillover"
)

// BenchmarkPlan measures a plan at 640 servers in three zones and 113 instances in this one.
func BenchmarkPlan(b *testing.B) {
	now := time.Now()
	service, _ := zonesService()
	var servers []deployment.Backend
	for i := range 640 {
		first := i % 16 * 5
		servers = append(servers, deployment.Backend{
			ID: deployment.BackendID(fmt.Sprint(i)), Address: deployment.Address(fmt.Sprint(i)), Zone: deployment.Zone("abc"[i%3 : i%3+1]), Service: "svc",
			Slots: 192, Accelerator: "fast", Layers: deployment.LayerRange{First: first, End: first + 5},
		})
	}
	g := zoneGateway(now, "i", servers)
	demand := map[deployment.ServiceName][]admission.PriorityDemand{"svc": {
		{ArrivalsPerSecond: 1}, {Rank: routing.Rank{Priority: 1}, Waiting: 40, ArrivalsPerSecond: 30}, {Rank: routing.Rank{Priority: 2}},
	}}
	g.shares.service("svc")
	for i := range 112 {
		g.SetPeerDemand(now, deployment.InstanceID(fmt.Sprint(i)), demand)
	}
	for _, zone := range []deployment.Zone{"b", "c"} {
		free := map[deployment.ServiceName]spillover.Free{"svc": {Requests: 300, PerSecond: 20}}
		_ = g.SetZoneReport(now, ZoneReport{Zone: zone, Demand: demand, Free: free})
	}
	stages := g.Fleet.StagesWithFull(now, service)
	s := g.shares.service("svc")
	for b.Loop() {
		g.shares.decide(now, service, s, stages)
	}
}
