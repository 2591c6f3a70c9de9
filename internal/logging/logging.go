// Package logging writes structured lines to standard output without ever
// blocking who logs. What does not fit is dropped and counted.
//
// Usage: make a sink, a logger over it, and close the sink at the end:
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
	queueLines   = 4096
	writeBuffer  = 32 << 10 // bytes
	closeTimeout = 200 * time.Millisecond
)

// Sink is a bounded queue of lines before a writer.
type Sink struct {
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// NewSink starts writing to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Write queues a line. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (s *Sink) Sync() error { return nil }

// Dropped is the number of lines that did not fit.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what is queued, unless the reader takes too long. Lines that come
// later are queued and not written.
func (s *Sink) Close() {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	buffered := bufio.NewWriterSize(out, writeBuffer)
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

// write writes a line, and what is buffered where no other line waits.
func (s *Sink) write(buffered *bufio.Writer, out io.Writer, line []byte) {
	_, err := buffered.Write(line)
	if err == nil && len(s.lines) == 0 {
		err = buffered.Flush()
	}
	if err != nil {
		s.dropped.Add(1)
		buffered.Reset(out) // the writer keeps its first error otherwise
	}
}

// NewLogger returns a logger that writes one JSON object a line.
func NewLogger(sink *Sink, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, level))
}
