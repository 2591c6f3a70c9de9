package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// routerProgram is the program that the deploy file builds, relative to the repository root.
	routerProgram = "target/mulberryhead"
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	// killedTime is how long a machine is down whose processes the case has killed.
	killedTime = 2 * time.Second
	// readyTimeout bounds the start of a deployment.
	readyTimeout  = 30 * time.Second
	pollInterval  = 50 * time.Millisecond
	memoryLimitMB = 284
)

var errNotReady = errors.New("the deployment did not get ready in time")

// journal writes record.txt. It is safe for concurrent use.
type journal struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &journal{file: file, started: time.Now()}, nil
}

// printf writes one line with the seconds since the start.
func (j *journal) printf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f s  %s\n", time.Since(j.started).Seconds(), fmt.Sprintf(format, args...)) // the verdict does not depend on the record
}

// instance is one router process, which is started again after it has ended by itself.
type instance struct {
	name        string
	zone        string
	front       string
	ready       string
	peer        string
	metricsPort int
	settings    string // path
	journal     *journal

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	killed  bool      // by the case, since the process was last started
	started time.Time // last
	ends    int       // by itself
	done    chan struct{}
}

// inTouch reports whether the process has run for the whole time before now that the rules ask for.
func (i *instance) inTouch(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.started) >= stableWindow
}

// ownEnds returns how often the process has ended by itself.
func (i *instance) ownEnds() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ends
}

// pid returns the id of the current process, 0 if none runs.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil || i.command.Process == nil {
		return 0
	}
	return i.command.Process.Pid
}

// run keeps the process running until stop.
func (i *instance) run() {
	defer close(i.done)
	for {
		var output bytes.Buffer
		i.mu.Lock()
		if i.stopped {
			i.mu.Unlock()
			return
		}
		i.command = exec.Command(routerProgram, "route", "--metrics-port", strconv.Itoa(i.metricsPort))
		i.command.Env = append(os.Environ(), "MULBERRYHEAD_SETTINGS="+i.settings)
		i.command.Stderr = &output
		i.killed, i.started = false, time.Now()
		err := i.command.Start()
		i.mu.Unlock()
		if err == nil {
			i.journal.printf("%s started, pid %d", i.name, i.pid())
			err = i.command.Wait()
		}
		i.mu.Lock()
		stopped, killed := i.stopped, i.killed
		if !stopped && !killed {
			i.ends++
		}
		i.mu.Unlock()
		switch {
		case stopped:
			return
		case killed:
			i.journal.printf("%s killed by the case", i.name)
			time.Sleep(killedTime)
		default:
			i.journal.printf("%s ended by itself: %v\n%s", i.name, err, firstLines(output.String()))
			time.Sleep(restartDelay)
		}
	}
}

// firstLines returns the beginning of a program's error output, without the lines of a stack that
// name files of this machine.
func firstLines(text string) string {
	const maxLines = 12
	var kept []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "\t") && len(kept) < maxLines {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "")
}

// kill kills the process, which is started again. disruption is set if that is a disruption, and
// not an end that the process has brought about.
func (i *instance) kill(disruption bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.killed = disruption
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Signal(syscall.SIGKILL) // it may have ended
	}
}

// stop kills the process for good.
func (i *instance) stop() {
	i.mu.Lock()
	i.stopped = true
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Signal(syscall.SIGKILL) // it may have ended
	}
	i.mu.Unlock()
	<-i.done
}

// system is a small deployment: a store, backend servers and router processes.
type system struct {
	store     *platformtest.Store
	cluster   *platformtest.Cluster
	instances []*instance
	// plainServers are those beside the cluster's.
	plainServers []*plainServer
	journal      *journal
	scratch      string
}

// zones are the availability zones, with the same servers and instances in each.
var zones = []string{"zone-banska", "zone-zvolen"}

// newSystem starts a store with a configuration. Servers and instances are added by the caller.
func newSystem(record *journal, configuration []byte) (*system, error) {
	scratch, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	store := platformtest.NewStore()
	store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, configuration)
	s := &system{store: store, cluster: platformtest.NewCluster(store), journal: record, scratch: scratch}
	go s.closeOnSignal()
	return s, nil
}

// closeOnSignal ends all that was started, and the driver, if that is told to stop.
func (s *system) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	s.close()
	os.Exit(exitNotRun)
}

// addInstances starts router processes in each zone, and waits until they say that they are ready.
func (s *system) addInstances(inEachZone int) error {
	var seeds []deployment.Address
	for n := range inEachZone * len(zones) {
		zone := zones[n%len(zones)]
		ports, err := freePorts(4)
		if err != nil {
			return err
		}
		i := &instance{
			name: fmt.Sprintf("front-%s-%d", zone, 1+n/len(zones)), zone: zone, front: loopback(ports[0]), ready: loopback(ports[1]),
			peer: loopback(ports[2]), metricsPort: ports[3], journal: s.journal, done: make(chan struct{}),
		}
		i.settings = filepath.Join(s.scratch, i.name+".conf")
		s.instances = append(s.instances, i)
		seeds = append(seeds, deployment.Address(i.peer))
	}
	for _, i := range s.instances {
		settings := platformtest.FormatSettings(deployment.Settings{
			Instance: deployment.InstanceID(i.name), Zone: deployment.Zone(i.zone), IP: "127.0.0.1", FrontAddress: deployment.Address(i.front),
			ReadyAddress: deployment.Address(i.ready), PeerAddress: deployment.Address(i.peer), StoreAddress: s.store.Address(),
			MemoryLimit: memoryLimitMB << 20, ShutdownGrace: 8 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second,
			RetryReserve: 198, Seeds: seeds[:min(len(seeds), 3)],
		})
		if err := os.WriteFile(i.settings, settings, 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		go i.run()
	}
	deadline := time.Now().Add(readyTimeout)
	for _, i := range s.instances {
		if err := i.awaitReady(deadline); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady(deadline time.Time) error {
	for !i.isReady() {
		if time.Now().After(deadline) {
			return errNotReady
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// isReady reports whether the instance says that it is ready.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // nothing was read of it
	return response.StatusCode == http.StatusOK
}

// close ends all that was started.
func (s *system) close() {
	for _, i := range s.instances {
		i.stop()
	}
	for _, p := range s.plainServers {
		p.close()
	}
	s.cluster.Close()
	s.store.Close()
	_ = os.RemoveAll(s.scratch) // only a temporary folder
}

// freePorts returns ports of the loopback address that are free now.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
		defer func() { _ = listener.Close() }()
	}
	return ports, nil
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

const (
	// ownEndsAllowed is how often a process may end by itself, and endedInstancesAllowed on how many
	// instances it may happen more often, before the rule is broken.
	ownEndsAllowed        = 2
	endedInstancesAllowed = 1
)

// endedTooOften reports whether processes have ended by themselves three times on two instances.
func endedTooOften(s *system) bool {
	ended := 0
	for _, ends := range ownEnds(s) {
		if ends > ownEndsAllowed {
			ended++
		}
	}
	return ended > endedInstancesAllowed
}

func ownEnds(s *system) []int {
	var ends []int
	for _, i := range s.instances {
		ends = append(ends, i.ownEnds())
	}
	return ends
}
