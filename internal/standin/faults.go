// Package standin implements small fakes of the external systems that
// mulberryhead talks to: the platform (log service, instance list and weight
// store), a model engine and a plain service. Each implements the protocol of
// the real system as an http.Handler and can inject faults, which are configured
// over HTTP.
//
// Usage: create a fake with NewPlatform, NewEngine or NewService and serve its
// Handler. POST /faults with a JSON object sets fault switches; switches that
// the object omits keep their value:
//
//	platform := standin.NewPlatform(standin.PlatformConfig{})
//	err := http.Serve(listener, platform.Handler())
package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

const maxJSONBodyBytes = 1 << 16

// decodeJSON decodes the request body into target. Fields that the body omits
// keep their value. On failure it responds with 400 and returns false.
func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxJSONBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, target)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// dropConnection resets the caller's connection without sending a response.
func dropConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
