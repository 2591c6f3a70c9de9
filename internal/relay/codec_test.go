package relay

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/routing"
)

func sampleRequest() Request {
	return Request{
		From: "front-1", ID: "id-1", Remaining: 3 * time.Second, Version: 7, Service: "model",
		Route: Route{Name: "chat", Kind: deployment.Streaming, MaxAttempts: 2, Resumable: true, TargetLatency: time.Second},
		Rank:  routing.Rank{Priority: 3, Route: 1}, Team: "team-1", Repeat: true, Unpaid: true, Ran: []deployment.BackendID{"s-1", "s,2"},
		Method: http.MethodPost, URI: "/v1/a?b=c", Host: "example", Header: http.Header{"X-A": {"1", "\xff"}}, Body: []byte("body\x00"),
	}
}

// name draws a name that a request may carry.
func name(t *rapid.T, label string) string {
	return rapid.StringMatching(`[a-z0-9,é-]{1,40}`).Draw(t, label)
}

func duration(t *rapid.T, label string, least int64) time.Duration {
	return time.Duration(rapid.Int64Min(least).Draw(t, label))
}

func drawHeader(t *rapid.T) http.Header {
	header := http.Header{}
	for range rapid.IntRange(0, 4).Draw(t, "fields") {
		field := rapid.StringMatching(`[A-Z][a-z0-9-]{0,10}`).Draw(t, "field")
		header[field] = append(header[field], rapid.StringMatching(`[ -~]{0,20}`).Draw(t, "value")+rapid.SampledFrom([]string{"", "\xff", "\t"}).Draw(t, "end"))
	}
	return header
}

func drawRequest(t *rapid.T) Request {
	request := Request{
		From: deployment.InstanceID(name(t, "from")), ID: name(t, "id"), Remaining: duration(t, "remaining", 1),
		Version: deployment.Version(rapid.Int64().Draw(t, "version")), Service: deployment.ServiceName(name(t, "service")),
		Route: Route{
			Name:    deployment.RouteName(name(t, "route")),
			Kind:    rapid.SampledFrom([]deployment.RequestKind{deployment.Idempotent, deployment.NonIdempotent, deployment.Streaming}).Draw(t, "kind"),
			Timeout: duration(t, "timeout", 0), TargetLatency: duration(t, "latency", 0), TargetEventGap: duration(t, "gap", 0),
			MaxAttempts: rapid.IntRange(0, 9).Draw(t, "attempts"), Resumable: rapid.Bool().Draw(t, "resumable"),
		},
		Rank: routing.Rank{Priority: rapid.Int().Draw(t, "priority"), Route: rapid.Int().Draw(t, "route-priority")}, Team: deployment.Team(rapid.SampledFrom([]string{"", "team"}).Draw(t, "team")),
		Repeat: rapid.Bool().Draw(t, "repeat"), Unpaid: rapid.Bool().Draw(t, "unpaid"), Method: rapid.SampledFrom([]string{"GET", "POST", "HEAD", "PURGE"}).Draw(t, "method"),
		URI: "/" + rapid.StringMatching(`[!-~]{0,40}`).Draw(t, "uri"), Host: rapid.StringMatching(`[a-z.:0-9]{0,20}`).Draw(t, "host"),
		Header: drawHeader(t),
	}
	for range rapid.IntRange(0, 3).Draw(t, "ran") {
		request.Ran = append(request.Ran, deployment.BackendID(name(t, "server")))
	}
	if body := rapid.SliceOf(rapid.Byte()).Draw(t, "body"); len(body) > 0 {
		request.Body = body
	}
	return request
}

// TestRelayedRequestArrivesAltered guards against a field that the codec drops or changes.
func TestRelayedRequestArrivesAltered(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		request := drawRequest(t)
		data, err := Encode(request)
		assert.NilError(t, err)
		decoded, err := Decode(data, MaxBodyBytes)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, request)
		again, err := Encode(decoded)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(data, again))
	})
}

