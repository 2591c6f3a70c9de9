package peer

import "github.com/google/uuid"

type wireHello struct {
	Instance    string    `cbor:"1,keyasint"`
	Incarnation uuid.UUID `cbor:"2,keyasint"`
	Zone        string    `cbor:"3,keyasint"`
	Region      string    `cbor:"4,keyasint"`
}

type wireInstance struct {
	ID      string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Region  string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
	Leaving bool   `cbor:"5,keyasint,omitempty"`
}

type wireLoadReport struct {
	Runner          string `cbor:"1,keyasint"`
	Incarnation     string `cbor:"2,keyasint"`
	Model           string `cbor:"3,keyasint"`
	Version         string `cbor:"4,keyasint"`
	Layers          int    `cbor:"5,keyasint"`
	First           int    `cbor:"6,keyasint"`
	End             int    `cbor:"7,keyasint"`
	Leaving         bool   `cbor:"8,keyasint,omitempty"`
	Loading         bool   `cbor:"9,keyasint,omitempty"`
	Queued          int    `cbor:"10,keyasint,omitempty"`
	BatchMicros     int64  `cbor:"11,keyasint"`
	PositionMicros  int64  `cbor:"12,keyasint"`
	RoundTripMicros int64  `cbor:"13,keyasint"`
	FencingToken    int64  `cbor:"14,keyasint"`
	AgeMillis       int64  `cbor:"15,keyasint,omitempty"`
	Sessions        int    `cbor:"16,keyasint,omitempty"`
}

type wireLoadUpdate struct {
	_        struct{} `cbor:",toarray"`
	Runner   string
	Queued   int
	Sessions int
}

type wireDocumentsRecord struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
	Millis int64
	Body   []byte
}

type wireCrashNotice struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Runner      string `cbor:"2,keyasint"`
}

type wireForwardRequest struct {
	ID          uint64 `cbor:"1,keyasint"`
	Method      string `cbor:"2,keyasint"`
	Path        string `cbor:"3,keyasint"`
	Query       string `cbor:"4,keyasint,omitempty"`
	Stage       string `cbor:"5,keyasint,omitempty"`
	ContentType string `cbor:"6,keyasint,omitempty"`
	APIKey      string `cbor:"7,keyasint"`
	Key         string `cbor:"8,keyasint"`
	Body        []byte `cbor:"9,keyasint,omitempty"`
}

type wireForwardResponse struct {
	ID          uint64 `cbor:"1,keyasint"`
	Status      int    `cbor:"2,keyasint"`
	ContentType string `cbor:"3,keyasint,omitempty"`
	Outcome     string `cbor:"4,keyasint,omitempty"`
	Attempt     string `cbor:"5,keyasint,omitempty"`
	RetryAfter  string `cbor:"6,keyasint,omitempty"`
	Body        []byte `cbor:"7,keyasint,omitempty"`
}

type wireLeaseHolder struct {
	Zone         string `cbor:"1,keyasint"`
	FencingToken int64  `cbor:"2,keyasint"`
}

type wireLayers struct {
	Backend string `cbor:"1,keyasint"`
	First   int    `cbor:"2,keyasint"`
	End     int    `cbor:"3,keyasint"`
	Refused bool   `cbor:"4,keyasint,omitempty"`
}

type wireStageLoads struct {
	Loads   map[string]int          `cbor:"1,keyasint"`
	Retries map[string]wireSpending `cbor:"2,keyasint,omitempty"`
	Limits  map[string]wireLimit    `cbor:"3,keyasint,omitempty"`
	CutOff  bool                    `cbor:"4,keyasint,omitempty"`
	Demand  map[string][]wireDemand `cbor:"5,keyasint,omitempty"`
	Loans   map[string]wireLoans    `cbor:"6,keyasint,omitempty"`
}

// wireDemand is the demand in requests of one rank.
type wireDemand struct {
	_                 struct{} `cbor:",toarray"`
	Priority          int
	Route             int
	Waiting           int
	Work              float64
	ArrivalsPerSecond float64
}

