package backend

import (
	"errors"
	"io"
)

// maxHeadBytes bounds what is read of a connection before the header of the response is
// complete, informational responses included.
const maxHeadBytes = 64 << 10

var errHeadTooLarge = errors.New("response header is too large")

// headReader reads from a connection and fails after maxHeadBytes until the header is complete.
type headReader struct {
	source io.Reader
	read   int
	// complete is set once the header was read; the body has no bound here.
	complete bool
}

func (r *headReader) Read(p []byte) (int, error) {
	if r.complete {
		return r.source.Read(p)
	}
	if r.read >= maxHeadBytes {
		return 0, errHeadTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), maxHeadBytes-r.read)])
	r.read += n
	return n, err
}
