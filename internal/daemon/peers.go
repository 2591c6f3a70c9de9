package daemon

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/caller"
	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/peer"
)

// HandleLink implements peer.Receiver.
func (d *Daemon) HandleLink(from peer.Hello) {
	asOf, _ := d.replica.AsOf()
	d.mesh.Send(from.Instance, peer.DocumentsOffset{AsOf: asOf})
	if from.Zone == d.settings.Zone {
		d.mesh.Send(from.Instance, peer.LoadReports{Reports: d.loadSharer.fullReports()})
	}
}

// HandleMessage implements peer.Receiver.
func (d *Daemon) HandleMessage(from peer.Hello, message peer.Message) {
	switch m := message.(type) {
	case peer.DocumentsOffset:
		d.handleDocumentsOffset(from, m)
	case peer.DocumentsRequest:
		d.sendDocuments(from, m.AsOf)
	case peer.DocumentsRecords:
		d.replica.ApplyPeerRecords(m.Records)
	case peer.DocumentsCheckpoint:
		if err := d.replica.InstallSnapshot(m.Checkpoint); err != nil {
			d.logger.Error("rejected document snapshot from peer", zap.String("peer", string(from.Instance)), zap.Error(err))
		}
	case peer.LoadReports:
		d.applyLoadReports(m)
	case peer.LoadUpdates:
		d.applyLoadUpdates(m)
	case peer.Demand:
		d.demand.record(time.Now(), from.Instance, m)
	case peer.CrashNotice:
		if d.pool.HandleCrashNotice(time.Now(), m.Fingerprint, m.Runner) {
			// The links don't form a full mesh across zones, so a new notice is
			// relayed.
			d.mesh.Broadcast(m)
		}
	}
}

func (d *Daemon) applyLoadReports(m peer.LoadReports) {
	now := time.Now()
	d.pool.WithFleet(func(f *engine.Fleet) {
		for _, l := range m.Reports {
			f.RecordReport(now.Add(-time.Duration(l.AgeMillis)*time.Millisecond), l.Runner, l.Report)
		}
	})
}

// peerFetchDelay is how long an instance that can read the log waits to read newer
// documents itself before it requests them from a peer.
const peerFetchDelay = 200 * time.Millisecond

func (d *Daemon) handleDocumentsOffset(from peer.Hello, m peer.DocumentsOffset) {
	if !d.behind(m.AsOf) {
		return
	}
	if !d.replica.LogReadRecently(time.Now()) {
		d.requestDocuments(from)
		return
	}
	time.AfterFunc(peerFetchDelay, func() {
		if d.behind(m.AsOf) {
			d.requestDocuments(from)
		}
	})
}

// behind reports whether a peer that has read up to asOf has documents that this
// instance lacks, or this instance has no complete state.
func (d *Daemon) behind(asOf logservice.Offset) bool {
	own, complete := d.replica.AsOf()
	return asOf > own || !complete || !d.replica.Loaded()
}

func (d *Daemon) requestDocuments(from peer.Hello) {
	asOf, complete := d.replica.AsOf()
	if !complete || !d.replica.Loaded() {
		// Records alone would not complete the state; -1 requests a snapshot.
		asOf = -1
	}
	d.mesh.Send(from.Instance, peer.DocumentsRequest{AsOf: asOf})
}

// sendDocuments sends a peer the records after asOf, or a snapshot if they are no
// longer held or asOf is negative.
func (d *Daemon) sendDocuments(to peer.Hello, asOf logservice.Offset) {
	if records, ok := d.replica.RecordsAfter(asOf); ok && asOf >= 0 {
		d.mesh.Send(to.Instance, peer.DocumentsRecords{Records: records})
		return
	}
	if snapshot, ok := d.replica.Snapshot(); ok {
		d.mesh.Send(to.Instance, peer.DocumentsCheckpoint{Checkpoint: snapshot})
	}
}

func (d *Daemon) applyLoadUpdates(m peer.LoadUpdates) {
	now := time.Now()
	d.pool.WithFleet(func(f *engine.Fleet) {
		for _, update := range m.Updates {
			r, ok := f.Runner(update.Runner)
			if !ok || r.ReportedAt().IsZero() {
				continue
			}
			report := r.Report
			report.Queued, report.Sessions = update.Queued, update.Sessions
			f.RecordReport(now, update.Runner, report)
		}
	})
}

