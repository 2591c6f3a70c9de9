package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// The settings of the instances, those of the users' small sites.
const (
	retryRatio    = 0.2
	retryReserve  = 198
	retryWindow   = 10 * time.Second
	shutdownGrace = 8 * time.Second
	memoryLimit   = 284 << 20 // bytes
	descriptors   = 4200
	// stableWindow is the bound stable-window-ms.
	stableWindow = 3 * time.Second
)

// readyTimeout is how long an instance may take to be ready.
const readyTimeout = 10 * time.Second

// instance is one process of the router.
type instance struct {
	id      deployment.InstanceID
	zone    string
	front   string
	ready   string
	control string
	command *exec.Cmd
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// killAll ends all processes that were started, and waits for them.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, command := range started {
		_ = command.Process.Kill() // it may have ended
		_ = command.Wait()
	}
	started = nil
}

// The ports of instances and servers are below those that the system gives to outgoing connections.
const (
	firstPort, portCount = 20000, 10000
	portAttempts         = 100
)

// givenPorts are the ports that freePorts has returned or found in use.
var givenPorts sync.Map

// freePorts returns ports of the loopback address that were free at the time of the call, none of them twice.
func freePorts(count int) (ports []int, err error) {
	for range portAttempts {
		if len(ports) == count {
			return ports, nil
		}
		port := firstPort + rand.IntN(portCount)
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		listener, err := net.Listen("tcp4", loopback(port))
		if err != nil {
			continue
		}
		defer func() { err = errors.Join(err, listener.Close()) }()
		ports = append(ports, port)
	}
	return nil, errors.New("no free ports")
}

// listenLoopback listens on a free port.
func listenLoopback() (net.Listener, error) {
	ports, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp4", loopback(ports[0]))
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// startInstance starts a process of the router with the command of the deploy file, on ports of its own.
func startInstance(o *options, folder, name, zone, store string) (*instance, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	i := &instance{id: deployment.InstanceID(name), zone: zone, front: loopback(ports[0]), ready: loopback(ports[1]), control: loopback(ports[2])}
	settings := platformtest.FormatSettings(deployment.Settings{
		Instance: i.id, Zone: deployment.Zone(zone), IP: "127.0.0.1", FrontAddress: deployment.Address(i.front), ReadyAddress: deployment.Address(i.ready),
		PeerAddress: deployment.Address(i.control), StoreAddress: deployment.Address(store), MemoryLimit: memoryLimit, MaxDescriptors: descriptors,
		ShutdownGrace: shutdownGrace, RetryRatio: retryRatio, RetryReserve: retryReserve, RetryWindow: retryWindow,
	})
	path := filepath.Join(folder, name+".conf")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	i.command = exec.Command(o.Binary, "route", "--metrics-port", fmt.Sprint(ports[3]))
	i.command.Env = append(os.Environ(), "MULBERRYHEAD_SETTINGS="+path)
	if o.Logs != "" {
		file, err := os.Create(filepath.Join(o.Logs, name+".log"))
		if err != nil {
			return nil, fmt.Errorf("create a log: %w", err)
		}
		i.command.Stdout, i.command.Stderr = file, file
	}
	if err := i.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	startedMu.Lock()
	started = append(started, i.command)
	startedMu.Unlock()
	return i, nil
}

// waitReady waits until the instance says that it is ready.
func (i *instance) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + i.ready + platform.ReadinessPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close() // nothing is read from it
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready after %s", i.id, readyTimeout)
}
