package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/platform"
)

// send sends the stream along a path and passes on what comes. A nil error means
// that the client has its end.
func (s *stream) send(ctx context.Context, on place) (streamEnd, error) {
	path := on.path
	s.call.tries++
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := s.gateway.watch.add(s.call, on, cancel)
	defer s.gateway.watch.remove(watched)
	answer, err := s.gateway.exchanger.Send(ctx, on.work.Backend.Address, s.request(path, started))
	end := streamWhole
	if err == nil {
		end, err = s.receive(answer, watched, started)
		answer.Close()
	} else {
		s.noteFailure(ctx, path, err)
	}
	if err != nil && watched.interrupted.Load() {
		err = errors.Join(errLostStage, err)
	}
	watched.end(time.Now())
	if err != nil && s.notRun == nil && ctx.Err() == nil {
		go s.gateway.checkCrash(s.call, on.work.Backend)
	}
	s.logSend(path, started, err)
	return end, err
}

func (s *stream) request(path pipeline.Path, now time.Time) backend.Request {
	request := s.call.request
	request.Header = request.Header.Clone()
	request.Header.Set(platform.HeaderDeadline, platform.FormatDeadline(s.call.left(now)))
	request.Header.Set(platform.HeaderExpectBackend, string(path.IDs[0]))
	request.Header.Set(platform.HeaderPath, platform.FormatPath(path.Hops))
	if s.hasLast {
		request.Header.Set(platform.HeaderLastEventID, strconv.FormatInt(s.lastID, 10))
	}
	return request
}

// noteFailure learns from a send without an answer.
func (s *stream) noteFailure(ctx context.Context, path pipeline.Path, err error) {
	var notSent *backend.NotSentError
	if errors.As(err, &notSent) {
		s.noteNotRun(err)
		if ctx.Err() == nil { // else the client has left while the request connected
			s.gateway.Fleet.MarkSuspect(time.Now(), path.Hops[0].Address)
		}
		return
	}
	s.noteRan(path)
}

func (s *stream) noteRan(path pipeline.Path) {
	s.notRun = nil
	s.ran[path.IDs[0]] = true
}

func (s *stream) noteNotRun(cause error) {
	if len(s.ran) == 0 {
		s.notRun = cause
	}
}

// receive passes on a backend server's answer.
func (s *stream) receive(answer *backend.Response, watched *watched, sent time.Time) (streamEnd, error) {
	path := watched.path()
	if refused(answer.Response) {
		return 0, s.refusedBy(answer, path, sent)
	}
	s.noteRan(path)
	s.gateway.Fleet.RecordAccepted(path)
	if err := checkAnswer(answer.Response, 0); err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK {
		return s.passOn(answer)
	}
	return streamWhole, s.copyEvents(answer, watched)
}

// refusedBy learns which stage refused the request.
func (s *stream) refusedBy(answer *backend.Response, path pipeline.Path, sent time.Time) error {
	at := deployment.Address(answer.Header.Get(platform.HeaderBackendAtFault))
	if at == "" {
		at = path.Hops[0].Address
	}
	now := time.Now()
	switch {
	case now.Sub(sent) > slowRefusal:
		s.gateway.Fleet.MarkSuspect(now, at) // the request waited for it in vain
	case otherBackend(answer.Response, path.IDs[0]):
		s.gateway.Fleet.RemoveReplaced(path.IDs[0])
	case answer.StatusCode == http.StatusMisdirectedRequest:
		s.gateway.Fleet.MarkWrongLayers(now, at)
	default:
		s.gateway.Fleet.MarkFull(now, at)
	}
	err := fmt.Errorf("%w: status %d at %s", errNotExecuted, answer.StatusCode, at)
	s.noteNotRun(err)
	return err
}

// passOn returns an answer that is no stream, such as a backend server's failure.
func (s *stream) passOn(answer *backend.Response) (streamEnd, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, largestAnswer))
	if err != nil {
		return 0, err
	}
	if s.answering {
		return 0, fmt.Errorf("%w: status %d", errUnsigned, answer.StatusCode)
	}
	copyAnswerHeader(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.StatusCode)
	if _, err := s.writer.Write(body); err != nil {
		return 0, errors.Join(errWrite, err)
	}
	return streamPassed, nil
}

// copyEvents passes on each event as it comes, until the clean end.
func (s *stream) copyEvents(answer *backend.Response, watched *watched) error {
	reader := newEventReader(answer.Body)
	s.begin(answer)
	for {
		next, err := reader.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.heard(time.Now())
		if watched.heard(s.lastEvent) {
			s.gateway.Fleet.RecordFirstEvent(s.lastEvent, watched.path().IDs[0], s.lastEvent.Sub(watched.sent))
		}
		if err := s.pass(next, reader.pending()); err != nil {
			return err
		}
	}
}

// heard notes the time of an event.
func (s *stream) heard(now time.Time) {
	if s.firstTook == 0 {
		s.firstTook = now.Sub(s.call.started)
	} else {
		s.longest = max(s.longest, now.Sub(s.lastEvent))
	}
	s.lastEvent = now
}

// begin gives the client the head of the answer, that of the first run only.
func (s *stream) begin(answer *backend.Response) {
	if s.answering {
		return
	}
	s.answering = true
	copyAnswerHeader(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.StatusCode)
	s.gateway.Metrics.firstEvent(s.call, time.Now())
}

// pass gives one event to the client. Events that it has already are left out.
func (s *stream) pass(e event, more bool) error {
	if e.hasID {
		if s.hasLast && e.id <= s.lastID {
			return nil
		}
		if s.hasLast && e.id != s.lastID+1 {
			return fmt.Errorf("%w: %d after %d", errEventOrder, e.id, s.lastID)
		}
		s.lastID, s.hasLast = e.id, true
	}
	if _, err := s.writer.Write(e.data); err != nil {
		return errors.Join(errWrite, err)
	}
	if more {
		return nil // one write for what came together
	}
	if err := s.flusher.Flush(); err != nil {
		return errors.Join(errWrite, err)
	}
	return nil
}

func (s *stream) logSend(path pipeline.Path, started time.Time, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "broken"
		if s.notRun != nil {
			outcome = "not-run"
		}
	}
	s.gateway.Logger.Info("request sent", zap.String("request", s.call.id), zap.String("backend", string(path.IDs[0])),
		zap.String("path", platform.FormatPath(path.Hops)), zap.Int("try", s.call.tries),
		zap.Duration("took-ms", time.Since(started)), zap.Int64("last-event", s.lastID),
		zap.String("outcome", outcome), zap.NamedError("cause", err))
}
