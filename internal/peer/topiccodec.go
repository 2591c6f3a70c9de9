package peer

import (
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

type wireTopicRecordsRequest struct {
	Topic      string `cbor:"1,keyasint"`
	From       int64  `cbor:"2,keyasint"`
	Compressed bool   `cbor:"3,keyasint,omitempty"`
}

type wireTopicRecords struct {
	Topic       string                `cbor:"1,keyasint"`
	Snapshot    bool                  `cbor:"2,keyasint,omitempty"`
	Next        int64                 `cbor:"3,keyasint"`
	Records     []wireTopicRecord     `cbor:"4,keyasint"`
	From        int64                 `cbor:"5,keyasint,omitempty"`
	Pushed      bool                  `cbor:"6,keyasint,omitempty"`
	Announced   bool                  `cbor:"7,keyasint,omitempty"`
	ChangesFrom int64                 `cbor:"8,keyasint,omitempty"` // of differences and of compacted changes
	Differences []wireTopicDifference `cbor:"9,keyasint,omitempty"`
	Compacted   bool                  `cbor:"10,keyasint,omitempty"`
}

type wireTopicRecord struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
	Key    string
	Value  []byte // nil if the key was deleted
}

type wireTopicDifference struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
	Key    string
	Base   int64 // -1 if Data is the compressed value
	Sum    uint64
	Data   []byte // nil if the key was deleted
}

// topicRecordsToWire encodes differences and compacted changes so that a build that does not know them
// learns the offset only: its range of changes is empty, and it asks for what it lacks.
func topicRecordsToWire(m TopicRecords) *wireTopicRecords {
	wire := &wireTopicRecords{
		Topic: m.Topic, Snapshot: m.Update.Snapshot, From: int64(m.Update.From), Next: int64(m.Update.Next),
		Pushed: m.Pushed, Announced: m.Announced, Compacted: m.Update.Compacted,
	}
	if m.Update.Compacted {
		wire.From, wire.ChangesFrom = wire.Next, wire.From
	}
	for _, r := range m.Update.Records {
		wire.Records = append(wire.Records, wireTopicRecord{Offset: int64(r.Offset), Key: r.Key, Value: r.Value})
	}
	if m.Differences == nil {
		return wire
	}
	wire.From, wire.ChangesFrom = int64(m.Differences.Next), int64(m.Differences.From)
	wire.Next = int64(m.Differences.Next)
	for _, d := range m.Differences.Changes {
		wire.Differences = append(wire.Differences, wireTopicDifference{Offset: int64(d.Offset), Key: d.Key, Base: int64(d.Base), Sum: d.Sum, Data: d.Data})
	}
	return wire
}

func topicRecordsFromWire(wire *wireTopicRecords) TopicRecords {
	m := TopicRecords{Topic: wire.Topic, Pushed: wire.Pushed, Announced: wire.Announced, Update: topiccache.Update{
		Snapshot: wire.Snapshot, From: platform.Offset(wire.From), Next: platform.Offset(wire.Next), Compacted: wire.Compacted,
	}}
	if wire.Compacted && len(wire.Differences) == 0 {
		m.Update.From = platform.Offset(wire.ChangesFrom)
	}
	for _, w := range wire.Records {
		m.Update.Records = append(m.Update.Records, platform.Record{Offset: platform.Offset(w.Offset), Key: w.Key, Value: w.Value})
	}
	if len(wire.Differences) == 0 {
		return m
	}
	m.Differences = &topiccache.Differences{From: platform.Offset(wire.ChangesFrom), Next: platform.Offset(wire.Next)}
	for _, w := range wire.Differences {
		m.Differences.Changes = append(m.Differences.Changes, topiccache.Difference{
			Offset: platform.Offset(w.Offset), Key: w.Key, Base: platform.Offset(w.Base), Sum: w.Sum, Data: w.Data,
		})
	}
	return m
}
