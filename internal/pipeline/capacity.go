package pipeline

import (
	"slices"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// unknownRoom is assumed for a stage of which neither slots nor memory are known.
const unknownRoom = 10_000

// Capacity is what the stages of a zone can take.
type Capacity struct {
	// Complete is set if the stages hold all layers, with a first stage that this instance reaches.
	Complete bool
	Room     float64 // requests that can start beyond those that run
	Running  int     // requests of which a stage of the zone is the first one
}

// CapacityOf returns what the stages of one zone can take, up to a limit of their slots and
// memory: the least that the stages of a layer can take together.
func CapacityOf(engine *deployment.Engine, stages []Stage, limit float64) Capacity {
	var c Capacity
	usable := make([]Stage, 0, len(stages))
	rooms := make([]float64, 0, len(stages))
	boundaries := make([]int, 1, 1+2*len(stages))
	for i := range stages {
		stage := &stages[i]
		if stage.Layers.First <= 0 {
			c.Running += stage.Requests
			if stage.Unreachable {
				continue
			}
		}
		usable = append(usable, *stage)
		rooms = append(rooms, roomOn(engine, stage, limit))
		boundaries = append(boundaries, stage.Layers.First, stage.Layers.End)
	}
	c.Complete = len(MissingLayers(engine, usable)) == 0
	if !c.Complete {
		return c
	}
	slices.Sort(boundaries)
	c.Room = unknownRoom
	for _, layer := range slices.Compact(boundaries) {
		if layer >= 0 && layer < engine.Layers {
			c.Room = min(c.Room, roomFor(layer, usable, rooms))
		}
	}
	return c
}

// roomFor returns how many more requests the stages that hold a layer can take.
func roomFor(layer int, stages []Stage, rooms []float64) float64 {
	room := 0.0
	for i := range stages {
		if stages[i].Layers.First <= layer && layer < stages[i].Layers.End {
			room += rooms[i]
		}
	}
	return room
}

// roomOn returns how many more requests a stage can take.
func roomOn(engine *deployment.Engine, stage *Stage, limit float64) float64 {
	if stage.Full || stage.AtLimit {
		return 0
	}
	most := float64(unknownRoom)
	if stage.Layers.First <= 0 && stage.Slots > 0 {
		most = min(most, limit*float64(stage.Slots))
	}
	one := *stage
	one.Requests = 1
	if use := memoryUse(engine, &one); use > 0 {
		most = min(most, limit*maxMemoryUse/use)
	}
	return max(0, most-float64(stage.Requests))
}
