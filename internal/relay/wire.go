package relay

import "github.com/fxamacker/cbor/v2"

// wireRequest is the encoding of a Request. What clients chose freely is in byte strings,
// since it need not be UTF-8.
type wireRequest struct {
	From      string          `cbor:"1,keyasint"`
	ID        cbor.ByteString `cbor:"2,keyasint"`
	Remaining int64           `cbor:"3,keyasint"` // nanoseconds
	Version   int64           `cbor:"4,keyasint"`
	Service   string          `cbor:"5,keyasint"`
	Route     wireRoute       `cbor:"6,keyasint"`
	Priority  int             `cbor:"7,keyasint,omitempty"`
	// RoutePriority is nil in requests of builds that knew only one priority.
	RoutePriority *int            `cbor:"17,keyasint,omitempty"`
	Team          string          `cbor:"8,keyasint,omitempty"`
	Repeat        bool            `cbor:"9,keyasint,omitempty"`
	Unpaid        bool            `cbor:"16,keyasint,omitempty"`
	Ran           []string        `cbor:"10,keyasint,omitempty"`
	Method        string          `cbor:"11,keyasint"`
	URI           cbor.ByteString `cbor:"12,keyasint"`
	Host          cbor.ByteString `cbor:"13,keyasint"`
	Header        []wireField     `cbor:"14,keyasint,omitempty"`
	Body          []byte          `cbor:"15,keyasint,omitempty"`
}

type wireRoute struct {
	Name           string `cbor:"1,keyasint"`
	Kind           string `cbor:"2,keyasint"`
	Timeout        int64  `cbor:"3,keyasint,omitempty"` // nanoseconds
	TargetLatency  int64  `cbor:"4,keyasint,omitempty"` // nanoseconds
	TargetEventGap int64  `cbor:"5,keyasint,omitempty"` // nanoseconds
	MaxAttempts    int    `cbor:"6,keyasint,omitempty"`
	Resumable      bool   `cbor:"7,keyasint,omitempty"`
}

// wireField is a header field with its values in order.
type wireField struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Values []cbor.ByteString
}
