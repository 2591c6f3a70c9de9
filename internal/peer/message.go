// Package peer speaks between entry instances: a full mesh inside an
// availability zone and a few links to each other zone carry document
// versions, load, quarantines and forwarded calls.
//
// Usage: create a Mesh, serve its Handler on the peer address, tell it the
// instances with SetInstances, and Send messages:
//
//	mesh := peer.NewMesh(peer.Config{...})
//	go mesh.Run(ctx)
//	mesh.Broadcast(peer.DocumentsOffset{AsOf: 17})
package peer

import (
	"github.com/google/uuid"

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

// Incarnation identifies one run of an entry instance.
type Incarnation = uuid.UUID

// RequestID pairs a call with its answer on one link.
type RequestID uint64

// Message is one of the messages between entry instances.
type Message interface {
	isMessage()
}

// Hello opens a link, in both directions.
type Hello struct {
	Instance    instancelist.ID
	Incarnation Incarnation
	Zone        instancelist.Zone
	Region      instancelist.Region
}

// Heartbeat is a sign of life.
type Heartbeat struct {
	Leaving bool
}

// Members lists the entry instances that the sender knows.
type Members struct {
	Instances []instancelist.Instance
}

// DocumentsOffset says how far the sender has read the documents' stream.
type DocumentsOffset struct {
	AsOf logservice.Offset
}

// DocumentsRequest asks for the sender's documents when they are ahead.
type DocumentsRequest struct {
	AsOf logservice.Offset
}

// DocumentsRecords carries the records after what the receiver has read.
type DocumentsRecords struct {
	Records []logservice.Record
}

// DocumentsCheckpoint carries the documents in force, for a receiver that is too far
// behind for records.
type DocumentsCheckpoint struct {
	Checkpoint document.Checkpoint
}

// LoadReport is one runner's report, taken by the sender.
type LoadReport struct {
	Runner runner.ID
	Report engine.Report
	// AgeMillis is how old the report was when it was sent.
	AgeMillis int64
}

// LoadReports carries whole reports.
type LoadReports struct {
	Reports []LoadReport
}

// LoadUpdate is what changes often in a runner's report.
type LoadUpdate struct {
	Runner   runner.ID
	Queued   int
	Sessions int
}

// LoadUpdates carries the changes of reports that were sent whole before.
type LoadUpdates struct {
	Updates []LoadUpdate
}

// Demand tells how much of its limits each active tenant used at the sender.
type Demand struct {
	Teams map[environment.TeamName]float64
}

// CrashNotice says that a request was running on a runner when it crashed.
type CrashNotice struct {
	Fingerprint engine.Fingerprint
	Runner      string
}

// TopicRecordsRequest asks for what changed in a topic of the platform from an offset
// on. An instance sends it while it can't read the topic itself.
type TopicRecordsRequest struct {
	Topic string
	From  platform.Offset
}

// TopicRecords answers a TopicRecordsRequest, or feeds the instances of a zone with what
// one of them has just read.
type TopicRecords struct {
	Topic  string
	Update topiccache.Update
	Pushed bool // just read from the store
}

// LeaseHolder tells who gives the orders of a zone, and with which fencing number.
type LeaseHolder struct {
	Zone         instancelist.Zone
	FencingToken int64
}

// LayersHeld tells what a backend server of a model has just reported to hold.
type LayersHeld struct {
	Backend deployment.BackendID
	Layers  deployment.LayerRange
}

// LayersOrdered tells what a backend server of a model is ordered to hold.
type LayersOrdered struct {
	Backend deployment.BackendID
	Layers  deployment.LayerRange
	Refused bool // the backend server has not taken the order
}

// ZoneLoads tells how many requests of the sender are under way along paths that
// begin in each zone.
type ZoneLoads struct {
	Loads map[deployment.Zone]int
}

// Slowdown tells how many times longer than usual a backend server of a model takes.
type Slowdown struct {
	Backend deployment.BackendID
	Factor  float64
}

// ForwardRequest carries a call to the instance that issued its key.
type ForwardRequest struct {
	ID          RequestID
	Method      string
	Path        string
	Query       string
	Stage       string
	ContentType string
	APIKey      string
	Key         string
	Body        []byte
}

// ForwardResponse answers a ForwardRequest.
type ForwardResponse struct {
	ID          RequestID
	Status      int
	ContentType string
	Outcome     string
	Attempt     string
	RetryAfter  string
	Body        []byte
}

func (Hello) isMessage()               {}
func (Heartbeat) isMessage()           {}
func (Members) isMessage()             {}
func (DocumentsOffset) isMessage()     {}
func (DocumentsRequest) isMessage()    {}
func (DocumentsCheckpoint) isMessage() {}
func (DocumentsRecords) isMessage()    {}
func (LoadReports) isMessage()         {}
func (LoadUpdates) isMessage()         {}
func (Demand) isMessage()              {}
func (CrashNotice) isMessage()         {}
func (TopicRecordsRequest) isMessage() {}
func (TopicRecords) isMessage()        {}
func (LeaseHolder) isMessage()         {}
func (LayersHeld) isMessage()          {}
func (LayersOrdered) isMessage()       {}
func (ZoneLoads) isMessage()           {}
func (Slowdown) isMessage()            {}
func (ForwardRequest) isMessage()      {}
func (ForwardResponse) isMessage()     {}
