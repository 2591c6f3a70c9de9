package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/platform"
)

// attempt sends the request along a path and forwards the response. The error is nil if a
// complete response was written to the client.
func (s *stream) attempt(ctx context.Context, reserved reservation) (streamOutcome, error) {
	path := reserved.path
	s.countAttempt()
	started := time.Now()
	clientCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	monitored := s.gateway.monitor.add(s.call, reserved, s.hasBegun(), cancel)
	defer s.gateway.monitor.remove(monitored)
	defer func() { monitored.end(time.Now()) }()
	if s.call.decision.Route.Resumable {
		monitored.setSource(&streamInFlight{stream: s, first: path.IDs[0]})
	}
	received := s.gateway.Metrics.countCrossing(reserved.crossing, s.call.request.Body)
	response, err := s.send(ctx, reserved, started)
	outcome := streamComplete
	if err == nil {
		countBody(response, received)
		s.answeredBy = reserved.inFlight.Backend.Incarnation()
		outcome, err = s.handleResponse(ctx, response, monitored, started)
		response.Close()
	} else {
		s.recordFailure(ctx, reserved, err)
	}
	left := monitored.interrupted.Load()
	if err != nil && left {
		err = errors.Join(errUnresponsiveStage, err)
	}
	s.recordBreak(breakCauseOf(err, left), monitored.hasEvents.Load())
	now := time.Now()
	monitored.end(now)
	s.next = monitored.takeSuccessor()
	s.recordStall(err)
	s.gateway.ends.finish(now, monitored.watched(), err != nil)
	suspected := s.suspectedOf(now, monitored, err)
	s.logAttempt(reserved, started, monitored.hasEvents.Load(), err)
	s.checkEnds(clientCtx, suspected)
	return outcome, err
}

// recordStall records that a stream is to be sent again whose attempt broke off or was left.
func (s *stream) recordStall(err error) {
	if err == nil || !s.hasBegun() {
		return
	}
	s.call.recordStall(s.lastEventAt, "resent")
	s.call.markMoved("resent")
}

// countAttempt counts an attempt that begins.
func (s *stream) countAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.call.attempts++
}

// send sends the request over the open connection of a reservation, or over a new one.
func (s *stream) send(ctx context.Context, reserved reservation, now time.Time) (*backend.Response, error) {
	request := s.backendRequest(reserved.path, now)
	if reserved.connection != nil {
		return reserved.connection.Send(ctx, request)
	}
	return s.gateway.transport.Send(ctx, reserved.inFlight.Backend.Address, request)
}

// recordBreak records why an attempt was broken. That this instance left a path stays on record
// until an event has arrived since.
func (s *stream) recordBreak(cause breakCause, hadEvents bool) {
	if s.brokenBy != brokenByLeaving || hadEvents {
		s.brokenBy = cause
	}
}

// streamInFlight is a resumable stream during an attempt.
type streamInFlight struct {
	stream *stream
	first  deployment.BackendID // first stage of the attempt, which may run the request
}

// nextPath implements resender.
func (f *streamInFlight) nextPath() (pathRequest, bool) {
	request := f.stream.pathRequest()
	request.ran[f.first] = true
	request.arrived = true
	return request, request.attempts < maxStreamAttempts
}

// hasBegun reports whether the answer to the request has begun.
func (s *stream) hasBegun() bool { return s.hasLastEventID || s.timeToFirstEvent > 0 }

// suspectedOf returns the stages that may have ended during an attempt that broke off: the
// first one, unless it rejected the request, and those that don't respond.
func (s *stream) suspectedOf(now time.Time, monitored *monitoredStream, err error) []suspectedEnd {
	if err == nil || errors.Is(err, errWrite) {
		return nil
	}
	path := monitored.path()
	unresponsive := s.gateway.Fleet.SuspectsOn(now, path)
	var suspected []suspectedEnd
	servers := monitored.watched().servers
	for i, server := range servers {
		switch {
		case i == 0 && !errors.Is(err, errNotExecuted):
			suspected = append(suspected, suspectedEnd{server: server, at: now, others: otherStages(servers, server)})
		case slices.Contains(unresponsive, server.Address):
			suspected = append(suspected, suspectedEnd{server: server, others: otherStages(servers, server)})
		}
	}
	return suspected
}

// checkEnds checks whether stages have ended. It waits for the result before a retry only if
// the answer has not begun: otherwise the request is not to blame.
func (s *stream) checkEnds(ctx context.Context, suspected []suspectedEnd) {
	if len(suspected) == 0 || ctx.Err() != nil {
		return
	}
	if s.hasBegun() {
		s.awaitEndCheck(ctx, suspected)
		return
	}
	if s.gateway.ends.checkEnds(ctx, suspected) {
		s.call.endedServer.Store(true)
	}
}

// maxEndCheckWait is how long a stream that has begun waits for the check of its stages, so that
// it is not sent again to one that has ended. In a zone a refused connection takes 0.5 ms.
const maxEndCheckWait = 8 * time.Millisecond

