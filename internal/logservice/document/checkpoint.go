package document

import (
	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

const (
	// maxPartBytes is the target for the total size of the documents in one part
	// of a checkpoint. A larger document gets a part of its own.
	maxPartBytes = 512 << 10
	// maxIncompleteCheckpoints limits the checkpoints whose parts are collected
	// at the same time.
	maxIncompleteCheckpoints = 4
)

// split divides a checkpoint into parts with up to maxBytes of documents each. A
// larger document gets a part of its own.
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
	id := uuid.New()
	for i := range parts {
		parts[i].Part, parts[i].Parts, parts[i].ID = i, len(parts), id
	}
	return parts
}

// partCollector reassembles checkpoints from their parts. The zero value is ready
// to use.
type partCollector struct {
	incomplete map[uuid.UUID]map[int]Checkpoint
}

// add stores a part. It returns the complete checkpoint and true if no other part
// is missing.
func (p *partCollector) add(c Checkpoint) (Checkpoint, bool) {
	if c.Parts <= 1 {
		return c, true
	}
	if p.incomplete == nil {
		p.incomplete = map[uuid.UUID]map[int]Checkpoint{}
	}
	if p.incomplete[c.ID] == nil {
		p.evictOldest()
		p.incomplete[c.ID] = map[int]Checkpoint{}
	}
	p.incomplete[c.ID][c.Part] = c
	if len(p.incomplete[c.ID]) < c.Parts {
		return Checkpoint{}, false
	}
	full := Checkpoint{AsOf: c.AsOf}
	for i := range c.Parts {
		full.Entries = append(full.Entries, p.incomplete[c.ID][i].Entries...)
	}
	delete(p.incomplete, c.ID)
	return full, true
}

// evictOldest drops the incomplete checkpoint with the lowest AsOf when the limit
// is reached. Its writer has presumably stopped.
func (p *partCollector) evictOldest() {
	if len(p.incomplete) < maxIncompleteCheckpoints {
		return
	}
	var oldest uuid.UUID
	found := false
	for id := range p.incomplete {
		if !found || p.asOf(id) < p.asOf(oldest) {
			oldest, found = id, true
		}
	}
	delete(p.incomplete, oldest)
}

func (p *partCollector) asOf(id uuid.UUID) logservice.Offset {
	for _, part := range p.incomplete[id] {
		return part.AsOf
	}
	return 0
}