// Forward implements caller.Forwarder.
func (d *Daemon) Forward(ctx context.Context, to caller.KeyIssuer, call peer.ForwardRequest) (peer.ForwardResponse, bool) {
	return d.mesh.Forward(ctx, to.Instance, to.Incarnation, call)
}

// HandleForward implements peer.Receiver: it serves a forwarded call like one that
// was received from a caller.
func (d *Daemon) HandleForward(call peer.ForwardRequest) peer.ForwardResponse {
	target := call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := http.NewRequest(call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return peer.ForwardResponse{Status: http.StatusBadRequest, Outcome: string(claim.OutcomeNotRun)}
	}
	request.Header.Set("Authorization", "Bearer "+call.APIKey)
	request.Header.Set("Idempotency-Key", call.Key)
	if call.Stage != "" {
		request.Header.Set("Mulberryhead-Stage", call.Stage)
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	response := newRecorder()
	d.callers.Handler().ServeHTTP(response, request)
	return peer.ForwardResponse{
		Status: response.status, ContentType: response.header.Get("Content-Type"),
		Outcome: response.header.Get("Mulberryhead-Outcome"), Attempt: response.header.Get("Mulberryhead-Attempt"),
		RetryAfter: response.header.Get("Retry-After"), Body: response.body.Bytes(),
	}
}

// registerGauges registers the metrics that are read from other components at each
// scrape.
func (d *Daemon) registerGauges() {
	d.metrics.gauge("documents_as_of", "Log offset up to which the documents are in force.", func() float64 {
		asOf, _ := d.replica.AsOf()
		return float64(asOf)
	})
	d.metrics.gauge("documents_age_seconds", "Time since the documents' stream was last read.", func() float64 {
		at := d.replica.ReadAt()
		if at.IsZero() {
			return -1
		}
		return time.Since(at).Seconds()
	})
	d.metrics.gauge("ready", "1 while the instance is ready.", func() float64 {
		if d.ready(time.Now()) {
			return 1
		}
		return 0
	})
	d.metrics.gauge("peer_links", "Open links to other entry instances.", func() float64 { return float64(d.mesh.Stats().Links) })
	d.metrics.counter("peer_sent_bytes_total", "Bytes sent to other entry instances.", func() float64 { return float64(d.mesh.Stats().SentBytes) })
	d.metrics.counter("peer_received_bytes_total", "Bytes received from other entry instances.", func() float64 { return float64(d.mesh.Stats().ReceivedBytes) })
	d.metrics.gauge("claim_keys", "Idempotency keys held.", func() float64 { return float64(d.claims.Len()) })
	d.metrics.counter("claim_appends_total", "Appends to the claims' stream.", func() float64 { return float64(d.batcher.Stats().Appends) })
	d.metrics.counter("claim_entries_total", "Entries in those appends.", func() float64 { return float64(d.batcher.Stats().Entries) })
	d.metrics.gauge("claim_outcomes_pending", "Outcomes not on the log yet.", func() float64 { return float64(d.batcher.Pending()) })
	d.metrics.counter("runner_steps_total", "Steps sent to runners.", func() float64 { return float64(d.pool.Counts().Steps) })
	d.metrics.counter("runner_paths_total", "Paths chosen, the first of each answer included.", func() float64 { return float64(d.pool.Counts().Paths) })
	d.metrics.counter("runner_streams_lost_total", "Streams to runners that ended.", func() float64 { return float64(d.pool.Counts().StreamsLost) })
	d.metrics.counter("runner_replies_dropped_total", "Late, repeated or crossed replies dropped.", func() float64 { return float64(d.pool.Counts().Dropped) })
	d.metrics.counter("service_calls_total", "Calls sent to plain services, retries included.", func() float64 { return float64(d.services.Counts().Calls) })
	d.metrics.counter("service_retries_total", "Retries of idempotent calls.", func() float64 { return float64(d.services.Counts().Retries) })
	d.metrics.counter("service_retries_denied_total", "Retries that the budget did not allow.", func() float64 { return float64(d.services.Counts().RetriesDenied) })
}
