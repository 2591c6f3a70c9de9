// Package peer implements the protocol between instances. Instances keep
// WebSocket links to each other: by default a full mesh inside an availability
// zone and a few links to each other zone. The links carry CBOR messages:
// membership gossip, offsets, records and checkpoints of documents, load reports,
// crash notices, evidence on ends of backend servers, records of the platform's topics,
// placement state and forwarded requests. Delivery is not guaranteed: a message that is queued on a link that ends
// is lost.
//
// Usage: create a Mesh with a Receiver, serve its Handler at LinkPath on the peer
// address, pass it the instances of the platform's list with SetInstances, and
// send messages with Broadcast, BroadcastZone or Send:
//
//	mesh := peer.NewMesh(peer.Config{Self: hello, Receiver: receiver, Logger: logger})
//	go mesh.Run(ctx)
//	mesh.SetInstances(time.Now(), instances)
//	mesh.Broadcast(peer.DocumentsOffset{AsOf: 17})
package peer

import (
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/internal/spillover"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/pkg/environment"
	"mulberryhead.org/mulberryhead/platform"
)

// Incarnation identifies one run of an instance's process.
type Incarnation = uuid.UUID

// RequestID matches a ForwardResponse with its ForwardRequest on one link.
type RequestID uint64

// Message is implemented by the types that instances exchange over a link.
type Message interface {
	isMessage()
}

// Hello is the first message on a link in each direction and identifies its
// sender.
type Hello struct {
	Instance    instancelist.ID
	Incarnation Incarnation
	Zone        instancelist.Zone
	Region      instancelist.Region
}

// Heartbeat is sent on a link that carried nothing else for a while. Leaving
// reports that the sender is shutting down.
type Heartbeat struct {
	Leaving bool
}

// Members gossips instances that the sender knows: all others on a new link, and
// periodically those that the platform's list does not name.
type Members struct {
	Instances []instancelist.Instance
}

// DocumentsOffset announces the offset up to which the sender has read the
// documents' stream.
type DocumentsOffset struct {
	AsOf logservice.Offset
}

// DocumentsRequest asks the receiver for its documents after AsOf, the offset that
// the sender has read. AsOf is -1 where the sender needs a checkpoint because
// records alone would not complete its state.
type DocumentsRequest struct {
	AsOf logservice.Offset
}

// DocumentsRecords carries the records after the AsOf of a DocumentsRequest.
type DocumentsRecords struct {
	Records []logservice.Record
}

// DocumentsCheckpoint carries the active documents. It is sent if the AsOf of a
// DocumentsRequest is negative or the sender cannot supply the records after it.
type DocumentsCheckpoint struct {
	Checkpoint document.Checkpoint
}

// LoadReport is a report that the sender has fetched from a runner.
type LoadReport struct {
	Runner runner.ID
	Report engine.Report
	// AgeMillis is the age of the report, in milliseconds, when it was sent. The
	// daemon leaves it 0.
	AgeMillis int64
}

// LoadReports carries full reports.
type LoadReports struct {
	Reports []LoadReport
}

// LoadUpdate is the part of a runner's report that changes often.
type LoadUpdate struct {
	Runner   runner.ID
	Queued   int
	Sessions int
}

// LoadUpdates carries the load of runners whose full reports were sent before.
// Unchanged load is sent too, because it confirms that the runner responds.
type LoadUpdates struct {
	Updates []LoadUpdate
}

// Demand reports how many requests each of the busiest teams has sent to the
// sender since its last Demand.
type Demand struct {
	Teams map[environment.TeamName]float64
}

// CrashNotice reports that a request was running on a runner when that crashed.
type CrashNotice struct {
	Fingerprint engine.Fingerprint
	Runner      string // the incarnation
}

// PoisonEvidence carries what the sender knows of ends of backend servers, or what of it is
// new.
type PoisonEvidence struct {
	Evidence poison.Evidence
}

// TopicRecordsRequest asks one peer for the changes of a platform topic from an offset on. The
// response may be a snapshot. A peer that has nothing newer, or that has answered others
// lately, responds with an announcement of its offset; one of a build that does not know
// announcements sends nothing then.
type TopicRecordsRequest struct {
	Topic string
	From  platform.Offset
	// Compressed is set by senders that take compressed values, as Differences without a base.
	Compressed bool
}

