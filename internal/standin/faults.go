// Package standin holds the small stand-ins for the systems that mulberryhead
// meets: the platform, a model engine and a plain service. Each serves its
// published protocol on loopback and has fault switches over HTTP.
//
// Usage: create one with NewPlatform, NewEngine or NewService and serve its
// Handler. Faults are set with POST /faults and a JSON object; each switch that
// the object leaves out keeps its state.
package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

const maxFaultBody = 1 << 16

// decodeFaults overlays the request's JSON on target.
func decodeFaults(w http.ResponseWriter, r *http.Request, target any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxFaultBody))
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

// dropConnection closes the caller's connection without an answer.
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
