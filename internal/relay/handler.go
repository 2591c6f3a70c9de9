package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// maxRelayedRequests and maxRelayedBytes bound the relayed requests in flight and the
	// sum of their encodings.
	maxRelayedRequests = 512
	maxRelayedBytes    = 64 << 20
	// readTimeout is how long a peer may take to send a request after its header.
	readTimeout = 2 * time.Second
	// discardTimeout is how long the rest of a refused request may take to arrive. If it
	// were not read, the refusal could be lost.
	discardTimeout = 300 * time.Millisecond
	// writeMargin is how long after a request's deadline its response may still be written.
	writeMargin = time.Second
	// idleCheckInterval is the interval at which WaitUntilIdle checks.
	idleCheckInterval = 10 * time.Millisecond
	// busyRetryAfter is the time to come back after too many requests.
	busyRetryAfter = 200 * time.Millisecond
)

// Server serves relayed requests. ServeRelayed chooses the backend servers and must not
// relay the request again. The context of r ends at the deadline of the request, and when
// the sender closes the connection. To break a response off, ServeRelayed panics with
// http.ErrAbortHandler.
type Server interface {
	ServeRelayed(w http.ResponseWriter, r *http.Request, request *Request)
}

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Self deployment.InstanceID
	Key  Key // of this process
	// BodyLimit returns the limit on a client's body in bytes, 0 for none. MaxBodyBytes
	// applies in any case.
	BodyLimit func() int64
	// Hold holds memory for a number of bytes, and returns what gives it back, or false if there is none.
	// It may be nil, which is without a bound but that of the Handler's own.
	Hold   func(size int64) (release func(), ok bool)
	Server Server
	Logger *zap.Logger
}

// Handler accepts requests from peers. What it refuses has not run.
type Handler struct {
	config HandlerConfig

	mu       sync.Mutex
	requests int
	bytes    int64
}

// NewHandler returns a Handler.
func NewHandler(config HandlerConfig) *Handler { return &Handler{config: config} }

// refusal is why a Handler does not pass a request to its Server.
type refusal struct {
	reason     Reason
	retryAfter time.Duration
	cause      error
	// discardUntil is the time until which the rest of the request is read and dropped. If
	// it is zero, nothing more is read.
	discardUntil time.Time
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if !h.config.Key.matches(r.Header.Get(headerKey)) {
		h.refuse(w, r, refusal{reason: ReasonNotAllowed})
		return
	}
	r.Header.Del(headerKey)
	limit := h.bodyLimit()
	if refused := checkHop(r, limit); refused != nil {
		refused.discardUntil = now.Add(discardTimeout)
		h.refuse(w, r, *refused)
		return
	}
	if !h.reserve(r.ContentLength) {
		h.refuse(w, r, refusal{reason: ReasonBusy, retryAfter: busyRetryAfter, discardUntil: now.Add(discardTimeout)})
		return
	}
	defer h.release(r.ContentLength)
	release, ok := h.hold(copiesOfBody * r.ContentLength)
	if !ok {
		h.refuse(w, r, refusal{reason: ReasonBusy, retryAfter: busyRetryAfter, discardUntil: now.Add(discardTimeout)})
		return
	}
	defer release()
	request, refused := h.read(w, r, now, limit)
	if refused != nil {
		refused.discardUntil = now.Add(readTimeout)
		h.refuse(w, r, *refused)
		return
	}
	h.serve(w, r, request)
}

// copiesOfBody is how often a relayed body is in memory: as it was received and decoded.
const copiesOfBody = 2

func (h *Handler) hold(size int64) (release func(), ok bool) {
	if h.config.Hold == nil {
		return func() {}, true
	}
	return h.config.Hold(size)
}

// bodyLimit returns the limit on the body of a relayed request.
func (h *Handler) bodyLimit() int64 {
	if limit := h.config.BodyLimit(); limit > 0 {
		return min(limit, MaxBodyBytes)
	}
	return MaxBodyBytes
}

// checkHop checks a request of an allowed caller before its body is read.
func checkHop(r *http.Request, limit int64) *refusal {
	switch {
	case r.Header.Get(headerHops) != firstHop:
		return &refusal{reason: ReasonNotAllowed}
	case r.Method != http.MethodPost && r.Method != http.MethodHead, r.ContentLength <= 0:
		return &refusal{reason: ReasonInvalid}
	case r.ContentLength > maxMetadataBytes+limit:
		return &refusal{reason: ReasonTooLarge}
	}
	return nil
}

// reserve reports whether a request of some bytes is within the bounds, and counts it.
func (h *Handler) reserve(size int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests >= maxRelayedRequests || h.bytes+size > maxRelayedBytes {
		return false
	}
	h.requests++
	h.bytes += size
	return true
}

func (h *Handler) release(size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests--
	h.bytes -= size
}

// InFlight returns how many relayed requests are served now.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requests
}

// WaitUntilIdle waits until no relayed request is served, at most until ctx ends.
func (h *Handler) WaitUntilIdle(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for h.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// read reads and decodes a request.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, now time.Time, limit int64) (*Request, *refusal) {
	data, err := readBody(w, r, now.Add(readTimeout))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &refusal{reason: ReasonTooSlow, cause: err}
	}
	if err != nil {
		return nil, &refusal{reason: ReasonInvalid, cause: err}
	}
	request, err := Decode(data, limit)
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &refusal{reason: ReasonTooLarge, cause: err}
	case err != nil:
		return nil, &refusal{reason: ReasonInvalid, cause: err}
	case hopMethod(&request) != r.Method:
		return nil, &refusal{reason: ReasonInvalid}
	case request.From == h.config.Self:
		return nil, &refusal{reason: ReasonNotAllowed}
	}
	return &request, nil
}

// readBody reads a complete body until a deadline. Then it clears the connection's read
// deadline, since net/http keeps reading to detect that the sender closes the connection.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return nil, err
	}
	return data, controller.SetReadDeadline(time.Time{})
}

// refuse responds that the request was not run.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, refused refusal) {
	h.config.Logger.Info("relayed request refused", zap.String("reason", string(refused.reason)),
		zap.String("caller", r.RemoteAddr), zap.NamedError("cause", refused.cause))
	discard(w, r, refused.discardUntil)
	WriteNotRun(w, refused.reason, refused.retryAfter)
}

// discard drops the rest of a request until a deadline. The deadline stays, so that net/http
// does not wait for the rest either. Errors mean that the rest is late or the connection has
// ended.
func discard(w http.ResponseWriter, r *http.Request, until time.Time) {
	controller := http.NewResponseController(w)
	if until.IsZero() {
		_ = controller.SetReadDeadline(time.Now())
		return
	}
	_ = controller.SetReadDeadline(until)
	_, _ = io.Copy(io.Discard, r.Body)
}

// serve passes a request to the Server.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, request *Request) {
	ctx, cancel := context.WithTimeout(markRelayed(r.Context()), request.Remaining)
	defer cancel()
	// If the deadline can't be set, the connection has ended and ctx with it.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(request.Remaining + writeMargin))
	h.config.Server.ServeRelayed(w, r.WithContext(ctx), request)
}

// relayedKey is the context key of requests that came from a peer.
type relayedKey struct{}

func markRelayed(ctx context.Context) context.Context {
	return context.WithValue(ctx, relayedKey{}, true)
}

func wasRelayed(ctx context.Context) bool { return ctx.Value(relayedKey{}) != nil }
