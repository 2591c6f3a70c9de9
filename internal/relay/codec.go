package relay

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// Bounds on the fields of a request.
const (
	maxNameBytes    = 256 // of an instance, a service, a route, a team, a backend server or a method
	maxIDBytes      = 4 << 10
	maxRan          = 64
	maxHeaderFields = 16 << 10 // and values of one field
	// maxMetadataBytes bounds the encoding of a request without its body. It is above the
	// largest header that an instance accepts from a client.
	maxMetadataBytes = 2 << 20
	// MaxBodyBytes bounds the body of a relayed request, whatever the configuration allows.
	MaxBodyBytes = 16 << 20
)

// MalformedError reports data that is not the encoding of a request.
type MalformedError struct{ Cause error }

func (e *MalformedError) Error() string { return fmt.Sprintf("relayed request malformed: %v", e.Cause) }

func (e *MalformedError) Unwrap() error { return e.Cause }

// InvalidFieldError reports a field of a request with a value that is not allowed.
type InvalidFieldError struct{ Field string }

func (e *InvalidFieldError) Error() string {
	return fmt.Sprintf("relayed request: %s is invalid", e.Field)
}

// TooLargeError reports a field of a request, or its metadata as a whole, that exceeds its
// bound.
type TooLargeError struct {
	Field string
	Size  int64 // bytes, or elements of a list
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("relayed request: %s has size %d, limit %d", e.Field, e.Size, e.Limit)
}

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: maxHeaderFields, MaxMapPairs: 64, MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the encoding of a request. The error is an *InvalidFieldError or a
// *TooLargeError if Decode would return one.
func Encode(request Request) ([]byte, error) {
	if err := validate(&request, MaxBodyBytes); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(requestToWire(&request))
	if err != nil {
		return nil, &MalformedError{Cause: err}
	}
	return data, checkMetadataSize(data, &request)
}

// Decode decodes a request whose body has at most bodyLimit bytes. Errors are a
// *MalformedError, an *InvalidFieldError or a *TooLargeError.
func Decode(data []byte, bodyLimit int64) (Request, error) {
	var wire wireRequest
	if err := decoding.Unmarshal(data, &wire); err != nil {
		return Request{}, &MalformedError{Cause: err}
	}
	request, err := requestFromWire(&wire)
	if err != nil {
		return Request{}, err
	}
	if err := validate(&request, bodyLimit); err != nil {
		return Request{}, err
	}
	return request, checkMetadataSize(data, &request)
}

func checkMetadataSize(data []byte, request *Request) error {
	return checkSize("metadata", len(data)-len(request.Body), maxMetadataBytes)
}

func requestToWire(request *Request) *wireRequest {
	wire := &wireRequest{
		From: string(request.From), ID: cbor.ByteString(request.ID), Remaining: int64(request.Remaining),
		Version: int64(request.Version), Service: string(request.Service), Route: routeToWire(request.Route),
		Priority: request.Rank.Priority, RoutePriority: &request.Rank.Route, Team: string(request.Team), Repeat: request.Repeat, Unpaid: request.Unpaid, Method: request.Method,
		URI: cbor.ByteString(request.URI), Host: cbor.ByteString(request.Host),
		Header: headerToWire(request.Header), Body: request.Body,
	}
	for _, id := range request.Ran {
		wire.Ran = append(wire.Ran, string(id))
	}
	return wire
}

func requestFromWire(wire *wireRequest) (Request, error) {
	route, err := routeFromWire(wire.Route)
	if err != nil {
		return Request{}, err
	}
	header, err := headerFromWire(wire.Header)
	if err != nil {
		return Request{}, err
	}
	request := Request{
		From: deployment.InstanceID(wire.From), ID: string(wire.ID), Remaining: time.Duration(wire.Remaining),
		Version: deployment.Version(wire.Version), Service: deployment.ServiceName(wire.Service), Route: route,
		Rank: rankFromWire(wire), Team: deployment.Team(wire.Team), Repeat: wire.Repeat, Unpaid: wire.Unpaid, Method: wire.Method,
		URI: string(wire.URI), Host: string(wire.Host), Header: header, Body: wire.Body,
	}
	for _, id := range wire.Ran {
		request.Ran = append(request.Ran, deployment.BackendID(id))
	}
	return request, nil
}

// rankFromWire takes the priority of the route for that of the request where the sender has told
// only one.
func rankFromWire(wire *wireRequest) routing.Rank {
	if wire.RoutePriority == nil {
		return routing.Rank{Priority: wire.Priority, Route: wire.Priority}
	}
	return routing.Rank{Priority: wire.Priority, Route: *wire.RoutePriority}
}

func routeToWire(route Route) wireRoute {
	return wireRoute{
		Name: string(route.Name), Kind: route.Kind.String(), Timeout: int64(route.Timeout),
		TargetLatency: int64(route.TargetLatency), TargetEventGap: int64(route.TargetEventGap),
		MaxAttempts: route.MaxAttempts, Resumable: route.Resumable,
	}
}

func routeFromWire(wire wireRoute) (Route, error) {
	kind, err := kindFromWire(wire.Kind)
	return Route{
		Name: deployment.RouteName(wire.Name), Kind: kind, Timeout: time.Duration(wire.Timeout),
		TargetLatency: time.Duration(wire.TargetLatency), TargetEventGap: time.Duration(wire.TargetEventGap),
		MaxAttempts: wire.MaxAttempts, Resumable: wire.Resumable,
	}, err
}

func kindFromWire(name string) (deployment.RequestKind, error) {
	for _, kind := range []deployment.RequestKind{deployment.Idempotent, deployment.NonIdempotent, deployment.Streaming} {
		if kind.String() == name {
			return kind, nil
		}
	}
	return 0, &InvalidFieldError{Field: "route kind"}
}

// headerToWire returns the fields of a header, sorted by name.
func headerToWire(header http.Header) []wireField {
	fields := make([]wireField, 0, len(header))
	for name, values := range header {
		field := wireField{Name: name}
		for _, value := range values {
			field.Values = append(field.Values, cbor.ByteString(value))
		}
		fields = append(fields, field)
	}
	slices.SortFunc(fields, func(a, b wireField) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return fields
}

func headerFromWire(fields []wireField) (http.Header, error) {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		if _, twice := header[field.Name]; twice {
			return nil, &InvalidFieldError{Field: "header"}
		}
		values := make([]string, 0, len(field.Values))
		for _, value := range field.Values {
			values = append(values, string(value))
		}
		header[field.Name] = values
	}
	return header, nil
}