type wireLoans struct {
	_         struct{} `cbor:",toarray"`
	Instances map[string]float64
	Zones     map[string]float64
}

type wireLimit struct {
	_            struct{} `cbor:",toarray"`
	PerSecond    float64
	NamedMillis  int64 // since it was named
	Answered     bool
	LiftedMillis int64 // since an answer without a limit
	Sent         float64
}

type wireSpending struct {
	_       struct{} `cbor:",toarray"`
	Allowed float64
	Spent   float64
}

type wireZoneLoads struct {
	Zone    string                  `cbor:"1,keyasint"`
	Loads   map[string]int          `cbor:"2,keyasint"`
	Limits  map[string]wireLimit    `cbor:"3,keyasint,omitempty"`
	Retries map[string]wireSpending `cbor:"4,keyasint,omitempty"`
	Lenders int                     `cbor:"5,keyasint,omitempty"`
	Loans   map[string]float64      `cbor:"8,keyasint,omitempty"`

	Demand     map[string][]wireDemand `cbor:"6,keyasint,omitempty"`
	Free       map[string]wireFree     `cbor:"7,keyasint,omitempty"`
	AsOfMillis int64                   `cbor:"9,keyasint,omitempty"`
	Origin     string                  `cbor:"10,keyasint,omitempty"`
}

type wireStageObserved struct {
	Backend string `cbor:"1,keyasint"`
	What    int    `cbor:"2,keyasint"`
}

type wireSlowdown struct {
	Backend string  `cbor:"1,keyasint"`
	Factor  float64 `cbor:"2,keyasint"`
}

type wireIncarnation struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	StartedAt int64 // Unix milliseconds
}

// wireMessage has one field set. Number 20 was the load by zone and must not be used again.
type wireMessage struct {
	Hello               *wireHello               `cbor:"1,keyasint,omitempty"`
	Heartbeat           *bool                    `cbor:"2,keyasint,omitempty"`
	Members             []wireInstance           `cbor:"3,keyasint,omitempty"`
	DocumentsOffset     *int64                   `cbor:"4,keyasint,omitempty"`
	DocumentsRequest    *int64                   `cbor:"5,keyasint,omitempty"`
	DocumentsCheckpoint []byte                   `cbor:"6,keyasint,omitempty"`
	LoadReports         []wireLoadReport         `cbor:"7,keyasint,omitempty"`
	Demand              map[string]float64       `cbor:"8,keyasint,omitempty"`
	CrashNotice         *wireCrashNotice         `cbor:"9,keyasint,omitempty"`
	ForwardRequest      *wireForwardRequest      `cbor:"10,keyasint,omitempty"`
	ForwardResponse     *wireForwardResponse     `cbor:"11,keyasint,omitempty"`
	LoadUpdates         []wireLoadUpdate         `cbor:"12,keyasint,omitempty"`
	DocumentsRecords    []wireDocumentsRecord    `cbor:"13,keyasint,omitempty"`
	TopicRecordsRequest *wireTopicRecordsRequest `cbor:"14,keyasint,omitempty"`
	TopicRecords        *wireTopicRecords        `cbor:"15,keyasint,omitempty"`
	LeaseHolder         *wireLeaseHolder         `cbor:"16,keyasint,omitempty"`
	LayersHeld          *wireLayers              `cbor:"17,keyasint,omitempty"`
	Slowdown            *wireSlowdown            `cbor:"18,keyasint,omitempty"`
	LayersOrdered       *wireLayers              `cbor:"19,keyasint,omitempty"`
	StageLoads          *wireStageLoads          `cbor:"21,keyasint,omitempty"`
	ZoneLoads           *wireZoneLoads           `cbor:"22,keyasint,omitempty"`
	StageObserved       *wireStageObserved       `cbor:"23,keyasint,omitempty"`
	PoisonEvidence      *wirePoisonEvidence      `cbor:"24,keyasint,omitempty"`
	LinksCutOff         *bool                    `cbor:"25,keyasint,omitempty"`
	ServersLeaving      []wireIncarnation        `cbor:"26,keyasint,omitempty"`
}
