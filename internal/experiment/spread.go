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

// SpreadOptions describes an experiment with the mesh of entry instances.
type SpreadOptions struct {
	Instances int
	Zones     int
	// Topology is how links are chosen.
	Topology peer.Topology
	// RunnersPerInstance is how many runners each instance reports on.
	RunnersPerInstance int
	Quiet              time.Duration
	// Versions is how many documents are spread, DocumentBytes their size.
	Versions      int
	DocumentBytes int
}

// SpreadReport is what a mesh cost and how fast it spread documents.
type SpreadReport struct {
	Options        SpreadOptions
	LinksMean      float64
	LinksMax       int
	BytesPerSecond float64
	MessagesPerSec float64
	CorePercent    float64
	HeapPerMember  float64
	Median         time.Duration
	Worst          time.Duration
	Missing        int
}

// WriteText writes the report for a reader.
func (r *SpreadReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%T\tinstances %d\tzones %d\tlinks %.1f mean %d max\tsent %.0f B/s %.1f msg/s\tcore %.3f %%\theap %.0f KB\tspread median %s worst %s\tmissing %d\n",
		r.Options.Topology, r.Options.Instances, r.Options.Zones, r.LinksMean, r.LinksMax, r.BytesPerSecond, r.MessagesPerSec,
		r.CorePercent, r.HeapPerMember/1024, r.Median, r.Worst, r.Missing)
	return table.Flush()
}

// member is one entry instance's mesh and documents in this process.
type member struct {
	hello  peer.Hello
	mesh   *peer.Mesh
	keeper *document.Replica
	server *http.Server

	mu       sync.Mutex
	accepted map[document.Version]time.Time
}

// HandleLink implements peer.Receiver.
func (m *member) HandleLink(from peer.Hello) {
	asOf, _ := m.keeper.AsOf()
	m.mesh.Send(from.Instance, peer.DocumentsOffset{AsOf: asOf})
}

// HandleMessage implements peer.Receiver.
func (m *member) HandleMessage(from peer.Hello, message peer.Message) {
	switch message := message.(type) {
	case peer.DocumentsOffset:
		if asOf, _ := m.keeper.AsOf(); message.AsOf > asOf {
			m.mesh.Send(from.Instance, peer.DocumentsRequest{AsOf: asOf})
		}
	case peer.DocumentsRecords:
		m.keeper.ApplyPeerRecords(message.Records)
	case peer.DocumentsRequest:
		if records, ok := m.keeper.RecordsAfter(message.AsOf); ok && message.AsOf >= 0 {
			m.mesh.Send(from.Instance, peer.DocumentsRecords{Records: records})
			return
		}
		if snapshot, ok := m.keeper.Snapshot(); ok {
			m.mesh.Send(from.Instance, peer.DocumentsCheckpoint{Checkpoint: snapshot})
		}
	case peer.DocumentsCheckpoint:
		_ = m.keeper.InstallSnapshot(message.Checkpoint)
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
	m.keeper = document.NewReplica(document.Config{
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

// Spread links instances, measures them at rest and under load reports, and
// spreads documents that one of them has read.
func Spread(ctx context.Context, o SpreadOptions) (*SpreadReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := heap()
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
	report.HeapPerMember = (float64(heap()) - float64(before)) / float64(o.Instances)
	report.quiet(ctx, members)
	report.spread(members)
	return report, nil
}

// waitForLinks returns when the number of links has stood still.
func waitForLinks(members []*member) {
	const still = 3 * time.Second
	last, since := -1, time.Now()
	for time.Since(since) < still {
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

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// quiet measures what the mesh costs without documents, each instance telling
// its zone about its runners once a second.
func (r *SpreadReport) quiet(ctx context.Context, members []*member) {
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
	processor, began := processorTime(), time.Now()
	for time.Since(began) < r.Options.Quiet && ctx.Err() == nil {
		for _, m := range members {
			m.mesh.BroadcastZone(loads(m.hello.Instance, r.Options.RunnersPerInstance))
		}
		time.Sleep(time.Second)
	}
	took := time.Since(began).Seconds()
	bytesAfter, messagesAfter := sent()
	each := took * float64(len(members))
	r.BytesPerSecond = float64(bytesAfter-bytes) / each
	r.MessagesPerSec = float64(messagesAfter-messages) / each
	r.CorePercent = 100 * (processorTime() - processor).Seconds() / each
}

func loads(id instancelist.ID, count int) peer.LoadUpdates {
	var m peer.LoadUpdates
	for i := range count {
		m.Updates = append(m.Updates, peer.LoadUpdate{Runner: runner.ID(fmt.Sprintf("%s-runner-%d", id, i)), Queued: 17, Sessions: 40})
	}
	return m
}

// spread lets the first instance read documents from the log, and takes the
// time until each of the others has them.
func (r *SpreadReport) spread(members []*member) {
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
		began := time.Now()
		offset := logservice.Offset(v)
		members[0].keeper.HandleRecords(began, logservice.Page{Next: offset + 1, Records: []logservice.Record{{Offset: offset, Time: began, Body: data}}})
		times = append(times, waitForVersion(members, document.Version(v), began)...)
	}
	r.Missing = r.Options.Versions*len(members) - len(times)
	slices.Sort(times)
	if len(times) > 0 {
		r.Median, r.Worst = times[len(times)/2], times[len(times)-1]
	}
}

// waitForVersion returns how long each instance took that got a version in
// time.
func waitForVersion(members []*member, v document.Version, began time.Time) []time.Duration {
	const patience = 5 * time.Second
	var times []time.Duration
	for _, m := range members {
		for time.Since(began) < patience {
			m.mu.Lock()
			at, ok := m.accepted[v]
			m.mu.Unlock()
			if ok {
				times = append(times, at.Sub(began))
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	return times
}
