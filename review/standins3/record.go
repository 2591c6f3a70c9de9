package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(directory string) (*record, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

// note writes a line with the seconds since the begin.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line) // a record that can't be written shows in the file
	fmt.Print(line)
}

func (r *record) close() { _ = r.file.Close() }
