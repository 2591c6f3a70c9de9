package peer

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/pkg/environment"
	"mulberryhead.org/mulberryhead/platform"
)

// Encode returns the CBOR form of a message.
func Encode(message Message) ([]byte, error) {
	wire, err := messageToWire(message)
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode peer message: %w", err)
	}
	return data, nil
}

func messageToWire(message Message) (wireMessage, error) {
	var wire wireMessage
	switch m := message.(type) {
	case Hello:
		wire.Hello = &wireHello{Instance: string(m.Instance), Incarnation: m.Incarnation, Zone: string(m.Zone), Region: string(m.Region)}
	case Heartbeat:
		wire.Beat = &m.Leaving
	case Members:
		wire.Members = membersToWire(m)
	case DocumentsOffset:
		asOf := int64(m.AsOf)
		wire.Documents = &asOf
	case DocumentsRequest:
		asOf := int64(m.AsOf)
		wire.DocumentsWanted = &asOf
	case DocumentsCheckpoint:
		state, err := document.EncodeRecord(m.Checkpoint)
		if err != nil {
			return wire, err
		}
		wire.DocumentsState = state
	case DocumentsRecords:
		for _, r := range m.Records {
			wire.Records = append(wire.Records, wireRecord{Offset: int64(r.Offset), Millis: r.Time.UnixMilli(), Body: r.Body})
		}
	case LoadReports:
		for i := range m.Reports {
			wire.Loads = append(wire.Loads, loadToWire(&m.Reports[i]))
		}
	case LoadUpdates:
		for _, d := range m.Updates {
			wire.Deltas = append(wire.Deltas, wireDelta{Runner: string(d.Runner), Queued: d.Queued, Sessions: d.Sessions})
		}
	case Demand:
		wire.Demand = map[string]float64{}
		for tenant, used := range m.Teams {
			wire.Demand[string(tenant)] = used
		}
	case CrashNotice:
		wire.Crash = &wireCrash{Request: uint64(m.Fingerprint), Runner: m.Runner}
	case TopicRecordsRequest:
		wire.RecordsWanted = &wireWanted{Topic: m.Topic, From: int64(m.From)}
	case TopicRecords:
		wire.TopicRecords = topicToWire(m)
	case LeaseHolder:
		wire.Duty = &wireDuty{Zone: string(m.Zone), Fencing: m.FencingToken}
	case LayersHeld:
		wire.LayersHeld = layersToWire(m.Backend, m.Layers)
	case LayersOrdered:
		wire.LayersOrdered = layersToWire(m.Backend, m.Layers)
		wire.LayersOrdered.Refused = m.Refused
	case ZoneLoads:
		wire.ZoneLoads = zoneLoadsToWire(m)
	case Slowdown:
		wire.Pace = &wirePace{Backend: string(m.Backend), Pace: m.Factor}
	case ForwardRequest:
		wire.Call = &wireCall{
			ID: uint64(m.ID), Method: m.Method, Path: m.Path, Query: m.Query, Stage: m.Stage,
			ContentType: m.ContentType, APIKey: m.APIKey, Key: m.Key, Body: m.Body,
		}
	case ForwardResponse:
		wire.Answer = &wireAnswer{
			ID: uint64(m.ID), Status: m.Status, ContentType: m.ContentType,
			Outcome: m.Outcome, Attempt: m.Attempt, RetryAfter: m.RetryAfter, Body: m.Body,
		}
	}
	return wire, nil
}

