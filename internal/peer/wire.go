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

type wireLoad struct {
	Runner         string `cbor:"1,keyasint"`
	Incarnation    string `cbor:"2,keyasint"`
	Model          string `cbor:"3,keyasint"`
	Version        string `cbor:"4,keyasint"`
	Layers         int    `cbor:"5,keyasint"`
	First          int    `cbor:"6,keyasint"`
	End            int    `cbor:"7,keyasint"`
	Leaving        bool   `cbor:"8,keyasint,omitempty"`
	Loading        bool   `cbor:"9,keyasint,omitempty"`
	Queued         int    `cbor:"10,keyasint,omitempty"`
	BatchMicros    int64  `cbor:"11,keyasint"`
	PositionMicros int64  `cbor:"12,keyasint"`
	TripMicros     int64  `cbor:"13,keyasint"`
	Fence          int64  `cbor:"14,keyasint"`
	AgeMillis      int64  `cbor:"15,keyasint,omitempty"`
	Sessions       int    `cbor:"16,keyasint,omitempty"`
}

type wireDelta struct {
	_        struct{} `cbor:",toarray"`
	Runner   string
	Queued   int
	Sessions int
}

type wireRecord struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
	Millis int64
	Body   []byte
}

type wireCrash struct {
	Request uint64 `cbor:"1,keyasint"`
	Runner  string `cbor:"2,keyasint"`
}

type wireCall struct {
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

type wireAnswer struct {
	ID          uint64 `cbor:"1,keyasint"`
	Status      int    `cbor:"2,keyasint"`
	ContentType string `cbor:"3,keyasint,omitempty"`
	Outcome     string `cbor:"4,keyasint,omitempty"`
	Attempt     string `cbor:"5,keyasint,omitempty"`
	RetryAfter  string `cbor:"6,keyasint,omitempty"`
	Body        []byte `cbor:"7,keyasint,omitempty"`
}

type wireWanted struct {
	Topic string `cbor:"1,keyasint"`
	From  int64  `cbor:"2,keyasint"`
}

type wireTopic struct {
	Topic   string      `cbor:"1,keyasint"`
	Whole   bool        `cbor:"2,keyasint,omitempty"`
	Next    int64       `cbor:"3,keyasint"`
	Records []wireKeyed `cbor:"4,keyasint"`
	From    int64       `cbor:"5,keyasint,omitempty"`
	Fed     bool        `cbor:"6,keyasint,omitempty"`
}

type wireDuty struct {
	Zone    string `cbor:"1,keyasint"`
	Fencing int64  `cbor:"2,keyasint"`
}

type wireLayers struct {
	Backend string `cbor:"1,keyasint"`
	First   int    `cbor:"2,keyasint"`
	End     int    `cbor:"3,keyasint"`
	Refused bool   `cbor:"4,keyasint,omitempty"`
}

type wirePace struct {
	Backend string  `cbor:"1,keyasint"`
	Pace    float64 `cbor:"2,keyasint"`
}

type wireKeyed struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
	Key    string
	Value  []byte // nil where the key was dropped
}

type wireMessage struct {
	Hello           *wireHello         `cbor:"1,keyasint,omitempty"`
	Beat            *bool              `cbor:"2,keyasint,omitempty"`
	Members         []wireInstance     `cbor:"3,keyasint,omitempty"`
	Documents       *int64             `cbor:"4,keyasint,omitempty"`
	DocumentsWanted *int64             `cbor:"5,keyasint,omitempty"`
	DocumentsState  []byte             `cbor:"6,keyasint,omitempty"`
	Loads           []wireLoad         `cbor:"7,keyasint,omitempty"`
	Demand          map[string]float64 `cbor:"8,keyasint,omitempty"`
	Crash           *wireCrash         `cbor:"9,keyasint,omitempty"`
	Call            *wireCall          `cbor:"10,keyasint,omitempty"`
	Answer          *wireAnswer        `cbor:"11,keyasint,omitempty"`
	Deltas          []wireDelta        `cbor:"12,keyasint,omitempty"`
	Records         []wireRecord       `cbor:"13,keyasint,omitempty"`
	RecordsWanted   *wireWanted        `cbor:"14,keyasint,omitempty"`
	TopicRecords    *wireTopic         `cbor:"15,keyasint,omitempty"`
	Duty            *wireDuty          `cbor:"16,keyasint,omitempty"`
	LayersHeld      *wireLayers        `cbor:"17,keyasint,omitempty"`
	Pace            *wirePace          `cbor:"18,keyasint,omitempty"`
	LayersOrdered   *wireLayers        `cbor:"19,keyasint,omitempty"`
	ZoneLoads       map[string]int     `cbor:"20,keyasint,omitempty"`
}
