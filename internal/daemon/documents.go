package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/operator"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// apply makes an accepted document the active one of its environment and stage on
// this instance. If this build can't parse it, the previous document stays active.
func (d *Daemon) apply(entry document.Entry) {
	doc, err := environment.Parse(string(entry.Environment), entry.Body)
	if err != nil {
		d.logger.Error("could not parse accepted document; previous document stays active", zap.String("environment", string(entry.Environment)),
			zap.Int64("version", int64(entry.Version)), zap.Error(err))
		return
	}
	d.catalog.Set(entry.Stage, doc)
	d.mu.Lock()
	d.applied[document.Key{Environment: entry.Environment, Stage: entry.Stage}] = entry.Version
	d.mu.Unlock()
	d.logger.Info("document applied", zap.String("environment", string(entry.Environment)),
		zap.String("stage", string(entry.Stage)), zap.Int64("version", int64(entry.Version)))
}

// broadcastOffset sends the peers the offset up to which this instance has read
// the documents.
func (d *Daemon) broadcastOffset(asOf logservice.Offset) {
	if d.mesh != nil {
		d.mesh.Broadcast(peer.DocumentsOffset{AsOf: asOf})
	}
}

// refreshClaims reads the claims stream up to its current end.
func (d *Daemon) refreshClaims(ctx context.Context, executor *claim.Executor) error {
	for {
		page, err := d.log.Read(ctx, claim.Stream, executor.Next(), 0)
		if err != nil {
			return err
		}
		executor.HandleRecords(time.Now(), page)
		if len(page.Records) == 0 {
			return nil
		}
	}
}

// status returns the state of this instance for the operators' API.
func (d *Daemon) status() operator.Status {
	asOf, _ := d.replica.AsOf()
	token, held := d.elector.Token(time.Now())
	if !held {
		token = -1
	}
	status := operator.Status{
		Instance: string(d.settings.Instance), Zone: string(d.settings.Zone), Incarnation: d.incarnation.String(),
		Ready: d.ready(time.Now()), LogAgeMillis: -1, AsOf: int64(asOf), Keys: d.claims.Len(), FencingToken: int64(token),
	}
	if at := d.replica.ReadAt(); !at.IsZero() {
		status.LogAgeMillis = time.Since(at).Milliseconds()
	}
	status.Documents = d.documentStates()
	for _, p := range d.mesh.Connected() {
		status.Peers = append(status.Peers, operator.PeerState{Instance: string(p.Instance), Zone: string(p.Zone)})
	}
	status.Runners = d.runnerStates()
	return status
}

func (d *Daemon) documentStates() []operator.DocumentState {
	entries := d.replica.Entries()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []operator.DocumentState
	for _, e := range entries {
		applied := d.applied[document.Key{Environment: e.Environment, Stage: e.Stage}] == e.Version
		list = append(list, operator.DocumentState{
			Environment: e.Environment, Stage: e.Stage, Version: e.Version, Digest: e.Digest, Applied: applied,
		})
	}
	return list
}
