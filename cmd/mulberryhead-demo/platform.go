package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/localcluster"
	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const demoZone = "zone-a"

// routerInstance is one `mulberryhead route` process. front and ready are the
// addresses of its request and readiness listeners.
type routerInstance struct {
	name    string
	front   string
	ready   string
	command *exec.Cmd
}

// platformDemo simulates the users' platform: a store and backend servers in this
// process, and two router instances in separate processes.
func platformDemo(ctx context.Context, binaries, scratch string) (err error) {
	fmt.Println("starting a store, thirteen model servers, two plain ones and two instances of the router")
	store := platformtest.NewStore()
	defer store.Close()
	cluster := platformtest.NewCluster(store)
	defer cluster.Close()
	for range 13 {
		cluster.AddModelServer(demoZone, "l4")
	}
	cluster.AddPlainServer(demoZone)
	cluster.AddPlainServer(demoZone)
	store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, platformtest.ConfigurationJSON(1, true))
	var instances []*routerInstance
	defer func() { err = errors.Join(err, stopRouters(instances)) }()
	for _, name := range []string{"front-1", "front-2"} {
		instance, err := startRouter(binaries, scratch, name, store.Address())
		if err != nil {
			return err
		}
		instances = append(instances, instance)
	}
	for _, instance := range instances {
		if err := localcluster.Wait(ctx, instance.name+" is ready", func() bool { return readinessStatus(ctx, instance.ready) == http.StatusOK }); err != nil {
			return err
		}
	}
	return showRequests(ctx, cluster, instances)
}

// showRequests sends a streaming request and a call that may run at most once. It
// verifies every event of the stream, the booking's status, and that no invariant was
// violated.
func showRequests(ctx context.Context, cluster *platformtest.Cluster, instances []*routerInstance) error {
	prompt := "how hot for a hinge"
	var events string
	err := localcluster.Wait(ctx, "a streamed answer", func() bool {
		body, code, err := send(ctx, instances[0].front, "/stream/ask", uuid.NewString(), prompt)
		events = body
		return err == nil && code == http.StatusOK
	})
	if err != nil {
		return err
	}
	for event := 1; event <= platformtest.EventsPerStream; event++ {
		text := platformtest.EventText(prompt, event)
		if !strings.HasPrefix(events, text) {
			return fmt.Errorf("event %d of the stream is not %q", event, text)
		}
		events = strings.TrimPrefix(events, text)
	}
	fmt.Printf("streamed answer: %d events, each once and in order\n", platformtest.EventsPerStream)
	id := uuid.NewString()
	body, code, err := send(ctx, instances[1].front, "/once/book", id, "batch 7")
	if err != nil || code != http.StatusOK {
		return fmt.Errorf("booking: status %d: %w", code, err)
	}
	fmt.Printf("booking: %q, ran %d time\n", body, cluster.RunCount(id))
	if violations := cluster.Violations(); len(violations) > 0 {
		return fmt.Errorf("invariants violated: %v", violations)
	}
	return nil
}

func startRouter(binaries, scratch, name string, store deployment.Address) (*routerInstance, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	instance := &routerInstance{name: name, front: loopbackAddress(ports[0]), ready: loopbackAddress(ports[1])}
	settings := platformtest.FormatSettings(deployment.Settings{
		Instance: deployment.InstanceID(name), Zone: demoZone, IP: "127.0.0.1",
		FrontAddress: deployment.Address(instance.front), ReadyAddress: deployment.Address(instance.ready),
		PeerAddress: deployment.Address(loopbackAddress(ports[2])), StoreAddress: store, MemoryLimit: 256 << 20,
		ShutdownGrace: 4 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryReserve: 100,
	})
	path := filepath.Join(scratch, name+".conf")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	instance.command = exec.Command(filepath.Join(binaries, "mulberryhead"), "route", "--metrics-port", fmt.Sprint(ports[3]))
	instance.command.Env = append(os.Environ(), "MULBERRYHEAD_SETTINGS="+path)
	if err := instance.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	return instance, nil
}

// stopRouters sends each router process SIGTERM and waits for all. The error joins
// every failed signal and exit.
func stopRouters(instances []*routerInstance) error {
	var failed error
	for _, instance := range instances {
		failed = errors.Join(failed, instance.command.Process.Signal(syscall.SIGTERM))
	}
	for _, instance := range instances {
		failed = errors.Join(failed, instance.command.Wait())
	}
	return failed
}

func send(ctx context.Context, front, path, id, body string) (responseBody string, code int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return "", 0, err
	}
	request.Host = platformtest.Host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderAPIKey, platformtest.APIKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", 0, err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), response.StatusCode, errors.Join(err, response.Body.Close())
}

func readinessStatus(ctx context.Context, address string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReadinessPath, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	if err := response.Body.Close(); err != nil {
		return 0
	}
	return response.StatusCode
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freePorts returns ports that were free at the time of the call.
func freePorts(count int) (ports []int, err error) {
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { err = errors.Join(err, listener.Close()) }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
