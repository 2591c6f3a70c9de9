// Package localcluster starts a small deployment as separate processes on
// loopback: the fakes of the platform, of engines and of plain services, and the
// entry instances. Only the demo and the process tests use it.
//
// Usage: start a deployment, for example the one that TwoZones describes, publish
// and promote a document, and send requests to the addresses in cluster.Entries:
//
//	cluster, err := localcluster.Start(ctx, localcluster.TwoZones(binaries, scratch))
//	defer cluster.Stop()
//	admin := cluster.Entries[0].Admin()
//
// SetFaults, Register and Deregister change the deployment while it runs; Wait polls
// for an effect.
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

// ProcessError is returned when a process fails to start, to report its address,
// or to exit with code 0 in time.
type ProcessError struct {
	Name  string
	Cause error
	// Output is the last 16 KiB of the standard error of the process.
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
	exitErr error

	mu           sync.Mutex
	addresses    map[string]string
	addressAdded chan struct{}
	output       tailBuffer
}

// startCommand starts a program. Lines "listening ROLE ADDRESS" of its standard
// output are recorded as the address of that role.
func startCommand(name, program string, arguments ...string) (*Process, error) {
	p := &Process{
		Name: name, exited: make(chan struct{}),
		addresses: map[string]string{}, addressAdded: make(chan struct{}, 1),
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
	go p.readStdout(stdout)
	return p, nil
}

// readStdout records listen addresses until standard output ends, then waits for
// the process to exit.
func (p *Process) readStdout(stdout io.Reader) {
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
		case p.addressAdded <- struct{}{}:
		default:
		}
	}
	p.exitErr = p.command.Wait()
	close(p.exited)
}

// Address returns the listen address of a role. It waits until the process has
// printed the address, at most startTimeout.
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
		case <-p.addressAdded:
		case <-p.exited:
			return "", &ProcessError{Name: p.Name, Cause: errors.New("process exited before it printed its listen address"), Output: p.output.String()}
		case <-ctx.Done():
			return "", &ProcessError{Name: p.Name, Cause: ctx.Err(), Output: p.output.String()}
		}
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error {
	return p.command.Process.Signal(signal)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM and waits until the process has exited. It returns an error
// if the exit code is not 0. After stopTimeout it kills the process and returns
// an error. It does nothing if the process has already exited.
func (p *Process) Stop() error {
	if !p.Running() {
		return nil
	}
	// A process suspended by SIGSTOP must be resumed to handle SIGTERM.
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.Kill()
		return &ProcessError{Name: p.Name, Cause: errors.New("process did not exit after SIGTERM within the stop timeout"), Output: p.output.String()}
	}
	if p.exitErr != nil {
		return &ProcessError{Name: p.Name, Cause: p.exitErr, Output: p.output.String()}
	}
	return nil
}

// Output returns the last 16 KiB of the standard error of the process.
func (p *Process) Output() string {
	return p.output.String()
}

// tailBuffer keeps the last maxTailBytes that are written to it.
type tailBuffer struct {
	mu   sync.Mutex
	data []byte
}

const maxTailBytes = 16 << 10

func (b *tailBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, data...)
	if len(b.data) > maxTailBytes {
		b.data = append([]byte(nil), b.data[len(b.data)-maxTailBytes:]...)
	}
	return len(data), nil
}

func (b *tailBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.data)
}

// CPUTime returns the user and system CPU time of the process so far.
func (p *Process) CPUTime() (time.Duration, error) {
	// Indexes of utime and stime, see proc(5), counted after the command name in
	// parentheses. Times are in clock ticks of 1/100 s on every Linux.
	const userField, systemField, tick = 11, 12, 10 * time.Millisecond
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, fmt.Errorf("read CPU time: %d fields", len(fields))
	}
	var user, system int64
	if _, err := fmt.Sscan(fields[userField], &user); err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	if _, err := fmt.Sscan(fields[systemField], &system); err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	return time.Duration(user+system) * tick, nil
}

// ResidentBytes returns the resident set size of the process.
func (p *Process) ResidentBytes() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read resident set size: %w", err)
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, fmt.Errorf("read resident set size: %w", err)
	}
	return resident * int64(os.Getpagesize()), nil
}