// awaitEndCheck checks whether stages have ended, and waits for the result for a short time.
func (s *stream) awaitEndCheck(ctx context.Context, suspected []suspectedEnd) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.gateway.ends.checkEnds(context.WithoutCancel(ctx), suspected)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(maxEndCheckWait):
	}
}

func (s *stream) backendRequest(path pipeline.Path, now time.Time) backend.Request {
	request := s.call.request
	request.Header = request.Header.Clone()
	s.call.setAttemptHeader(request.Header, now, path.IDs[0])
	request.Header.Set(platform.HeaderPath, platform.FormatPath(path.Hops))
	if s.hasLastEventID {
		request.Header.Set(platform.HeaderLastEventID, strconv.FormatInt(s.lastEventID, 10))
	}
	return request
}

// recordFailure records an attempt that got no response. One that was not sent is no retry.
func (s *stream) recordFailure(ctx context.Context, reserved reservation, err error) {
	path := reserved.path
	var notSent *backend.NotSentError
	if errors.As(err, &notSent) {
		reserved.giveBackRetry()
		s.recordNotRun(err)
		if ctx.Err() == nil && !errors.Is(err, backend.ErrCutOff) { // otherwise the attempt was canceled while connecting, which says nothing of the stage
			s.gateway.markUnconnected(time.Now(), path.Hops[0].Address)
		}
		return
	}
	s.recordRan(path)
}

func (s *stream) recordRan(path pipeline.Path) {
	s.notRunCause = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[path.IDs[0]] = true
	s.arrived = true
}

func (s *stream) recordNotRun(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ran) == 0 {
		s.notRunCause = cause
	}
}

// handleResponse forwards a backend server's response or records its rejection.
func (s *stream) handleResponse(ctx context.Context, response *backend.Response, monitored *monitoredStream, sent time.Time) (streamOutcome, error) {
	path := monitored.path()
	if !backendReplaced(response.Response, path.IDs[0]) {
		s.gateway.recordStatements(time.Now(), s.call, response.Response, s.answeredBy)
	}
	if notExecuted(response.Response) {
		return 0, s.recordRejection(response, path, sent)
	}
	s.recordRan(path)
	for _, id := range s.gateway.Fleet.RecordAccepted(path) {
		s.gateway.OnObservation(id, backend.StageAccepted)
	}
	return s.forward(ctx, response, &attemptObserver{stream: s, monitored: monitored})
}

// forward forwards a backend server's response to the client.
func (s *stream) forward(ctx context.Context, response *backend.Response, observer eventObserver) (streamOutcome, error) {
	if err := validateResponse(response.Response, 0); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return s.forwardErrorStatus(response)
	}
	return streamComplete, s.forwardEvents(ctx, response, observer)
}

// eventObserver observes the events of a stream.
type eventObserver interface {
	// observeEvent is called with the time of each event, before it is written.
	observeEvent(now time.Time)
}

// attemptObserver observes the events of an attempt at backend servers.
type attemptObserver struct {
	stream    *stream
	monitored *monitoredStream
}

// observeEvent implements eventObserver.
func (o *attemptObserver) observeEvent(now time.Time) {
	g := o.stream.gateway
	o.stream.call.events.Add(1)
	o.stream.call.logContinued(g.Logger, now)
	if wentOn := o.monitored.wentOn.Swap(g.monitor.silence.event(now, o.monitored)); wentOn {
		g.Fleet.RecordPassed(o.monitored.path(), now.Add(-o.monitored.sinceLastEvent(now)))
	}
	if o.monitored.sinceLastEvent(now) >= stallThreshold {
		g.Fleet.RecordResponsive(o.monitored.path())
	}
	watched := o.monitored.watched()
	watched.recordEvent(now)
	if o.monitored.recordEvent(now) {
		g.ends.recordBegun(now, watched)
		g.Fleet.RecordFirstEvent(now, o.monitored.path().IDs[0], now.Sub(o.monitored.sent))
	}
}

// recordRejection records which stage rejected the request, and why.
func (s *stream) recordRejection(response *backend.Response, path pipeline.Path, sent time.Time) error {
	address := deployment.Address(response.Header.Get(platform.HeaderBackendAtFault))
	if address == "" {
		address = path.Hops[0].Address
	}
	now := time.Now()
	switch {
	case now.Sub(sent) > slowRejectionTime:
		s.gateway.markSuspect(now, address) // the request waited for it until a timeout
	case backendReplaced(response.Response, path.IDs[0]):
		s.gateway.recordReplaced(time.Now(), path.IDs[0])
	case response.StatusCode == http.StatusMisdirectedRequest:
		s.gateway.Fleet.MarkWrongLayers(now, address)
	default:
		s.gateway.markFull(now, address)
		s.checkRejectingStage(path, address)
	}
	err := fmt.Errorf("%w: status %d at %s", errNotExecuted, response.StatusCode, address)
	s.mu.Lock()
	s.arrived = true
	s.mu.Unlock()
	s.recordNotRun(err)
	return err
}

