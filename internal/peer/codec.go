package peer

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
	"mulberryhead.org/mulberryhead/platform"
)

// Encode returns the CBOR encoding of a message.
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
		wire.Heartbeat = &m.Leaving
	case Members:
		wire.Members = membersToWire(m)
	case DocumentsOffset:
		asOf := int64(m.AsOf)
		wire.DocumentsOffset = &asOf
	case DocumentsRequest:
		asOf := int64(m.AsOf)
		wire.DocumentsRequest = &asOf
	case DocumentsCheckpoint:
		state, err := document.EncodeRecord(m.Checkpoint)
		if err != nil {
			return wire, err
		}
		wire.DocumentsCheckpoint = state
	case DocumentsRecords:
		for _, r := range m.Records {
			wire.DocumentsRecords = append(wire.DocumentsRecords, wireDocumentsRecord{Offset: int64(r.Offset), Millis: r.Time.UnixMilli(), Body: r.Body})
		}
	case LoadReports:
		for i := range m.Reports {
			wire.LoadReports = append(wire.LoadReports, loadReportToWire(&m.Reports[i]))
		}
	case LoadUpdates:
		for _, d := range m.Updates {
			wire.LoadUpdates = append(wire.LoadUpdates, wireLoadUpdate{Runner: string(d.Runner), Queued: d.Queued, Sessions: d.Sessions})
		}
	case Demand:
		wire.Demand = map[string]float64{}
		for team, requests := range m.Teams {
			wire.Demand[string(team)] = requests
		}
	case CrashNotice:
		wire.CrashNotice = &wireCrashNotice{Fingerprint: uint64(m.Fingerprint), Runner: m.Runner}
	case TopicRecordsRequest:
		wire.TopicRecordsRequest = &wireTopicRecordsRequest{Topic: m.Topic, From: int64(m.From), Compressed: m.Compressed}
	case TopicRecords:
		wire.TopicRecords = topicRecordsToWire(m)
	case LeaseHolder:
		wire.LeaseHolder = &wireLeaseHolder{Zone: string(m.Zone), FencingToken: m.FencingToken}
	case LayersHeld:
		wire.LayersHeld = layersToWire(m.Backend, m.Layers)
	case LayersOrdered:
		wire.LayersOrdered = layersToWire(m.Backend, m.Layers)
		wire.LayersOrdered.Refused = m.Refused
	case StageLoads:
		wire.StageLoads = stageLoadsToWire(m)
	case LinksState:
		wire.LinksCutOff = &m.CutOff
	case ZoneLoads:
		wire.ZoneLoads = zoneLoadsToWire(m)
	case StageObserved:
		wire.StageObserved = &wireStageObserved{Backend: string(m.Backend), What: int(m.What)}
	case PoisonEvidence:
		wire.PoisonEvidence = poisonEvidenceToWire(m.Evidence)
	case ServersLeaving:
		wire.ServersLeaving = incarnationsToWire(m.Servers)
	case Slowdown:
		wire.Slowdown = &wireSlowdown{Backend: string(m.Backend), Factor: m.Factor}
	case ForwardRequest:
		wire.ForwardRequest = &wireForwardRequest{
			ID: uint64(m.ID), Method: m.Method, Path: m.Path, Query: m.Query, Stage: m.Stage,
			ContentType: m.ContentType, APIKey: m.APIKey, Key: m.Key, Body: m.Body,
		}
	case ForwardResponse:
		wire.ForwardResponse = &wireForwardResponse{
			ID: uint64(m.ID), Status: m.Status, ContentType: m.ContentType,
			Outcome: m.Outcome, Attempt: m.Attempt, RetryAfter: m.RetryAfter, Body: m.Body,
		}
	}
	return wire, nil
}

