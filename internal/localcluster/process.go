// Package localcluster starts a whole small deployment as separate processes
// on loopback: the stand-ins, backend servers and entry instances. The demo
// and the process tests use it; the product does not.
//
// Usage:
//
//	cluster, err := localcluster.Start(ctx, localcluster.Config{Binaries: dir, ...})
//	defer cluster.Stop()
package localcluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 15 * time.Second
	stopTimeout  = 45 * time.Second
)

// ProcessError says that a process did not start, or did not end as it should.
type ProcessError struct {
	Name  string
	Cause error
	// Output is the end of what it wrote to standard error.
	Output string
}

func (e *ProcessError) Error() string {
	return fmt.Sprintf("process %s: %v\n%s", e.Name, e.Cause, e.Output)
}

func (e *ProcessError) Unwrap() error { return e.Cause }

// Process is one process that this package started.
type Process struct {
	Name string

	command *exec.Cmd
	exited  chan struct{}
	err     error

	mu        sync.Mutex
	addresses map[string]string
	changed   chan struct{}
	output    tailBuffer
}

// start starts a program. Lines of its standard output that name a listening
// address are remembered by role.
func start(name, program string, arguments ...string) (*Process, error) {
	p := &Process{
		Name: name, exited: make(chan struct{}),
		addresses: map[string]string{}, changed: make(chan struct{}, 1),
	}
	p.command = exec.Command(program, arguments...)
	p.command.Stderr = &p.output
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, &ProcessError{Name: name, Cause: err}
	}
	if err := p.command.Start(); err != nil {
		return nil, &ProcessError{Name: name, Cause: err}
	}
	go p.watch(stdout)
	return p, nil
}

func (p *Process) watch(stdout io.Reader) {
	scanner := bufio.NewScanner(stdout)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) != 3 || fields[0] != "listening" {
			continue
		}
		p.mu.Lock()
		p.addresses[fields[1]] = fields[2]
		p.mu.Unlock()
		select {
		case p.changed <- struct{}{}:
		default:
		}
	}
	p.err = p.command.Wait()
	close(p.exited)
}

// Address returns where the process listens for a role, waiting for it.
func (p *Process) Address(ctx context.Context, role string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		address, ok := p.addresses[role]
		p.mu.Unlock()
		if ok {
			return address, nil
		}
		select {
		case <-p.changed:
		case <-p.exited:
			return "", &ProcessError{Name: p.Name, Cause: errors.New("ended at its start"), Output: p.output.String()}
		case <-ctx.Done():
			return "", &ProcessError{Name: p.Name, Cause: ctx.Err(), Output: p.output.String()}
		}
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error {
	return p.command.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Stop asks the process to end and waits for it. The error says that it did
// not end with exit code 0 in time.
func (p *Process) Stop() error {
	if !p.Running() {
		return nil
	}
	// A stopped process must go on to see the request to end.
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.Kill()
		return &ProcessError{Name: p.Name, Cause: errors.New("did not end in time"), Output: p.output.String()}
	}
	if p.err != nil {
		return &ProcessError{Name: p.Name, Cause: p.err, Output: p.output.String()}
	}
	return nil
}

// Output returns the end of what the process wrote to standard error.
func (p *Process) Output() string {
	return p.output.String()
}

// tailBuffer keeps the end of what is written to it.
type tailBuffer struct {
	mu   sync.Mutex
	data []byte
}

const tailBytes = 16 << 10

func (b *tailBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, data...)
	if len(b.data) > tailBytes {
		b.data = append([]byte(nil), b.data[len(b.data)-tailBytes:]...)
	}
	return len(data), nil
}

func (b *tailBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.data)
}

// ProcessorTime returns the processor time that the process has used so far.
func (p *Process) ProcessorTime() (time.Duration, error) {
	// The fields of proc(5) after the name in brackets; times count in ticks
	// of a hundredth of a second on every Linux.
	const userField, systemField, tick = 11, 12, 10 * time.Millisecond
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, fmt.Errorf("read processor time: %d fields", len(fields))
	}
	var user, system int64
	if _, err := fmt.Sscan(fields[userField], &user); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	if _, err := fmt.Sscan(fields[systemField], &system); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(user+system) * tick, nil
}

// ResidentBytes returns the memory that the process holds.
func (p *Process) ResidentBytes() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	return resident * int64(os.Getpagesize()), nil
}