// checkRejectingStage checks whether a later stage has ended for which the first one has rejected
// the request: its rejection does not tell that from a full stage. Only the first of several
// rejections is checked.
func (s *stream) checkRejectingStage(path pipeline.Path, address deployment.Address) {
	if address == path.Hops[0].Address {
		return
	}
	if server, ok := s.gateway.Fleet.RejectedOnce(address); ok {
		go s.gateway.ends.checkEnd(context.Background(), suspectedEnd{server: server})
	}
}

// forwardErrorStatus forwards a backend server's response with a status other than 200,
// unless the header of an earlier attempt was written before.
func (s *stream) forwardErrorStatus(response *backend.Response) (streamOutcome, error) {
	ctx, cancel := context.WithDeadline(context.Background(), s.call.deadline)
	defer cancel()
	body, err := s.call.readResponse(ctx, response.Body, response.ContentLength)
	if err != nil {
		return 0, err
	}
	if err := validateResponse(response.Response, len(body)); err != nil {
		return 0, err
	}
	if s.headerWritten {
		return 0, fmt.Errorf("%w: status %d", errUnsigned, response.StatusCode)
	}
	copyResponseHeader(s.writer.Header(), response.Header)
	s.call.markAnswered(s.writer.Header(), s.answeredBy, s.ranServers())
	s.writer.WriteHeader(response.StatusCode)
	if err := s.call.writeBody(s.writer, body); err != nil {
		return 0, errors.Join(errWrite, err)
	}
	return streamErrorStatus, nil
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// forwardEvents forwards events as they arrive until the stream ends cleanly. To a stream that has
// begun only a response of events is added.
func (s *stream) forwardEvents(ctx context.Context, response *backend.Response, observer eventObserver) error {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if s.headerWritten && (err != nil || mediaType != eventStreamType) {
		return fmt.Errorf("%w: content type %q", errNoEvent, response.Header.Get("Content-Type"))
	}
	reader := newSSEReader(response.Body, eventMemory{
		hold: func(size int64) error { return s.call.Hold(ctx, size) }, release: s.call.room.release,
	})
	defer reader.close()
	s.writeHeader(response)
	for {
		next, err := reader.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.recordEvent(time.Now())
		observer.observeEvent(s.lastEventAt)
		if err := s.forwardEvent(next, reader.hasCompleteEvent()); err != nil {
			return err
		}
	}
}

// recordEvent updates the stream's timing for an event that arrives now.
func (s *stream) recordEvent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timeToFirstEvent == 0 {
		s.timeToFirstEvent = now.Sub(s.call.started)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// writeHeader passes the response header to the ResponseWriter, which sends it at the
// latest with the next flush. Later attempts continue the response of the first one, so
// their headers are dropped.
func (s *stream) writeHeader(response *backend.Response) {
	if s.headerWritten {
		return
	}
	s.mu.Lock()
	s.headerWritten = true
	s.mu.Unlock()
	copyResponseHeader(s.writer.Header(), response.Header)
	s.call.markAnswered(s.writer.Header(), s.answeredBy, s.ranServers())
	s.writer.WriteHeader(response.StatusCode)
	s.gateway.Metrics.observeFirstEvent(s.call, time.Now())
}

// ranServers returns the first stages that may have run the request, sorted.
func (s *stream) ranServers() []deployment.BackendID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.ran))
}

// forwardEvent sends an event to the client unless the client already has it. more
// reports whether another complete event is buffered. Once the client has an event with an id,
// what has none is no event of the stream.
func (s *stream) forwardEvent(e sseEvent, more bool) error {
	if s.hasLastEventID && !e.hasID && !e.isComment() {
		return fmt.Errorf("%w after %d", errNoEvent, s.lastEventID)
	}
	if e.hasID {
		if s.hasLastEventID && e.id <= s.lastEventID {
			return nil
		}
		if s.hasLastEventID && e.id != s.lastEventID+1 {
			return fmt.Errorf("%w: %d after %d", errEventOrder, e.id, s.lastEventID)
		}
		s.mu.Lock()
		s.lastEventID, s.hasLastEventID = e.id, true
		s.mu.Unlock()
	}
	if _, err := s.writer.Write(e.data); err != nil {
		return errors.Join(errWrite, err)
	}
	if more {
		return nil // flushed once, together with the next event
	}
	if err := s.flusher.Flush(); err != nil {
		return errors.Join(errWrite, err)
	}
	return nil
}

func (s *stream) logAttempt(reserved reservation, started time.Time, hadEvents bool, err error) {
	path := reserved.path
	outcome := "answered"
	if err != nil {
		outcome = "broken"
		if s.notRunCause != nil {
			outcome = "not-run"
		}
	}
	s.gateway.Logger.Info("request sent", zap.String("request", s.call.id), zap.String("backend", string(path.IDs[0])),
		zap.String("path", platform.FormatPath(path.Hops)), zap.Int("try", s.call.attempts),
		zap.Duration("queued-ms", reserved.queued), zap.Int("first-stage-load", path.FirstStageRequests), zap.Duration("predicted-token-ms", path.Cost),
		zap.Duration("took-ms", time.Since(started)), zap.Int64("last-event", s.lastEventID),
		zap.Bool("had-events", hadEvents), partsField(s.call), zap.String("outcome", outcome), zap.NamedError("cause", err))
}
