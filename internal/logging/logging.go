// Package logging writes structured log lines to a writer, such as standard output,
// without ever blocking the caller. Lines that don't fit into the queue are dropped and
// counted.
//
// Usage: create a sink and a logger that writes to it, and close the sink at the end:
//
//	sink := logging.NewSink(os.Stdout)
//	logger := logging.NewLogger(sink, zap.InfoLevel)
//	defer sink.Close()
package logging

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines   = 4096
	writeBufferBytes = 32 << 10
	closeTimeout     = 200 * time.Millisecond
)

// Sink is a bounded queue of lines in front of a writer. It implements
// zapcore.WriteSyncer.
type Sink struct {
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// NewSink returns a sink that writes to out from a goroutine of its own, until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Write queues a copy of a line, or drops the line if the queue is full. It never fails
// and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the sink flushes whenever its queue is empty.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped because the queue was full, plus the number
// of failed writes.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines, and gives up after 200 ms if the reader is too slow.
// Lines that are logged after it was called may not be written.
func (s *Sink) Close() {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	buffered := bufio.NewWriterSize(out, writeBufferBytes)
	for {
		select {
		case line := <-s.lines:
			s.write(buffered, out, line)
		case <-s.closing:
			for len(s.lines) > 0 {
				s.write(buffered, out, <-s.lines)
			}
			return
		}
	}
}

// write writes a line to the buffer and flushes the buffer if no other line is queued.
func (s *Sink) write(buffered *bufio.Writer, out io.Writer, line []byte) {
	_, err := buffered.Write(line)
	if err == nil && len(s.lines) == 0 {
		err = buffered.Flush()
	}
	if err != nil {
		s.dropped.Add(1)
		buffered.Reset(out) // otherwise bufio.Writer returns its first error forever
	}
}

// NewLogger returns a logger that writes one JSON object per line. Times and durations
// are in milliseconds.
func NewLogger(sink *Sink, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, level))
}
