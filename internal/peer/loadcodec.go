package peer

import (
	"math"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

func stageLoadsToWire(m StageLoads) *wireStageLoads {
	return &wireStageLoads{
		Loads: loadsToWire(m.Loads), Retries: retriesToWire(m.Retries), Limits: limitsToWire(m.Limits), CutOff: m.CutOff,
		Demand: priorityDemandToWire(m.Demand), Loans: loansToWire(m.Loans),
	}
}

func stageLoadsFromWire(wire *wireStageLoads) StageLoads {
	return StageLoads{
		Loads: loadsFromWire(wire.Loads), Retries: retriesFromWire(wire.Retries), Limits: limitsFromWire(wire.Limits), CutOff: wire.CutOff,
		Demand: priorityDemandFromWire(wire.Demand), Loans: loansFromWire(wire.Loans),
	}
}

func zoneLoadsToWire(m ZoneLoads) *wireZoneLoads {
	wire := &wireZoneLoads{
		Zone: string(m.Zone), Loads: loadsToWire(m.Loads), Limits: limitsToWire(m.Limits),
		Retries: retriesToWire(m.Retries), Lenders: m.Lenders, Loans: zoneLoansToWire(m.Loans),
	}
	wire.setZoneReport(m)
	return wire
}

func zoneLoadsFromWire(wire *wireZoneLoads) ZoneLoads {
	loads := ZoneLoads{
		Zone: deployment.Zone(wire.Zone), Loads: loadsFromWire(wire.Loads), Limits: limitsFromWire(wire.Limits),
		Lenders: max(0, wire.Lenders), Loans: zoneLoansFromWire(wire.Loans),
	}
	if len(wire.Retries) > 0 {
		loads.Retries = retriesFromWire(wire.Retries)
	}
	wire.readZoneReport(&loads)
	return loads
}

func loadsToWire(loads map[deployment.BackendID]int) map[string]int {
	wire := make(map[string]int, len(loads))
	for id, count := range loads {
		wire[string(id)] = count
	}
	return wire
}

func loadsFromWire(wire map[string]int) map[deployment.BackendID]int {
	loads := make(map[deployment.BackendID]int, len(wire))
	for id, count := range wire {
		loads[deployment.BackendID(id)] = count
	}
	return loads
}

func retriesToWire(retries map[deployment.ServiceName]retrybudget.Spending) map[string]wireSpending {
	wire := make(map[string]wireSpending, len(retries))
	for service, spending := range retries {
		wire[string(service)] = wireSpending{Allowed: spending.Allowed, Spent: spending.Spent}
	}
	return wire
}

// retriesFromWire leaves out services whose numbers are no amounts.
func retriesFromWire(wire map[string]wireSpending) map[deployment.ServiceName]retrybudget.Spending {
	retries := make(map[deployment.ServiceName]retrybudget.Spending, len(wire))
	for service, spending := range wire {
		if isAmount(spending.Allowed) && isAmount(spending.Spent) {
			retries[deployment.ServiceName(service)] = retrybudget.Spending{Allowed: spending.Allowed, Spent: spending.Spent}
		}
	}
	return retries
}

// isAmount reports whether a number is a possible amount of retries. NaN is none.
func isAmount(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

func loansToWire(loans map[deployment.ServiceName]map[retrybudget.Borrower]float64) map[string]wireLoans {
	wire := make(map[string]wireLoans, len(loans))
	for service, borrowers := range loans {
		if len(borrowers) == 0 {
			continue
		}
		w := wireLoans{Instances: map[string]float64{}, Zones: map[string]float64{}}
		for borrower, retries := range borrowers {
			if borrower.Zone != "" {
				w.Zones[string(borrower.Zone)] = retries
			} else {
				w.Instances[string(borrower.Instance)] = retries
			}
		}
		wire[string(service)] = w
	}
	return wire
}

// loansFromWire leaves out loans whose numbers are no amounts. It returns nil for no loans.
func loansFromWire(wire map[string]wireLoans) map[deployment.ServiceName]map[retrybudget.Borrower]float64 {
	if len(wire) == 0 {
		return nil
	}
	loans := make(map[deployment.ServiceName]map[retrybudget.Borrower]float64, len(wire))
	for service, w := range wire {
		borrowers := map[retrybudget.Borrower]float64{}
		for id, retries := range w.Instances {
			if isAmount(retries) {
				borrowers[retrybudget.Borrower{Instance: deployment.InstanceID(id)}] = retries
			}
		}
		for zone, retries := range w.Zones {
			if isAmount(retries) {
				borrowers[retrybudget.Borrower{Zone: deployment.Zone(zone)}] = retries
			}
		}
		loans[deployment.ServiceName(service)] = borrowers
	}
	return loans
}

// zoneLoansToWire leaves out services without a loan.
func zoneLoansToWire(loans map[deployment.ServiceName]float64) map[string]float64 {
	wire := make(map[string]float64, len(loans))
	for service, retries := range loans {
		if retries > 0 {
			wire[string(service)] = retries
		}
	}
	return wire
}

// zoneLoansFromWire does the same as loansFromWire.
func zoneLoansFromWire(wire map[string]float64) map[deployment.ServiceName]float64 {
	if len(wire) == 0 {
		return nil
	}
	loans := make(map[deployment.ServiceName]float64, len(wire))
	for service, retries := range wire {
		if isAmount(retries) {
			loans[deployment.ServiceName(service)] = retries
		}
	}
	return loans
}
