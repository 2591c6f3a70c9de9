package peer

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/spillover"
)

type wireFree struct {
	_         struct{} `cbor:",toarray"`
	Requests  float64
	PerSecond float64
}

// setZoneReport sets the fields on the demand and the free capacity of a zone.
func (w *wireZoneLoads) setZoneReport(m ZoneLoads) {
	w.Demand, w.Origin = priorityDemandToWire(m.Demand), string(m.Origin)
	if !m.AsOf.IsZero() {
		w.AsOfMillis = m.AsOf.UnixMilli()
	}
	if len(m.Free) > 0 {
		w.Free = make(map[string]wireFree, len(m.Free))
	}
	for service, free := range m.Free {
		w.Free[string(service)] = wireFree{Requests: free.Requests, PerSecond: free.PerSecond}
	}
}

// readZoneReport reads these fields into a message.
func (w *wireZoneLoads) readZoneReport(m *ZoneLoads) {
	m.Demand, m.Origin = priorityDemandFromWire(w.Demand), instancelist.ID(w.Origin)
	if w.AsOfMillis != 0 {
		m.AsOf = time.UnixMilli(w.AsOfMillis)
	}
	if len(w.Free) > 0 {
		m.Free = make(map[deployment.ServiceName]spillover.Free, len(w.Free))
	}
	for service, free := range w.Free {
		m.Free[deployment.ServiceName(service)] = spillover.Free{Requests: free.Requests, PerSecond: free.PerSecond}
	}
}
