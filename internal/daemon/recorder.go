package daemon

import (
	"bytes"
	"net/http"
)

// recorder is the http.ResponseWriter of a forwarded call. It buffers the response
// to return it to the forwarding instance.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder {
	return &recorder{header: http.Header{}, status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(data []byte) (int, error) { return r.body.Write(data) }