// Decode reads a message from its CBOR form. A message of a kind that this
// build does not know gives nil.
func Decode(data []byte) (Message, error) {
	var wire wireMessage
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("decode peer message: %w", err)
	}
	switch {
	case wire.Hello != nil:
		h := wire.Hello
		return Hello{
			Instance: instancelist.ID(h.Instance), Incarnation: h.Incarnation,
			Zone: instancelist.Zone(h.Zone), Region: instancelist.Region(h.Region),
		}, nil
	case wire.Beat != nil:
		return Heartbeat{Leaving: *wire.Beat}, nil
	case wire.Members != nil:
		return membersFromWire(wire.Members), nil
	case wire.Documents != nil:
		return DocumentsOffset{AsOf: logservice.Offset(*wire.Documents)}, nil
	case wire.DocumentsWanted != nil:
		return DocumentsRequest{AsOf: logservice.Offset(*wire.DocumentsWanted)}, nil
	case wire.DocumentsState != nil:
		return stateFromWire(wire.DocumentsState)
	case wire.Records != nil:
		return recordsFromWire(wire.Records), nil
	case wire.Loads != nil:
		return loadsFromWire(wire.Loads), nil
	case wire.Deltas != nil:
		return deltasFromWire(wire.Deltas), nil
	case wire.Demand != nil:
		return demandFromWire(wire.Demand), nil
	case wire.Crash != nil:
		return CrashNotice{Fingerprint: engine.Fingerprint(wire.Crash.Request), Runner: wire.Crash.Runner}, nil
	case wire.RecordsWanted != nil:
		return TopicRecordsRequest{Topic: wire.RecordsWanted.Topic, From: platform.Offset(wire.RecordsWanted.From)}, nil
	case wire.TopicRecords != nil:
		return topicFromWire(wire.TopicRecords), nil
	case wire.Duty != nil:
		return LeaseHolder{Zone: instancelist.Zone(wire.Duty.Zone), FencingToken: wire.Duty.Fencing}, nil
	case wire.LayersHeld != nil:
		id, layers := wire.LayersHeld.layers()
		return LayersHeld{Backend: id, Layers: layers}, nil
	case wire.LayersOrdered != nil:
		id, layers := wire.LayersOrdered.layers()
		return LayersOrdered{Backend: id, Layers: layers, Refused: wire.LayersOrdered.Refused}, nil
	case wire.ZoneLoads != nil:
		return zoneLoadsFromWire(wire.ZoneLoads), nil
	case wire.Pace != nil:
		return Slowdown{Backend: deployment.BackendID(wire.Pace.Backend), Factor: wire.Pace.Pace}, nil
	case wire.Call != nil:
		c := wire.Call
		return ForwardRequest{
			ID: RequestID(c.ID), Method: c.Method, Path: c.Path, Query: c.Query, Stage: c.Stage,
			ContentType: c.ContentType, APIKey: c.APIKey, Key: c.Key, Body: c.Body,
		}, nil
	case wire.Answer != nil:
		a := wire.Answer
		return ForwardResponse{
			ID: RequestID(a.ID), Status: a.Status, ContentType: a.ContentType,
			Outcome: a.Outcome, Attempt: a.Attempt, RetryAfter: a.RetryAfter, Body: a.Body,
		}, nil
	}
	return nil, nil
}

func zoneLoadsToWire(m ZoneLoads) map[string]int {
	wire := make(map[string]int, len(m.Loads))
	for zone, count := range m.Loads {
		wire[string(zone)] = count
	}
	return wire
}

func zoneLoadsFromWire(wire map[string]int) ZoneLoads {
	m := ZoneLoads{Loads: make(map[deployment.Zone]int, len(wire))}
	for zone, count := range wire {
		m.Loads[deployment.Zone(zone)] = count
	}
	return m
}

func layersToWire(id deployment.BackendID, layers deployment.LayerRange) *wireLayers {
	return &wireLayers{Backend: string(id), First: layers.First, End: layers.End}
}

func (l *wireLayers) layers() (deployment.BackendID, deployment.LayerRange) {
	return deployment.BackendID(l.Backend), deployment.LayerRange{First: l.First, End: l.End}
}

func topicToWire(m TopicRecords) *wireTopic {
	wire := &wireTopic{Topic: m.Topic, Whole: m.Update.Snapshot, From: int64(m.Update.From), Next: int64(m.Update.Next), Fed: m.Pushed}
	for _, r := range m.Update.Records {
		wire.Records = append(wire.Records, wireKeyed{Offset: int64(r.Offset), Key: r.Key, Value: r.Value})
	}
	return wire
}

