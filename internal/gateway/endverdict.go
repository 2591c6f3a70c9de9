package gateway

import (
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
)

// merge adds the evidence of another instance and what this one has to add to it. It
// returns what was new of the peer's.
func (e *endWatch) merge(now time.Time, from deployment.InstanceID, evidence poison.Evidence) poison.Evidence {
	e.mu.Lock()
	var fresh []poison.End
	for _, end := range evidence.Ends {
		if !e.tracker.Ended(end.Incarnation) {
			fresh = append(fresh, end)
		}
	}
	news := e.tracker.Merge(now, evidence)
	var own poison.Evidence
	for _, end := range fresh {
		at := now.Add(-end.Age)
		added := e.tracker.RecordEnd(now, at, end.Incarnation, append(e.blamedFor(at, end.Incarnation), e.takeUnproven(end.Incarnation)...))
		own.Ends = append(own.Ends, added.Ends...)
		own.Begun = append(own.Begun, added.Begun...)
	}
	e.changed(now, news)
	e.changed(now, own)
	e.mu.Unlock()
	e.tell(own)
	for _, end := range fresh {
		e.config.Fleet.RecordPeerEnd(now, from, end.Incarnation)
		if e.config.Fleet.Serving(end.Incarnation) {
			e.onPeerEnd(now, end.Incarnation.Server)
		}
		e.logEnd(deployment.Backend{ID: end.Incarnation.Server, StartedAt: time.UnixMilli(end.Incarnation.StartedAt)}, toldByPeer, from, len(end.Blamed))
	}
	return news
}

// changed interrupts the attempts whose requests have come to be held. It is called with mu
// held.
func (e *endWatch) changed(now time.Time, news poison.Evidence) {
	if news.Empty() {
		return
	}
	e.changedAt = now
	held := e.tracker.HeldKeys(now)
	if held != e.heldKeys {
		e.config.Metrics.setHeldKeys(held)
		e.config.Logger.Info("requests held back", zap.Int("parts-or-requests", held), zap.Int("before", e.heldKeys))
	}
	e.heldKeys = held
	if held == 0 {
		return
	}
	for a := range e.attempts {
		if !a.begun && !a.trial && a.interrupt != nil && e.tracker.Judge(now, a.call.keys) == poison.Held {
			a.interrupt()
		}
	}
}

// tell passes news to the other instances.
func (e *endWatch) tell(news poison.Evidence) {
	if !news.Empty() {
		e.config.OnPoisonEvidence(news)
	}
}

// judge returns the verdict on a request.
func (e *endWatch) judge(now time.Time, c *call) poison.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Judge(now, c.keys)
}

// admit returns a *heldBackError if a request must not be sent now.
func (e *endWatch) admit(now time.Time, c *call) error {
	verdict := e.judge(now, c)
	ended := c.endedServer.Load()
	if verdict == poison.Held && (ended || !c.trial) || verdict == poison.Suspected && ended {
		return &heldBackError{verdict: verdict}
	}
	return nil
}

// admitTrial lets a held request be sent once as a trial where one is due.
func (e *endWatch) admitTrial(now time.Time, c *call) {
	e.mu.Lock()
	if e.tracker.Judge(now, c.keys) != poison.Held {
		e.mu.Unlock()
		return
	}
	news, ok := e.tracker.Try(now, c.keys)
	c.trial = ok
	e.mu.Unlock()
	if ok {
		e.config.Logger.Info("held request sent as a trial", zap.String("request", c.id), partsField(c))
	}
	e.tell(news)
}

// evidence returns all that this instance knows, and when that last changed.
func (e *endWatch) evidence(now time.Time) (poison.Evidence, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Evidence(now), e.changedAt
}
