package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// maxBodyBytes is the limit of the small deployments.
	maxBodyBytes = 4 << 20
	// usualUploads is how many clients of an instance upload at a time: half of the 43 clients of
	// the zone with two machines. burstFactorTenths the largest dose of a burst in the site file, 1.7.
	usualUploads      = 21
	burstFactorTenths = 17
	uploadWaves       = 4
	wavePause         = time.Second
	// uploadChunk is sent every uploadInterval, so that a body takes 2.6 s.
	uploadChunk    = 32 << 10
	uploadInterval = 20 * time.Millisecond
	uploadDeadline = 20 * time.Second
	memoryPoll     = 5 * time.Millisecond
	bytesPerKB     = 1 << 10
)

// largeBodies lets many clients upload bodies at once that are within the limits of the
// configuration. The platform kills a process that exceeds its memory limit.
func largeBodies(record *journal, trouble bool) (broken bool, err error) {
	configuration := strings.Replace(string(platformtest.ConfigurationJSON(1, true)),
		`"max-body-bytes":1048576`, fmt.Sprintf(`"max-body-bytes":%d`, maxBodyBytes), 1)
	s, err := newSystem(record, []byte(configuration))
	if err != nil {
		return false, err
	}
	defer s.close()
	for _, zone := range append(zones, zones[0]) {
		if _, err := s.addPlainServer(zone); err != nil {
			return false, err
		}
	}
	if err := s.addInstances(1); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, i := range s.instances {
		go i.limitMemory(ctx)
	}
	uploads := usualUploads
	if trouble {
		uploads = usualUploads * burstFactorTenths / 10
	}
	for wave := range uploadWaves {
		answers := newTally()
		var clients sync.WaitGroup
		for _, i := range s.instances {
			for range uploads {
				clients.Go(func() { answers.add(upload(ctx, i)) })
			}
		}
		clients.Wait()
		record.printf("wave %d of %d uploads at a time at each instance: %v, own ends %v", wave+1, uploads, answers, ownEnds(s))
		time.Sleep(wavePause)
		for _, i := range s.instances {
			if err := i.awaitReady(time.Now().Add(readyTimeout)); err != nil {
				return false, err
			}
		}
	}
	return endedTooOften(s), nil
}

// limitMemory kills the process, as the platform does, whenever it has exceeded the memory limit,
// until ctx ends.
func (i *instance) limitMemory(ctx context.Context) {
	most := 0
	for ctx.Err() == nil {
		time.Sleep(memoryPoll)
		used := residentKB(i.pid())
		if used > most {
			most = used
		}
		if used > memoryLimitMB*bytesPerKB {
			i.journal.printf("%s uses %d kB, over the limit of %d MB: killed", i.name, used, memoryLimitMB)
			i.kill(false)
			time.Sleep(restartDelay)
		}
	}
	i.journal.printf("%s used at most %d kB", i.name, most)
}

// residentKB returns the resident memory of a process, 0 if it does not run.
func residentKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(text)[0]) // the kernel writes a number
			return kilobytes
		}
	}
	return 0
}

// slowBody is a body that is sent at the rate of a client's link.
type slowBody struct{ left int }

// Read implements io.Reader.
func (b *slowBody) Read(data []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(uploadInterval)
	n := min(len(data), b.left, uploadChunk)
	b.left -= n
	return n, nil
}

// upload sends one request that must run at most once, and returns what came of it.
func upload(ctx context.Context, to *instance) string {
	ctx, cancel := context.WithTimeout(ctx, uploadDeadline)
	defer cancel()
	id := uuid.NewString()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.front+"/once/upload", &slowBody{left: maxBodyBytes})
	if err != nil {
		return "not sent"
	}
	request.ContentLength = maxBodyBytes
	request.Host = platformtest.Host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderAPIKey, platformtest.APIKey)
	request.Header.Set(platform.HeaderDeadline, platform.FormatDeadline(uploadDeadline))
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		to.journal.printf("client of %s: %s no answer: %v", to.name, id, err)
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut"
	}
	to.journal.printf("client of %s: %s %d", to.name, id, response.StatusCode)
	return strconv.Itoa(response.StatusCode)
}