func topicFromWire(wire *wireTopic) TopicRecords {
	m := TopicRecords{Topic: wire.Topic, Pushed: wire.Fed, Update: topiccache.Update{
		Snapshot: wire.Whole, From: platform.Offset(wire.From), Next: platform.Offset(wire.Next),
	}}
	for _, w := range wire.Records {
		m.Update.Records = append(m.Update.Records, platform.Record{Offset: platform.Offset(w.Offset), Key: w.Key, Value: w.Value})
	}
	return m
}

func membersToWire(m Members) []wireInstance {
	list := make([]wireInstance, 0, len(m.Instances))
	for _, i := range m.Instances {
		list = append(list, wireInstance{
			ID: string(i.ID), Zone: string(i.Zone), Region: string(i.Region), Address: i.Address, Leaving: i.Leaving,
		})
	}
	return list
}

func membersFromWire(wire []wireInstance) Members {
	var m Members
	for _, w := range wire {
		m.Instances = append(m.Instances, instancelist.Instance{
			ID: instancelist.ID(w.ID), Kind: instancelist.KindEntry, Zone: instancelist.Zone(w.Zone),
			Region: instancelist.Region(w.Region), Address: w.Address, Leaving: w.Leaving,
		})
	}
	return m
}

func stateFromWire(data []byte) (Message, error) {
	record, err := document.DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	snapshot, ok := record.(document.Checkpoint)
	if !ok {
		return nil, nil
	}
	return DocumentsCheckpoint{Checkpoint: snapshot}, nil
}

func recordsFromWire(wire []wireRecord) DocumentsRecords {
	var m DocumentsRecords
	for _, w := range wire {
		m.Records = append(m.Records, logservice.Record{
			Offset: logservice.Offset(w.Offset), Time: time.UnixMilli(w.Millis), Body: w.Body,
		})
	}
	return m
}

func deltasFromWire(wire []wireDelta) LoadUpdates {
	var m LoadUpdates
	for _, w := range wire {
		m.Updates = append(m.Updates, LoadUpdate{Runner: runner.ID(w.Runner), Queued: w.Queued, Sessions: w.Sessions})
	}
	return m
}

func demandFromWire(wire map[string]float64) Demand {
	d := Demand{Teams: map[environment.TeamName]float64{}}
	for tenant, used := range wire {
		d.Teams[environment.TeamName(tenant)] = used
	}
	return d
}

func loadToWire(l *LoadReport) wireLoad {
	r := &l.Report
	return wireLoad{
		Runner: string(l.Runner), Incarnation: r.Incarnation, Model: string(r.Model), Version: string(r.Version),
		Layers: r.Layers, First: r.Range.First, End: r.Range.End, Leaving: r.Leaving, Loading: r.Loading, Queued: r.Queued, Sessions: r.Sessions,
		BatchMicros: r.BatchCost.Microseconds(), PositionMicros: r.PositionCost.Microseconds(),
		TripMicros: r.RoundTrip.Microseconds(), Fence: r.FencingToken, AgeMillis: l.AgeMillis,
	}
}

func loadsFromWire(wire []wireLoad) LoadReports {
	var loads LoadReports
	for _, w := range wire {
		loads.Reports = append(loads.Reports, LoadReport{
			Runner: runner.ID(w.Runner), AgeMillis: w.AgeMillis,
			Report: engine.Report{
				Incarnation: w.Incarnation, Model: environment.ModelName(w.Model), Version: environment.ModelVersion(w.Version),
				Layers: w.Layers, Range: runner.LayerRange{First: w.First, End: w.End},
				Leaving: w.Leaving, Loading: w.Loading, Queued: w.Queued, Sessions: w.Sessions,
				BatchCost:    time.Duration(w.BatchMicros) * time.Microsecond,
				PositionCost: time.Duration(w.PositionMicros) * time.Microsecond,
				RoundTrip:    time.Duration(w.TripMicros) * time.Microsecond,
				FencingToken: w.Fence,
			},
		})
	}
	return loads
}
