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
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	routerProgram = "target/mulberryhead"
	metricsPort   = "9464"
	readyTimeout  = 20 * time.Second
	stopTimeout   = 9 * time.Second
	// mostTime is how long a play may take, less the time to stop.
	mostTime = 108 * time.Second
)

// play is one play of a case: the store, the runners and the instances.
type play struct {
	record    *record
	trouble   bool
	directory string // of the settings files
	store     *platformtest.Store
	fleet     *fleet
	instances []*instance
}

// instance is a process of the router.
type instance struct {
	name    string
	front   string
	ready   string
	command *exec.Cmd
	ended   chan struct{}
}

// start starts the store with a configuration, and instances in one zone.
func (p *play) start(configuration string, instances int) error {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	p.directory = directory
	p.store = platformtest.NewStore()
	p.fleet = newFleet(p.record, p.store)
	p.putConfiguration(configuration)
	var control []string
	for i := range instances {
		control = append(control, freeAddress(address(i)))
	}
	for i := range instances {
		if err := p.startInstance(i, control); err != nil {
			return err
		}
	}
	return nil
}

// address returns the loopback address of an instance, which differs between plays.
func address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/256%128, os.Getpid()%256, 1+i)
}

// freeAddress returns a free port of an address.
func freeAddress(ip string) string {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return ip + ":0"
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (p *play) putConfiguration(configuration string) {
	p.store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(configuration))
}

// startInstance starts an instance with settings like those of a small deployment.
func (p *play) startInstance(i int, control []string) error {
	ip := address(i)
	in := &instance{name: fmt.Sprintf("front-zone-a-%d", i+1), front: freeAddress(ip), ready: freeAddress(ip), ended: make(chan struct{})}
	settings := []string{
		"node-name=" + in.name, "role=router", "machine-class=front", "serves=front,control", "ip=" + ip, "zone=zone-a", "region=region-a",
		"zones.zone-a=region-a", "listen.front=" + in.front, "listen.ready=" + in.ready, "listen.control=" + control[i], "port-range=7340,7355",
		"seeds=" + strings.Join(control, ","), "bootstrap=true", "limits.cpu-share=0.4", "limits.cores=1", "limits.memory-mb=284", "limits.max-fds=4200",
		"limits.link-mbps=1000.0", "limits.disk-mb=0", "discovery=platform", "entry=vip", "heartbeat-ms=1200",
		"bounds.reuse-after-s=2", "bounds.stable-window-ms=3000", "bounds.drain-ms=2000", "bounds.grace-s=8", "bounds.config-ms=2000",
		"bounds.retry-budget-ratio=0.2", "bounds.budget-window-s=10", "bounds.budget-slack=198", "bounds.stall_ms=2500", "bounds.require-fencing=true",
		"platform.address=" + string(p.store.Address()), "platform.form=log", "platform.parts=8", "platform.keep_s=300",
	}
	path := filepath.Join(p.directory, in.name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.directory, in.name+".log"))
	if err != nil {
		return err
	}
	in.command = exec.Command(routerProgram, "route", "--metrics-port", metricsPort)
	in.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MULBERRYHEAD_SETTINGS=" + path}
	in.command.Stdout, in.command.Stderr = log, log
	if err := in.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", routerProgram, err)
	}
	go func() {
		_ = in.command.Wait()
		_ = log.Close()
		close(in.ended)
	}()
	p.instances = append(p.instances, in)
	return nil
}

var errNotReady = errors.New("the instances were not ready in time")

// awaitReady waits until all instances say that they are ready, as the platform asks them.
func (p *play) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, in := range p.instances {
		for !isReady(in.ready) {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.record.note("%s is ready", in.name)
	}
	return nil
}

func isReady(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReadinessPath, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// watch ends the play if it takes too long, or on a signal.
func (p *play) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(mostTime):
	}
	p.record.note("RESULT: could not be played: ended before its time")
	p.stop()
	os.Exit(exitFailed)
}

// stop ends all processes and stand-ins of the play.
func (p *play) stop() {
	for _, in := range p.instances {
		_ = in.command.Process.Signal(syscall.SIGTERM)
	}
	for _, in := range p.instances {
		select {
		case <-in.ended:
		case <-time.After(stopTimeout):
			_ = in.command.Process.Kill()
			<-in.ended
		}
	}
	if p.fleet != nil {
		p.fleet.stop()
	}
	if p.store != nil {
		p.store.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.directory)
	}
}