// Decode decodes a message from CBOR. For a message of a kind that this build does not
// know it returns nil without an error.
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
	case wire.Heartbeat != nil:
		return Heartbeat{Leaving: *wire.Heartbeat}, nil
	case wire.Members != nil:
		return membersFromWire(wire.Members), nil
	case wire.DocumentsOffset != nil:
		return DocumentsOffset{AsOf: logservice.Offset(*wire.DocumentsOffset)}, nil
	case wire.DocumentsRequest != nil:
		return DocumentsRequest{AsOf: logservice.Offset(*wire.DocumentsRequest)}, nil
	case wire.DocumentsCheckpoint != nil:
		return checkpointFromWire(wire.DocumentsCheckpoint)
	case wire.DocumentsRecords != nil:
		return documentsRecordsFromWire(wire.DocumentsRecords), nil
	case wire.LoadReports != nil:
		return loadReportsFromWire(wire.LoadReports), nil
	case wire.LoadUpdates != nil:
		return loadUpdatesFromWire(wire.LoadUpdates), nil
	case wire.Demand != nil:
		return demandFromWire(wire.Demand), nil
	case wire.CrashNotice != nil:
		return CrashNotice{Fingerprint: engine.Fingerprint(wire.CrashNotice.Fingerprint), Runner: wire.CrashNotice.Runner}, nil
	case wire.TopicRecordsRequest != nil:
		request := wire.TopicRecordsRequest
		return TopicRecordsRequest{Topic: request.Topic, From: platform.Offset(request.From), Compressed: request.Compressed}, nil
	case wire.TopicRecords != nil:
		return topicRecordsFromWire(wire.TopicRecords), nil
	case wire.LeaseHolder != nil:
		return LeaseHolder{Zone: instancelist.Zone(wire.LeaseHolder.Zone), FencingToken: wire.LeaseHolder.FencingToken}, nil
	case wire.LayersHeld != nil:
		id, layers := wire.LayersHeld.layers()
		return LayersHeld{Backend: id, Layers: layers}, nil
	case wire.LayersOrdered != nil:
		id, layers := wire.LayersOrdered.layers()
		return LayersOrdered{Backend: id, Layers: layers, Refused: wire.LayersOrdered.Refused}, nil
	case wire.StageLoads != nil:
		return stageLoadsFromWire(wire.StageLoads), nil
	case wire.LinksCutOff != nil:
		return LinksState{CutOff: *wire.LinksCutOff}, nil
	case wire.StageObserved != nil:
		return StageObserved{Backend: deployment.BackendID(wire.StageObserved.Backend), What: backend.Observation(wire.StageObserved.What)}, nil
	case wire.PoisonEvidence != nil:
		return PoisonEvidence{Evidence: poisonEvidenceFromWire(wire.PoisonEvidence)}, nil
	case wire.ZoneLoads != nil:
		return zoneLoadsFromWire(wire.ZoneLoads), nil
	case wire.ServersLeaving != nil:
		return ServersLeaving{Servers: incarnationsFromWire(wire.ServersLeaving)}, nil
	case wire.Slowdown != nil:
		return Slowdown{Backend: deployment.BackendID(wire.Slowdown.Backend), Factor: wire.Slowdown.Factor}, nil
	case wire.ForwardRequest != nil:
		request := wire.ForwardRequest
		return ForwardRequest{
			ID: RequestID(request.ID), Method: request.Method, Path: request.Path, Query: request.Query, Stage: request.Stage,
			ContentType: request.ContentType, APIKey: request.APIKey, Key: request.Key, Body: request.Body,
		}, nil
	case wire.ForwardResponse != nil:
		response := wire.ForwardResponse
		return ForwardResponse{
			ID: RequestID(response.ID), Status: response.Status, ContentType: response.ContentType,
			Outcome: response.Outcome, Attempt: response.Attempt, RetryAfter: response.RetryAfter, Body: response.Body,
		}, nil
	}
	return nil, nil
}

func incarnationsToWire(incarnations []deployment.Incarnation) []wireIncarnation {
	list := make([]wireIncarnation, 0, len(incarnations))
	for _, incarnation := range incarnations {
		list = append(list, wireIncarnation{Server: string(incarnation.Server), StartedAt: incarnation.StartedAt})
	}
	return list
}

func incarnationsFromWire(list []wireIncarnation) []deployment.Incarnation {
	incarnations := make([]deployment.Incarnation, 0, len(list))
	for _, w := range list {
		incarnations = append(incarnations, deployment.Incarnation{Server: deployment.BackendID(w.Server), StartedAt: w.StartedAt})
	}
	return incarnations
}

func layersToWire(id deployment.BackendID, layers deployment.LayerRange) *wireLayers {
	return &wireLayers{Backend: string(id), First: layers.First, End: layers.End}
}

func (l *wireLayers) layers() (deployment.BackendID, deployment.LayerRange) {
	return deployment.BackendID(l.Backend), deployment.LayerRange{First: l.First, End: l.End}
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

func checkpointFromWire(data []byte) (Message, error) {
	record, err := document.DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	checkpoint, ok := record.(document.Checkpoint)
	if !ok {
		return nil, nil
	}
	return DocumentsCheckpoint{Checkpoint: checkpoint}, nil
}

func documentsRecordsFromWire(wire []wireDocumentsRecord) DocumentsRecords {
	var m DocumentsRecords
	for _, w := range wire {
		m.Records = append(m.Records, logservice.Record{
			Offset: logservice.Offset(w.Offset), Time: time.UnixMilli(w.Millis), Body: w.Body,
		})
	}
	return m
}

func loadUpdatesFromWire(wire []wireLoadUpdate) LoadUpdates {
	var m LoadUpdates
	for _, w := range wire {
		m.Updates = append(m.Updates, LoadUpdate{Runner: runner.ID(w.Runner), Queued: w.Queued, Sessions: w.Sessions})
	}
	return m
}

func demandFromWire(wire map[string]float64) Demand {
	d := Demand{Teams: map[environment.TeamName]float64{}}
	for team, requests := range wire {
		d.Teams[environment.TeamName(team)] = requests
	}
	return d
}

func loadReportToWire(l *LoadReport) wireLoadReport {
	r := &l.Report
	return wireLoadReport{
		Runner: string(l.Runner), Incarnation: r.Incarnation, Model: string(r.Model), Version: string(r.Version),
		Layers: r.Layers, First: r.Range.First, End: r.Range.End, Leaving: r.Leaving, Loading: r.Loading, Queued: r.Queued, Sessions: r.Sessions,
		BatchMicros: r.BatchCost.Microseconds(), PositionMicros: r.PositionCost.Microseconds(),
		RoundTripMicros: r.RoundTrip.Microseconds(), FencingToken: r.FencingToken, AgeMillis: l.AgeMillis,
	}
}

func loadReportsFromWire(wire []wireLoadReport) LoadReports {
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
				RoundTrip:    time.Duration(w.RoundTripMicros) * time.Microsecond,
				FencingToken: w.FencingToken,
			},
		})
	}
	return loads
}
