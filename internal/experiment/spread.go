package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// SpreadOptions configures the experiment with the mesh of entry instances.
type SpreadOptions struct {
	Instances int
	Zones     int
	// Topology selects the links between the instances.
	Topology peer.Topology
	// RunnersPerInstance is the number of runners whose load each instance
	// broadcasts.
	RunnersPerInstance int
	// Quiet is how long the mesh is measured before any document is published.
	Quiet time.Duration
	// Versions is the number of document versions to propagate, DocumentBytes the
	// size of each.
	Versions      int
	DocumentBytes int
}

// SpreadReport holds the cost of a mesh and the time that documents take to reach
// its instances. Bytes, messages and processor time are averages per instance;
// CorePercent is relative to one core. MemoryPerMember is the growth of the heap and
// the goroutine stacks, in bytes per instance. Missing counts the deliveries not
// observed within the wait limit.
type SpreadReport struct {
	Options           SpreadOptions
	LinksMean         float64
	LinksMax          int
	BytesPerSecond    float64
	MessagesPerSecond float64
	CorePercent       float64
	MemoryPerMember   float64
	Median            time.Duration
	Worst             time.Duration
	Missing           int
}

// WriteText writes the report as one line of text.
func (r *SpreadReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%T\tinstances %d\tzones %d\tlinks %.1f mean %d max\tsent %.0f B/s %.1f msg/s\tcore %.3f %%\theap %.0f KB\tspread median %s worst %s\tmissing %d\n",
		r.Options.Topology, r.Options.Instances, r.Options.Zones, r.LinksMean, r.LinksMax, r.BytesPerSecond, r.MessagesPerSecond,
		r.CorePercent, r.MemoryPerMember/1024, r.Median, r.Worst, r.Missing)
	return table.Flush()
}

// member is the mesh node and the document replica of one in-process entry
// instance.
type member struct {
	hello   peer.Hello
	mesh    *peer.Mesh
	replica *document.Replica
	server  *http.Server

	mu       sync.Mutex
	accepted map[document.Version]time.Time
}

// HandleLink implements peer.Receiver.
func (m *member) HandleLink(from peer.Hello) {
	asOf, _ := m.replica.AsOf()
	m.mesh.Send(from.Instance, peer.DocumentsOffset{AsOf: asOf})
}

// HandleMessage implements peer.Receiver.
func (m *member) HandleMessage(from peer.Hello, message peer.Message) {
	switch message := message.(type) {
	case peer.DocumentsOffset:
		if asOf, _ := m.replica.AsOf(); message.AsOf > asOf {
			m.mesh.Send(from.Instance, peer.DocumentsRequest{AsOf: asOf})
		}
	case peer.DocumentsRecords:
		m.replica.ApplyPeerRecords(message.Records)
	case peer.DocumentsRequest:
		if records, ok := m.replica.RecordsAfter(message.AsOf); ok && message.AsOf >= 0 {
			m.mesh.Send(from.Instance, peer.DocumentsRecords{Records: records})
			return
		}
		if snapshot, ok := m.replica.Snapshot(); ok {
			m.mesh.Send(from.Instance, peer.DocumentsCheckpoint{Checkpoint: snapshot})
		}
	case peer.DocumentsCheckpoint:
		_ = m.replica.InstallSnapshot(message.Checkpoint)
	}
}

// HandleForward implements peer.Receiver.
func (m *member) HandleForward(peer.ForwardRequest) peer.ForwardResponse {
	return peer.ForwardResponse{}
}

func startMember(o SpreadOptions, i int) (*member, instancelist.Instance, error) {
	zone := instancelist.Zone(fmt.Sprint("zone-", i%o.Zones))
	m := &member{
		hello:    peer.Hello{Instance: instancelist.ID(fmt.Sprintf("entry-%03d", i)), Incarnation: uuid.New(), Zone: zone},
		accepted: map[document.Version]time.Time{},
	}
	m.mesh = peer.NewMesh(peer.Config{Self: m.hello, Receiver: m, Logger: zap.NewNop(), Topology: o.Topology})
	m.replica = document.NewReplica(document.Config{
		OnAccepted: func(e document.Entry) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.accepted[e.Version] = time.Now()
		},
		OnAdvanced: func(asOf logservice.Offset) { m.mesh.Broadcast(peer.DocumentsOffset{AsOf: asOf}) },
		Logger:     zap.NewNop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, instancelist.Instance{}, fmt.Errorf("listen: %w", err)
	}
	m.server = &http.Server{Handler: m.mesh.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = m.server.Serve(listener) }()
	return m, instancelist.Instance{
		ID: m.hello.Instance, Kind: instancelist.KindEntry, Zone: zone, Address: listener.Addr().String(),
	}, nil
}

