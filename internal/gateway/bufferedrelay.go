package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

func newBufferedRequest(g *Gateway, c *call) *bufferedRequest {
	b := &bufferedRequest{gateway: g, call: c, tried: map[deployment.BackendID]bool{}}
	if c.relayed == nil {
		return b
	}
	b.servers = append(b.servers, c.relayed.ran...)
	b.ran = len(b.servers)
	for _, id := range b.servers {
		b.tried[id] = true
	}
	return b
}

// recordServer records a backend server that has got the request, and may have run it.
func (b *bufferedRequest) recordServer(id deployment.BackendID, result outcome) {
	rejected, notRan := result.(notRun)
	b.arrived = b.arrived || !notRan || errors.Is(rejected.cause, errNotExecuted)
	if !notRan {
		b.servers = append(b.servers, id)
	}
}

// peerMayServe reports whether an attempt is to be left since only a peer can serve the request.
func (b *bufferedRequest) peerMayServe(now time.Time) bool {
	return b.gateway.mustRelay(now, b.call) && b.gateway.peerUsable(now, b.call.service.Name)
}

// awaitVerdict waits, where no server is left to be tried, until it is known whether this
// instance reaches them at all. It reports whether a peer must serve the request.
func (b *bufferedRequest) awaitVerdict(ctx context.Context) bool {
	links := b.gateway.Links
	if links == nil || b.call.relayed != nil {
		return false
	}
	for started := time.Now(); links.Doubtful(b.call.service.Name) && time.Since(started) < linkCheckTimeout; {
		if !sleep(ctx, linkCheckInterval) {
			return false
		}
		links.Step(time.Now())
	}
	return b.gateway.mustRelay(time.Now(), b.call)
}

// relay lets a peer serve the request, since this instance does not reach the servers. It
// reports whether the request may be sent once more.
func (b *bufferedRequest) relay(ctx context.Context) bool {
	if err := b.gateway.ends.admit(time.Now(), b.call); err != nil {
		b.record(notRun{cause: err})
		return false
	}
	b.call.attempts++
	answer, err := b.gateway.offer(ctx, &relayOffer{call: b.call, repeat: b.arrived, ran: b.servers})
	result := b.relayOutcome(ctx, answer, err)
	b.record(result)
	if _, refused := result.(notRun); refused {
		return !b.gateway.mustRelay(time.Now(), b.call) // the servers are within reach again
	}
	b.arrived = true
	return b.shouldRetry(result)
}

// relayOutcome returns the outcome of a relayed request, after its whole response.
func (b *bufferedRequest) relayOutcome(ctx context.Context, answer *relayedAnswer, err error) outcome {
	var unknownOutcome *relayUnknownError
	switch {
	case errors.As(err, &unknownOutcome):
		b.recordRelayed(unknownOutcome.ran)
		return unknown{cause: err}
	case err != nil:
		return notRun{cause: err}
	}
	defer answer.close()
	b.recordRelayed(answer.Ran)
	b.gateway.recordRelayedStatement(time.Now(), b.call, answer)
	body, err := b.call.readResponse(ctx, answer.Response.Body, lengthOf(answer.Response.Header))
	if err == nil {
		err = validateResponse(&http.Response{StatusCode: answer.Response.Status, Header: answer.Response.Header}, len(body))
	}
	if err != nil {
		return unknown{cause: err}
	}
	return responded{server: answer.By, status: answer.Response.Status, header: answer.Response.Header, body: body}
}

// lengthOf returns the length of a response's body by its header, -1 if that is unknown.
func lengthOf(header http.Header) int64 {
	length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return -1
	}
	return length
}

// recordRelayed records the servers that may have run the request at a peer, the last of which
// is counted with the outcome.
func (b *bufferedRequest) recordRelayed(ran []deployment.BackendID) {
	known := len(b.servers)
	for _, id := range ran {
		b.tried[id] = true // perhaps it was before, without a connection
		if !slices.Contains(b.servers, id) {
			b.servers = append(b.servers, id)
		}
	}
	b.ran += max(0, len(b.servers)-known-1)
}
