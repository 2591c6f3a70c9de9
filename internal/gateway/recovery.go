package gateway

import (
	"errors"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/platform"
)

// errPanic reports that a handler panicked.
var errPanic = errors.New("handler panicked")

// responseState is a ResponseWriter that knows whether a header was written.
type responseState struct {
	http.ResponseWriter
	headerWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (s *responseState) WriteHeader(status int) {
	s.headerWritten = s.headerWritten || status >= http.StatusOK
	s.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (s *responseState) Write(data []byte) (int, error) {
	s.headerWritten = true
	return s.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (s *responseState) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// recoverPanic ends a request whose handler has panicked. The request may have run, so that
// the client gets status 502, or, once the header was written, a response that is broken off.
// It is to be deferred.
func (g *Gateway) recoverPanic(w *responseState, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler) // breaks the response off on purpose
	}
	g.Metrics.countFailure("panic")
	g.Logger.Error("handler panicked", zap.String("request", r.Header.Get(platform.HeaderRequestID)), zap.String("path", r.URL.Path),
		zap.Bool("header-written", w.headerWritten), zap.Error(fmt.Errorf("%w: %v", errPanic, cause)), zap.Stack("stack"))
	if w.headerWritten {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "panic", http.StatusBadGateway)
}