// TestRouteLosesFieldsOnTheWay guards against a route whose limits the peer does not apply.
func TestRouteLosesFieldsOnTheWay(t *testing.T) {
	route := deployment.Route{
		Name: "r", Kind: deployment.Streaming, Timeout: 1, TargetLatency: 2, TargetEventGap: 3, MaxAttempts: 4, Resumable: true,
	}
	assert.DeepEqual(t, *RouteOf(&route).Configured(), route)
}

// change is a change that makes a valid request invalid.
type change struct {
	field string
	apply func(request *Request)
}

// TestInvalidFieldIsRelayed guards against a faulty sender that makes this instance write a
// second request to a backend server, or keep a request for ever.
func TestInvalidFieldIsRelayed(t *testing.T) {
	for _, c := range []change{
		{"from", func(r *Request) { r.From = "" }},
		{"id", func(r *Request) { r.ID = "" }},
		{"id", func(r *Request) { r.ID = "a\r\nb" }},
		{"service", func(r *Request) { r.Service = "" }},
		{"duration", func(r *Request) { r.Remaining = 0 }},
		{"duration", func(r *Request) { r.Route.Timeout = -1 }},
		{"duration", func(r *Request) { r.Route.TargetLatency = -1 }},
		{"duration", func(r *Request) { r.Route.TargetEventGap = -1 }},
		{"max-attempts", func(r *Request) { r.Route.MaxAttempts = -1 }},
		{"ran", func(r *Request) { r.Ran = []deployment.BackendID{""} }},
		{"method", func(r *Request) { r.Method = "" }},
		{"method", func(r *Request) { r.Method = "GET /" }},
		{"uri", func(r *Request) { r.URI = "" }},
		{"uri", func(r *Request) { r.URI = "/ HTTP/1.1\r\n\r\nGET /" }},
		{"host", func(r *Request) { r.Host = "a\r\nb" }},
		{"header", func(r *Request) { r.Header = http.Header{"A\r\nB": {"c"}} }},
		{"header", func(r *Request) { r.Header = http.Header{"A": {"b\r\nc"}} }},
		{"header", func(r *Request) { r.Header = http.Header{"": {"b"}} }},
	} {
		request := sampleRequest()
		c.apply(&request)
		for _, err := range []error{encodeError(request), decodeError(t, request)} {
			var invalid *InvalidFieldError
			assert.Assert(t, errors.As(err, &invalid), "%s: %v", c.field, err)
			assert.Equal(t, invalid.Field, c.field)
		}
	}
}

// TestOversizedFieldIsRelayed guards against a sender that fills the memory of a peer.
func TestOversizedFieldIsRelayed(t *testing.T) {
	long := strings.Repeat("a", maxIDBytes+1)
	for _, c := range []change{
		{"from", func(r *Request) { r.From = deployment.InstanceID(long) }},
		{"id", func(r *Request) { r.ID = long }},
		{"service", func(r *Request) { r.Service = deployment.ServiceName(long) }},
		{"route", func(r *Request) { r.Route.Name = deployment.RouteName(long) }},
		{"team", func(r *Request) { r.Team = deployment.Team(long) }},
		{"method", func(r *Request) { r.Method = long }},
		{"ran", func(r *Request) { r.Ran = []deployment.BackendID{deployment.BackendID(long)} }},
		{"ran", func(r *Request) { r.Ran = make([]deployment.BackendID, maxRan+1) }},
		{"body", func(r *Request) { r.Body = make([]byte, MaxBodyBytes+1) }},
		{"metadata", func(r *Request) { r.URI = strings.Repeat("/", maxMetadataBytes) }},
		{"metadata", func(r *Request) { r.Header = http.Header{"A": {strings.Repeat("a", maxMetadataBytes)}} }},
	} {
		request := sampleRequest()
		c.apply(&request)
		for _, err := range []error{encodeError(request), decodeError(t, request)} {
			var tooLarge *TooLargeError
			assert.Assert(t, errors.As(err, &tooLarge), "%s: %v", c.field, err)
			assert.Equal(t, tooLarge.Field, c.field)
		}
	}
}