// TopicRecords carries records of a platform topic, or the offset up to which the sender has
// them. It is the response to a TopicRecordsRequest. With Pushed set, it carries what one
// instance has just read from the store, so that other instances need not read it: the
// records, or their Differences from the records before, or, where these are long, only the
// offset. With Announced set, it carries the sender's offset only.
type TopicRecords struct {
	Topic       string
	Update      topiccache.Update // without records if Differences is set or only the offset is told
	Differences *topiccache.Differences
	Pushed      bool // not requested; just read from the store
	Announced   bool
}

// LeaseHolder announces that the sender holds the lease on the placement orders of a
// zone, and its fencing token.
type LeaseHolder struct {
	Zone         instancelist.Zone
	FencingToken int64
}

// LayersHeld relays the layers that a backend server of a model has just reported to
// hold.
type LayersHeld struct {
	Backend deployment.BackendID
	Layers  deployment.LayerRange
}

// LayersOrdered announces the layers that a backend server of a model is ordered to
// hold.
type LayersOrdered struct {
	Backend deployment.BackendID
	Layers  deployment.LayerRange
	Refused bool // the backend server rejected the order, which is withdrawn
}

// StageLoads reports how many requests of the sender are in flight on each backend server
// of a model, what it has spent of the retries to each service, what it knows of backend
// servers with a limit and has sent to them, and its demand for services for
// which requests wait, or whose demand the zones share.
type StageLoads struct {
	Loads   map[deployment.BackendID]int
	Retries map[deployment.ServiceName]retrybudget.Spending
	Limits  backend.LimitReports
	CutOff  bool // the sender has lost its links to the backend servers
	Demand  map[deployment.ServiceName][]admission.PriorityDemand
	// Loans are the retries that the sender leaves to others, by service.
	Loans map[deployment.ServiceName]map[retrybudget.Borrower]float64
}

// LinksState reports whether the sender has lost its links to the backend servers. It is sent
// when that changes, on a new link, and at intervals while they are lost.
type LinksState struct {
	CutOff bool
}

// ZoneLoads reports how many requests of all instances of a zone are in flight on each
// backend server of a model, what they know of backend servers with a limit, what they have
// spent of the retries to each service, their demand, and what the zone's replicas can take beyond
// the requests in flight. Free is empty in messages of a build that does not know it.
type ZoneLoads struct {
	Zone   deployment.Zone
	Loads  map[deployment.BackendID]int
	Limits backend.LimitReports
	// Retries are sums over Lenders instances of the zone.
	Retries map[deployment.ServiceName]retrybudget.Spending
	Lenders int
	// Loans are the retries that the zone leaves to the one that this message goes to.
	Loans  map[deployment.ServiceName]float64
	Demand map[deployment.ServiceName][]admission.PriorityDemand
	Free   map[deployment.ServiceName]spillover.Free
	// AsOf is when the report was made, by the clock of Origin, the instance that made it.
	AsOf   time.Time
	Origin instancelist.ID
}

// StageObserved reports what the sender has observed of a backend server of a model.
type StageObserved struct {
	Backend deployment.BackendID
	What    backend.Observation
}

// ServersLeaving names backend servers that have said in responses that they leave.
type ServersLeaving struct {
	Servers []deployment.Incarnation
}

// Slowdown reports the slowdown factor of a backend server of a model: how many times
// longer than usual it takes.
type Slowdown struct {
	Backend deployment.BackendID
	Factor  float64
}

// ForwardRequest forwards a request to the instance that issued its idempotency key.
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

// ForwardResponse is the response to a ForwardRequest.
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
func (PoisonEvidence) isMessage()      {}
func (TopicRecordsRequest) isMessage() {}
func (TopicRecords) isMessage()        {}
func (LeaseHolder) isMessage()         {}
func (LayersHeld) isMessage()          {}
func (LayersOrdered) isMessage()       {}
func (StageLoads) isMessage()          {}
func (LinksState) isMessage()          {}
func (ZoneLoads) isMessage()           {}
func (StageObserved) isMessage()       {}
func (ServersLeaving) isMessage()      {}
func (Slowdown) isMessage()            {}
func (ForwardRequest) isMessage()      {}
func (ForwardResponse) isMessage()     {}