// Spread connects the instances, measures the cost of the mesh while the instances
// exchange load updates only, and then measures how fast documents that the first
// instance has read reach all instances.
func Spread(ctx context.Context, o SpreadOptions) (*SpreadReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := heapAndStackBytes()
	var members []*member
	var list []instancelist.Instance
	for i := range o.Instances {
		m, instance, err := startMember(o, i)
		if err != nil {
			return nil, err
		}
		defer func() { _ = m.server.Close() }()
		members, list = append(members, m), append(list, instance)
	}
	for _, m := range members {
		m.mesh.SetInstances(time.Now(), list)
		go m.mesh.Run(ctx)
	}
	waitForLinks(members)
	report := &SpreadReport{Options: o}
	report.MemoryPerMember = (float64(heapAndStackBytes()) - float64(before)) / float64(o.Instances)
	report.measureSteadyState(ctx, members)
	report.measurePropagation(members)
	return report, nil
}

// waitForLinks returns once the number of links has not changed for stablePeriod.
func waitForLinks(members []*member) {
	const stablePeriod = 3 * time.Second
	last, since := -1, time.Now()
	for time.Since(since) < stablePeriod {
		links := 0
		for _, m := range members {
			links += m.mesh.Stats().Links
		}
		if links != last {
			last, since = links, time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// heapAndStackBytes returns the bytes of live heap objects and goroutine stacks.
func heapAndStackBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureSteadyState measures the cost of the mesh without documents, while each
// instance broadcasts the load of its runners to its zone once a second.
func (r *SpreadReport) measureSteadyState(ctx context.Context, members []*member) {
	sent := func() (bytes, messages uint64) {
		for _, m := range members {
			stats := m.mesh.Stats()
			bytes += stats.SentBytes
			messages += stats.SentMessages
		}
		return bytes, messages
	}
	for _, m := range members {
		links := m.mesh.Stats().Links
		r.LinksMean += float64(links) / float64(len(members))
		r.LinksMax = max(r.LinksMax, links)
	}
	bytes, messages := sent()
	cpuBefore, start := cpuTime(), time.Now()
	for time.Since(start) < r.Options.Quiet && ctx.Err() == nil {
		for _, m := range members {
			m.mesh.BroadcastZone(loadUpdates(m.hello.Instance, r.Options.RunnersPerInstance))
		}
		time.Sleep(time.Second)
	}
	elapsed := time.Since(start).Seconds()
	bytesAfter, messagesAfter := sent()
	memberSeconds := elapsed * float64(len(members))
	r.BytesPerSecond = float64(bytesAfter-bytes) / memberSeconds
	r.MessagesPerSecond = float64(messagesAfter-messages) / memberSeconds
	r.CorePercent = 100 * (cpuTime() - cpuBefore).Seconds() / memberSeconds
}

func loadUpdates(id instancelist.ID, count int) peer.LoadUpdates {
	var m peer.LoadUpdates
	for i := range count {
		m.Updates = append(m.Updates, peer.LoadUpdate{Runner: runner.ID(fmt.Sprintf("%s-runner-%d", id, i)), Queued: 17, Sessions: 40})
	}
	return m
}

// measurePropagation passes documents to the first instance as if it had read them
// from the log, and measures the time until each instance, including the first, has
// accepted them.
func (r *SpreadReport) measurePropagation(members []*member) {
	var times []time.Duration
	for v := range r.Options.Versions {
		body := make([]byte, r.Options.DocumentBytes)
		body[0] = byte(v)
		p := document.Publication{
			Environment: "bench", Stage: environment.Trial, Base: document.Version(v - 1),
			Digest: environment.DigestOf(body), ID: uuid.New(), Body: body, Promotes: document.NoVersion,
		}
		data, err := document.EncodeRecord(p)
		if err != nil {
			return
		}
		start := time.Now()
		offset := logservice.Offset(v)
		members[0].replica.HandleRecords(start, logservice.Page{Next: offset + 1, Records: []logservice.Record{{Offset: offset, Time: start, Body: data}}})
		times = append(times, waitForVersion(members, document.Version(v), start)...)
	}
	r.Missing = r.Options.Versions*len(members) - len(times)
	slices.Sort(times)
	if len(times) > 0 {
		r.Median, r.Worst = times[len(times)/2], times[len(times)-1]
	}
}

// waitForVersion waits until the timeout for all members to accept a version, and
// returns the times, counted from start, of those that did. It checks one member after
// the other; once the timeout has passed, the remaining members are not checked.
func waitForVersion(members []*member, v document.Version, start time.Time) []time.Duration {
	const timeout = 5 * time.Second
	var times []time.Duration
	for _, m := range members {
		for time.Since(start) < timeout {
			m.mu.Lock()
			at, ok := m.accepted[v]
			m.mu.Unlock()
			if ok {
				times = append(times, at.Sub(start))
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	return times
}
