package relay

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Headers between instances. They share a prefix by which they are removed from a response
// before it goes to the client. The key of the peer and the number of hops, this one
// included, are in requests.
const (
	headerPrefix     = "mulberryhead-relay-"
	headerKey        = headerPrefix + "key"
	headerHops       = headerPrefix + "hops"
	headerOutcome    = headerPrefix + "outcome"
	headerReason     = headerPrefix + "reason"
	headerRetryAfter = headerPrefix + "retry-after-ms"
	headerRan        = headerPrefix + "ran"         // one for each first stage, escaped
	headerAnsweredBy = headerPrefix + "answered-by" // escaped, "@" and when it started in Unix milliseconds
)

// firstHop is the only number of hops that a Handler accepts.
const firstHop = "1"

// Values of headerOutcome.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// maxReasonBytes bounds a reason that a peer names.
const maxReasonBytes = 64

// maxRetryAfter bounds the time that a peer names.
const maxRetryAfter = time.Minute

var errNoOutcome = errors.New("response of the peer names no valid outcome")

// removeRelayHeaders removes all headers of this protocol.
func removeRelayHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(strings.ToLower(name), headerPrefix) {
			delete(header, name)
		}
	}
}

// SetAnswered marks a response as that of a backend server. It is called after header has
// got the backend server's fields, and before it is written. ran are the first stages that
// may have run the request. After that, a Server must not begin at other ones: it breaks
// off, and the sender, who knows ran, resumes.
func SetAnswered(header http.Header, ran []deployment.BackendID) {
	setOutcome(header, outcomeAnswered, ran)
}

// SetAnsweredBy names the backend server, of a model service the first stage, whose response it is. It
// is called after SetAnswered.
func SetAnsweredBy(header http.Header, server deployment.Incarnation) {
	header.Set(headerAnsweredBy, url.QueryEscape(string(server.Server))+"@"+strconv.FormatInt(server.StartedAt, 10))
}

// parseAnsweredBy returns the zero Incarnation if the peer, perhaps of an earlier build, names no valid
// one.
func parseAnsweredBy(header http.Header) deployment.Incarnation {
	escaped, started, _ := strings.Cut(header.Get(headerAnsweredBy), "@")
	id, err := url.QueryUnescape(escaped)
	millis, errStarted := strconv.ParseInt(started, 10, 64)
	if err != nil || errStarted != nil {
		return deployment.Incarnation{}
	}
	return deployment.Incarnation{Server: deployment.BackendID(id), StartedAt: millis}
}

// WriteNotRun responds that no backend server has run the request and none will. retryAfter
// is when this instance may accept it, 0 for no time.
func WriteNotRun(w http.ResponseWriter, reason Reason, retryAfter time.Duration) {
	header := w.Header()
	setOutcome(header, outcomeNotRun, nil)
	header.Set(headerReason, string(reason))
	if retryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// WriteUnknown responds that a backend server may have run the request. ran are the first
// stages that may have.
func WriteUnknown(w http.ResponseWriter, ran []deployment.BackendID) {
	setOutcome(w.Header(), outcomeUnknown, ran)
	w.WriteHeader(http.StatusBadGateway)
}

func setOutcome(header http.Header, outcome string, ran []deployment.BackendID) {
	removeRelayHeaders(header)
	header.Set(headerOutcome, outcome)
	for _, id := range ran {
		header.Add(headerRan, url.QueryEscape(string(id)))
	}
}

// parseOutcome returns the outcome that a peer's response names, without the response. A
// response that names none is Unknown.
func parseOutcome(header http.Header) Outcome {
	ran, err := parseRan(header)
	if err != nil {
		return Unknown{Cause: err}
	}
	outcomes := header.Values(headerOutcome)
	if len(outcomes) != 1 {
		return Unknown{Ran: ran, Cause: errNoOutcome}
	}
	switch outcomes[0] {
	case outcomeAnswered:
		return Answered{Ran: ran, By: parseAnsweredBy(header)}
	case outcomeNotRun:
		return parseNotRun(header)
	case outcomeUnknown:
		return Unknown{Ran: ran, Cause: errPeerUnknown}
	}
	return Unknown{Ran: ran, Cause: errNoOutcome}
}

var errPeerUnknown = errors.New("the peer does not know whether the request has run")

func parseNotRun(header http.Header) Outcome {
	reason := header.Get(headerReason)
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	millis, err := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64)
	if err != nil || millis < 0 {
		millis = 0
	}
	retryAfter := time.Duration(min(millis, maxRetryAfter.Milliseconds())) * time.Millisecond
	return NotRun{Reason: Reason(reason), RetryAfter: retryAfter}
}

func parseRan(header http.Header) ([]deployment.BackendID, error) {
	values := header.Values(headerRan)
	if len(values) > maxRan {
		return nil, &TooLargeError{Field: "ran", Size: int64(len(values)), Limit: maxRan}
	}
	var ran []deployment.BackendID
	for _, value := range values {
		id, err := url.QueryUnescape(value)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNoOutcome, err)
		}
		ran = append(ran, deployment.BackendID(id))
	}
	return ran, nil
}
