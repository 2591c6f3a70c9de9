package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text file in which a case tells what happened. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// add adds a line with the time in seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...)) // close returns the error
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.writer.Flush(), r.file.Close())
}
