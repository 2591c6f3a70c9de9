package logging

import (
	"bytes"
	"io"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out)
	logger := NewLogger(sink, zap.InfoLevel)
	for range 100 {
		logger.Info("line")
	}
	sink.Close()
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("\n")), 100)
	assert.Equal(t, sink.Dropped(), uint64(0))
}

// TestLogAfterClose guards against a panic when a line is logged while the process ends,
// after the sink has been closed.
func TestLogAfterClose(t *testing.T) {
	sink := NewSink(io.Discard)
	sink.Close()
	NewLogger(sink, zap.InfoLevel).Info("late")
}

// TestLogWithBlockedReader checks that logging does not block when the reader of the
// output has stopped.
func TestLogWithBlockedReader(t *testing.T) {
	reader, writer := io.Pipe() // never read from
	defer func() { assert.NilError(t, reader.Close()) }()
	sink := NewSink(writer)
	logger := NewLogger(sink, zap.InfoLevel)
	for range 3 * maxQueuedLines {
		logger.Info("line")
	}
	assert.Assert(t, sink.Dropped() > 0)
}
