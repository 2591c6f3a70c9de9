package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
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
	// program is what the deploy file runs.
	program = "target/mulberryhead"
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// memoryInterval is the interval at which the platform looks at the memory of a process.
	memoryInterval = 20 * time.Millisecond
	readyTimeout   = time.Second
)

// instance is one process of the program. The platform starts it again when it has ended.
type instance struct {
	scene   *scene
	metrics deployment.Address

	mu       sync.Mutex
	settings deployment.Settings
	process  *exec.Cmd
	log      *os.File
	// ending is set once the script ends the process for good.
	ending bool
	// overLimit counts the ends of the process as its memory was over the limit, and ownEnds the others.
	overLimit, ownEnds int
	peak               int64 // resident memory, bytes
}

// start writes the settings and starts the process. The error comes from that.
func (i *instance) start(settings deployment.Settings) error {
	i.settings = settings
	path := i.settingsPath()
	if err := os.WriteFile(path, platformtest.FormatSettings(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(i.scene.directory, string(settings.Instance)+".log"))
	if err != nil {
		return err
	}
	i.log = log
	return i.run()
}

func (i *instance) settingsPath() string {
	return filepath.Join(i.scene.directory, string(i.settings.Instance)+".conf")
}

// run starts the process with the command of the deploy file.
func (i *instance) run() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ending {
		return nil
	}
	_, port, err := net.SplitHostPort(string(i.metrics))
	if err != nil {
		return err
	}
	process := exec.CommandContext(context.Background(), program, "route", "--metrics-port", port)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "MULBERRYHEAD_SETTINGS=" + i.settingsPath()}
	process.Stdout, process.Stderr = i.log, i.log
	if err := process.Start(); err != nil {
		return err
	}
	i.process = process
	ended := make(chan struct{})
	go i.wait(process, ended)
	go i.watchMemory(process.Process.Pid, ended)
	return nil
}

// wait waits for the end of the process, and starts it again after restartDelay.
func (i *instance) wait(process *exec.Cmd, ended chan struct{}) {
	err := process.Wait()
	close(ended)
	i.mu.Lock()
	ending := i.ending
	if !ending {
		i.ownEnds++
	}
	i.mu.Unlock()
	if ending {
		return
	}
	i.scene.record.printf("process of %s has ended: %v", i.settings.Instance, err)
	time.Sleep(restartDelay)
	if err := i.run(); err != nil {
		i.scene.record.printf("%s not started again: %v", i.settings.Instance, err)
	}
}

// watchMemory kills the process when its memory is over the limit, as the platform does.
func (i *instance) watchMemory(pid int, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		resident := residentBytes(pid)
		i.mu.Lock()
		i.peak = max(i.peak, resident)
		i.mu.Unlock()
		if resident <= i.settings.MemoryLimit {
			continue
		}
		i.scene.record.printf("%s has %d MiB, its limit is %d MiB: killed by the platform", i.settings.Instance, resident>>20, i.settings.MemoryLimit>>20)
		i.mu.Lock()
		i.overLimit++
		i.ownEnds--
		i.mu.Unlock()
		_ = syscall.Kill(pid, syscall.SIGKILL) // it may have ended
		return
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// ready reports whether the instance says that it is ready.
func (i *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(i.settings.ReadyAddress)+platform.ReadinessPath, nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end ends the process for good.
func (i *instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ending = true
	if i.process != nil {
		_ = i.process.Process.Kill() // it may have ended
	}
}

// ends returns how often the process has ended by itself: with its memory over the limit, and otherwise.
func (i *instance) ends() (overLimit, other int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.overLimit, i.ownEnds
}

func (i *instance) peakMemory() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.peak
}
