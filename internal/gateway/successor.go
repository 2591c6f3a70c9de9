package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
)

// seekInterval is the minimum interval between searches for another path for a stream.
const seekInterval = 500 * time.Millisecond

// resender is a stream that may be sent again along another path.
type resender interface {
	// nextPath returns what to ask for, and false if the stream must not be sent again.
	nextPath() (pathRequest, bool)
}

// acquireConnected waits for a path and opens a connection to its first stage, which shows that
// the path is more than a reservation.
func (g *Gateway) acquireConnected(ctx context.Context, request *pathRequest) (reservation, error) {
	for {
		reserved, err := g.queue(request.call.service.Name).acquire(ctx, request.admissionRequest(), request)
		if err != nil {
			return reservation{}, err
		}
		first := reserved.inFlight.Backend.Address
		reserved.connection, err = g.transport.Connect(ctx, first)
		if err == nil {
			return reserved, nil
		}
		reserved.release(time.Now())
		switch {
		case ctx.Err() != nil:
			return reservation{}, ctx.Err()
		case errors.Is(err, backend.ErrCutOff):
			return reservation{}, errCutOff
		}
		g.markUnconnected(time.Now(), first)
	}
}

// seekSuccessor waits for another path for a stream that waits for a failed stage since its last
// event. The stream leaves its path only once another one is reserved and its first stage is
// connected: the stage may only be silent for a while. The search ends when the stream goes on
// or ends, or the stages of its path respond again.
func (m *streamMonitor) seekSuccessor(ctx context.Context, stream *monitoredStream, since int64) {
	request, ok := stream.nextPath()
	if !ok {
		return
	}
	request.needed = func() bool { return m.stalledSince(stream, since) }
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !stream.beginSeek(cancel) {
		return
	}
	next, err := m.successor(ctx, &request)
	if err != nil {
		m.config.Logger.Debug("no other path", zap.String("request", stream.call.id), zap.Error(err))
		return
	}
	if !m.stalledSince(stream, since) || !stream.leaveFor(next, since) {
		next.release(time.Now())
	}
}

// stalledSince reports whether a stream has got no event since a time, in Unix nanoseconds, and
// a stage of its path is suspected.
func (m *streamMonitor) stalledSince(stream *monitoredStream, since int64) bool {
	return stream.lastEvent.Load() == since && len(m.config.Fleet.SuspectsOn(time.Now(), stream.path())) > 0
}

// beginSeek records that another path is sought. cancel is called when the stream goes on or
// ends. It returns false if the stream has ended.
func (s *monitoredStream) beginSeek(cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.stopSeek = cancel
	return true
}

// endSeek ends the search for another path, if one is under way.
func (s *monitoredStream) endSeek() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelSeek()
}

// cancelSeek is called with mu held.
func (s *monitoredStream) cancelSeek() {
	if s.stopSeek != nil {
		s.stopSeek()
		s.stopSeek = nil
	}
}

// leaveFor makes the stream leave its path for another one. It returns false if the stream has
// ended or has got an event since a time, which leaves the reservation to the caller.
func (s *monitoredStream) leaveFor(next pathSuccessor, since int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.lastEvent.Load() != since {
		return false
	}
	s.successor = next
	s.interrupted.Store(true)
	s.interrupt()
	return true
}

// abandon makes the stream leave its path without another one.
func (s *monitoredStream) abandon() {
	s.interrupted.Store(true)
	s.interrupt()
}

// takeSuccessor returns the path for which the stream has left its own, nil if there is none.
func (s *monitoredStream) takeSuccessor() pathSuccessor {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.successor
	s.successor = nil
	return next
}

// nextPath returns what to ask for to send the stream along another path, and false if it must
// not be sent again.
func (s *monitoredStream) nextPath() (pathRequest, bool) {
	s.mu.Lock()
	source := s.source
	s.mu.Unlock()
	if source == nil {
		return pathRequest{}, false
	}
	return source.nextPath()
}

// setSource sets the stream that may be sent along another path.
func (s *monitoredStream) setSource(source resender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source = source
}

// release gives a reservation back that is not used.
func (r *reservation) release(now time.Time) {
	r.inFlight.Done(now, backend.Inconclusive)
	r.giveBackRetry()
	if r.connection != nil {
		r.connection.Close()
	}
}

// giveBackRetry gives the retry back that was taken for a reservation, if one was.
func (r *reservation) giveBackRetry() {
	if r.budget != nil {
		r.budget.GiveBack()
	}
}