func encodeError(request Request) error {
	_, err := Encode(request)
	return err
}

// decodeError decodes what a sender without checks would send.
func decodeError(t *testing.T, request Request) error {
	data, err := cbor.Marshal(requestToWire(&request))
	assert.NilError(t, err)
	_, err = Decode(data, MaxBodyBytes)
	return err
}

// TestBodyAboveTheReceiversLimit guards against a peer that takes larger bodies than its
// own configuration allows.
func TestBodyAboveTheReceiversLimit(t *testing.T) {
	request := sampleRequest()
	data, err := Encode(request)
	assert.NilError(t, err)
	limit := int64(len(request.Body))
	_, err = Decode(data, limit)
	assert.NilError(t, err)
	_, err = Decode(data, limit-1)
	var tooLarge *TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge))
	assert.Equal(t, *tooLarge, TooLargeError{Field: "body", Size: limit, Limit: limit - 1})
}

// TestMalformedEncodingIsAccepted guards against data that decodes to part of a request.
func TestMalformedEncodingIsAccepted(t *testing.T) {
	valid, err := Encode(sampleRequest())
	assert.NilError(t, err)
	for name, data := range map[string][]byte{
		"empty": nil, "text": []byte("\x63abc"), "cut": valid[:len(valid)-1], "longer": append(bytes.Clone(valid), 0),
		"no fields": {0xa0}, "field twice": {0xa2, 0x04, 0x01, 0x04, 0x02}, "endless map": {0xbf, 0x04, 0x01, 0xff},
	} {
		_, err := Decode(data, MaxBodyBytes)
		assert.Assert(t, isDecodeError(err), "%s: %v", name, err)
	}
}

// TestUnknownKindIsRelayed guards against a request of a kind with unknown rules on retries.
func TestUnknownKindIsRelayed(t *testing.T) {
	request := sampleRequest()
	wire := requestToWire(&request)
	wire.Route.Kind = "other"
	data, err := cbor.Marshal(wire)
	assert.NilError(t, err)
	_, err = Decode(data, MaxBodyBytes)
	var invalid *InvalidFieldError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, invalid.Field, "route kind")
}

// isDecodeError reports whether an error is one that Decode documents.
func isDecodeError(err error) bool {
	var malformed *MalformedError
	var invalid *InvalidFieldError
	var tooLarge *TooLargeError
	return errors.As(err, &malformed) || errors.As(err, &invalid) || errors.As(err, &tooLarge)
}

// FuzzDecode passes arbitrary bytes to the decoder, as a faulty peer might send. What
// decodes must encode, and decode again to the same request.
func FuzzDecode(f *testing.F) {
	small := sampleRequest()
	small.Ran, small.Header, small.Body = nil, nil, nil
	for _, request := range []Request{sampleRequest(), small} {
		data, err := Encode(request)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		request, err := Decode(data, MaxBodyBytes)
		if err != nil {
			assert.Assert(t, isDecodeError(err), "%v", err)
			return
		}
		encoded, err := Encode(request)
		assert.NilError(t, err)
		again, err := Decode(encoded, MaxBodyBytes)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprintf("%q", again.Body), fmt.Sprintf("%q", request.Body))
		assert.DeepEqual(t, again.Header, request.Header)
	})
}

// TestRequestOfEarlierBuildKeepsItsPriority guards against a request that is taken for the most
// urgent of its team, because the peer's build does not tell the priority of the route.
func TestRequestOfEarlierBuildKeepsItsPriority(t *testing.T) {
	request := sampleRequest()
	wire := requestToWire(&request)
	wire.RoutePriority = nil
	data, err := cbor.Marshal(wire)
	assert.NilError(t, err)
	got, err := Decode(data, MaxBodyBytes)
	assert.NilError(t, err)
	assert.Equal(t, got.Rank, routing.Rank{Priority: 3, Route: 3})
}
