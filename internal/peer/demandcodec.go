package peer

import (
	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

func priorityDemandToWire(demand map[deployment.ServiceName][]admission.PriorityDemand) map[string][]wireDemand {
	wire := make(map[string][]wireDemand, len(demand))
	for service, ranks := range demand {
		for _, d := range ranks {
			wire[string(service)] = append(wire[string(service)], wireDemand{
				Priority: d.Rank.Priority, Route: d.Rank.Route, Waiting: d.Waiting, Work: d.Work, ArrivalsPerSecond: d.ArrivalsPerSecond,
			})
		}
	}
	return wire
}

// priorityDemandFromWire returns nil if the sender has told no demand.
func priorityDemandFromWire(wire map[string][]wireDemand) map[deployment.ServiceName][]admission.PriorityDemand {
	if len(wire) == 0 {
		return nil
	}
	demand := make(map[deployment.ServiceName][]admission.PriorityDemand, len(wire))
	for service, ranks := range wire {
		name := deployment.ServiceName(service)
		for _, w := range ranks {
			demand[name] = append(demand[name], admission.PriorityDemand{
				Rank: routing.Rank{Priority: w.Priority, Route: w.Route}, Waiting: w.Waiting, Work: w.Work, ArrivalsPerSecond: w.ArrivalsPerSecond,
			})
		}
	}
	return demand
}
