package logging

import (
	"bytes"
	"io"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestSinkWritesAllBeforeClose(t *testing.T) {
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

// TestLogAfterClose failed before: a line that came while the process ended made
// it end with a panic.
func TestLogAfterClose(t *testing.T) {
	sink := NewSink(io.Discard)
	sink.Close()
	NewLogger(sink, zap.InfoLevel).Info("late")
}

// TestReaderThatStopped checks that nobody who logs waits for the reader.
func TestReaderThatStopped(t *testing.T) {
	reader, writer := io.Pipe() // nobody reads
	defer func() { assert.NilError(t, reader.Close()) }()
	sink := NewSink(writer)
	logger := NewLogger(sink, zap.InfoLevel)
	for range 3 * queueLines {
		logger.Info("line")
	}
	assert.Assert(t, sink.Dropped() > 0)
}
