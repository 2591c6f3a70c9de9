package document

import (
	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

const (
	// maxPartBytes bounds the documents in one record of a checkpoint.
	maxPartBytes = 512 << 10
	// maxPartSets bounds the checkpoints whose parts are collected at once.
	maxPartSets = 4
)

// split cuts a checkpoint into parts whose documents take about maxBytes each.
func split(c Checkpoint, maxBytes int) []Checkpoint {
	var parts []Checkpoint
	size := 0
	part := Checkpoint{AsOf: c.AsOf}
	for _, e := range c.Entries {
		if len(part.Entries) > 0 && size+len(e.Body) > maxBytes {
			parts = append(parts, part)
			part, size = Checkpoint{AsOf: c.AsOf}, 0
		}
		part.Entries = append(part.Entries, e)
		size += len(e.Body)
	}
	parts = append(parts, part)
	set := uuid.New()
	for i := range parts {
		parts[i].Part, parts[i].Parts, parts[i].ID = i, len(parts), set
	}
	return parts
}

// partCollector puts the parts of checkpoints together. The zero value is
// ready.
type partCollector struct {
	sets map[uuid.UUID]map[int]Checkpoint
}

// add takes a part, and returns the whole checkpoint when it was the last one
// missing.
func (p *partCollector) add(c Checkpoint) (Checkpoint, bool) {
	if c.Parts <= 1 {
		return c, true
	}
	if p.sets == nil {
		p.sets = map[uuid.UUID]map[int]Checkpoint{}
	}
	if p.sets[c.ID] == nil {
		p.makeRoom()
		p.sets[c.ID] = map[int]Checkpoint{}
	}
	p.sets[c.ID][c.Part] = c
	if len(p.sets[c.ID]) < c.Parts {
		return Checkpoint{}, false
	}
	whole := Checkpoint{AsOf: c.AsOf}
	for i := range c.Parts {
		whole.Entries = append(whole.Entries, p.sets[c.ID][i].Entries...)
	}
	delete(p.sets, c.ID)
	return whole, true
}

// makeRoom drops the oldest unfinished checkpoint when there are many: whoever
// wrote it has stopped.
func (p *partCollector) makeRoom() {
	if len(p.sets) < maxPartSets {
		return
	}
	var oldest uuid.UUID
	found := false
	for set := range p.sets {
		if !found || p.asOf(set) < p.asOf(oldest) {
			oldest, found = set, true
		}
	}
	delete(p.sets, oldest)
}

func (p *partCollector) asOf(set uuid.UUID) logservice.Offset {
	for _, part := range p.sets[set] {
		return part.AsOf
	}
	return 0
}
