package placementcontroller

import (
	"cmp"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
)

// entryLayers are the layers of an entry stage: an additional first stage for requests that
// the first stages of the zone do not take, as they have named a limit. From it a request goes
// on to the stages that hold the other layers. It loads so little that it still counts as
// empty: the plan may give it other layers.
var entryLayers = deployment.LayerRange{First: 0, End: 1}

// isEntry reports whether a backend server that holds or loads some layers is an entry stage:
// they are entryLayers, and another one holds these among others.
func isEntry(layers deployment.LayerRange, statuses []backend.ServerStatus) bool {
	if layers != entryLayers {
		return false
	}
	return slices.ContainsFunc(statuses, func(other backend.ServerStatus) bool {
		return other.Layers != entryLayers && other.Layers.Contains(entryLayers)
	})
}

// entryOrder returns the order that makes an empty backend server an entry stage, where no
// first stage takes as many requests a second as there are, by the limit of one at least.
func (t *orderTracker) entryOrder(now time.Time, statuses []backend.ServerStatus) (change, bool) {
	var empty []backend.ServerStatus
	limited := false
	for _, status := range statuses {
		order, ordered := t.orders[status.ID]
		switch {
		case ordered && order.layers == entryLayers && status.Layers != entryLayers:
			return change{}, false // one is under way
		case status.Layers.Contains(entryLayers):
			limited = limited || status.AtLimit
			if !status.AtLimit && status.UnavailableFor == 0 {
				return change{}, false
			}
		case status.Layers.Len() == 0 && !ordered && status.UnavailableFor == 0 && !status.Unlisted && !now.Before(t.retryAt[status.ID]):
			empty = append(empty, status)
		}
	}
	if !limited || len(empty) == 0 {
		return change{}, false
	}
	chosen := slices.MinFunc(empty, func(a, b backend.ServerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return change{server: chosen.Backend, layers: entryLayers}, true
}
