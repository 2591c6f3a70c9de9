package peer

import (
	"math"
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/serverlimit"
)

// limitsToWire returns nil for no reports, which are then left out of the message.
func limitsToWire(reports backend.LimitReports) map[string]wireLimit {
	if len(reports) == 0 {
		return nil
	}
	wire := make(map[string]wireLimit, len(reports))
	for id, report := range reports {
		said := report.Statement
		wire[string(id)] = wireLimit{
			PerSecond: said.PerSecond, NamedMillis: said.NamedAge.Milliseconds(),
			Answered: said.Answered, LiftedMillis: said.LiftedAge.Milliseconds(), Sent: report.Sent,
		}
	}
	return wire
}

// limitsFromWire leaves out reports whose numbers are no limit or no count.
func limitsFromWire(wire map[string]wireLimit) backend.LimitReports {
	reports := make(backend.LimitReports, len(wire))
	for id, w := range wire {
		if !serverlimit.IsLimit(w.PerSecond) || math.IsNaN(w.Sent) || w.Sent < 0 {
			continue
		}
		reports[deployment.BackendID(id)] = backend.LimitReport{Sent: w.Sent, Statement: serverlimit.Statement{
			PerSecond: w.PerSecond, NamedAge: ageFromWire(w.NamedMillis), Answered: w.Answered, LiftedAge: liftedAge(w),
		}}
	}
	return reports
}

func liftedAge(w wireLimit) time.Duration {
	if !w.Answered {
		return 0
	}
	return ageFromWire(w.LiftedMillis)
}
