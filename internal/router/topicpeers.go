package router

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// fetchInterval is the interval at which a fetch that is under way is looked at, and
	// fetchIdleInterval that of the checks whether one is needed.
	fetchInterval     = 50 * time.Millisecond
	fetchIdleInterval = 250 * time.Millisecond
	// answerBytesPerSecond and answerBurstBytes bound the records that an instance sends to those
	// that ask, so that most of its link is left for clients. Who gets none asks another one.
	answerBytesPerSecond = 256 << 10
	answerBurstBytes     = 64 << 10
)

// newAnswerLimiter returns the bound on the records that are sent to peers that ask.
func newAnswerLimiter() *rate.Limiter { return rate.NewLimiter(answerBytesPerSecond, answerBurstBytes) }

// fetchFromPeers asks peers for records of a consumer's topic, one at a time, when one of them has
// newer ones or the store is overdue, until ctx ends.
func (r *Router) fetchFromPeers(ctx context.Context, c *consumer) {
	timer := time.NewTimer(fetchIdleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.announced:
		case <-timer.C:
		}
		inZone, remote := r.linkedPeers()
		to, from, ok := c.nextRequest(time.Now(), inZone, remote)
		if ok {
			r.mesh.Send(to, peer.TopicRecordsRequest{Topic: c.topic, From: from, Compressed: true})
		}
		timer.Reset(c.fetchDelay())
	}
}

// linkedPeers returns the linked instances of this zone and of other zones.
func (r *Router) linkedPeers() (inZone, remote []instancelist.ID) {
	for _, hello := range r.mesh.Connected() {
		if hello.Zone == instancelist.Zone(r.settings.Zone) {
			inZone = append(inZone, hello.Instance)
		} else {
			remote = append(remote, hello.Instance)
		}
	}
	return inZone, remote
}

// nextRequest returns whom to ask now, and from which offset on. A consumer that does not know the
// newest record of each key needs all records.
func (c *consumer) nextRequest(now time.Time, inZone, remote []instancelist.ID) (instancelist.ID, platform.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, complete := c.reader.Position()
	situation := topiccache.Situation{
		Position: next, Overdue: c.reader.Overdue(now, max(c.wait, backendListInterval)),
		StoreFails: c.reader.Fails(), Peers: inZone, Remote: remote,
	}
	to, ok := c.fetch.Next(now, situation, rand.IntN)
	if !complete {
		return to, 0, ok
	}
	return to, next, ok
}

// fetchDelay returns the time to the next look at the fetch.
func (c *consumer) fetchDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetch.Active() {
		return fetchInterval
	}
	return fetchIdleInterval
}

// announce records that a peer has records up to an offset, and wakes the fetch if they are new.
func (c *consumer) announce(now time.Time, from instancelist.ID, offset platform.Offset) {
	c.mu.Lock()
	next, _ := c.reader.Position()
	c.heardNext = max(c.heardNext, offset)
	if offset > next {
		c.fetch.Announce(now, from, offset)
	}
	c.mu.Unlock()
	if offset > next {
		c.wakeFetch()
	}
}

// wakeFetch makes fetchFromPeers look at once whether a peer is to be asked.
func (c *consumer) wakeFetch() {
	select {
	case c.announced <- struct{}{}:
	default:
	}
}

// answered records that a peer has answered a request.
func (c *consumer) answered(now time.Time, from instancelist.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetch.Answered(now, from)
}

// answerTopicRequest sends a peer the records that it asks for, or this instance's offset if it
// has nothing newer or has sent too much lately.
func (r *Router) answerTopicRequest(now time.Time, from peer.Hello, request peer.TopicRecordsRequest) {
	c := r.consumerOf(request.Topic)
	if c == nil {
		return
	}
	answer, size, ok := c.answer(request)
	if !ok || !r.answers.AllowN(now, min(size, answerBurstBytes)) {
		next, _ := c.position()
		r.mesh.Send(from.Instance, announcement(request.Topic, next))
		return
	}
	r.mesh.Send(from.Instance, answer)
}

// answer returns the answer to a request and its size in bytes. It returns false if there is
// nothing newer.
func (c *consumer) answer(request peer.TopicRecordsRequest) (peer.TopicRecords, int, bool) {
	update, ok := c.cache.Since(request.From)
	if !ok {
		return peer.TopicRecords{}, 0, false
	}
	answer := peer.TopicRecords{Topic: request.Topic, Update: update}
	size := update.Size()
	if !request.Compressed || size <= maxPushBytes {
		return answer, size, true
	}
	changes, err := update.Compress()
	if err != nil {
		return answer, size, true
	}
	size = 0
	for _, change := range changes {
		size += len(change.Key) + len(change.Data)
	}
	answer.Update.Records = nil
	answer.Differences = &topiccache.Differences{From: update.From, Next: update.Next, Changes: changes}
	return answer, size, true
}

// handleTopicRecords applies records from a peer, or fetches what a push or an announcement lacks.
// The first instance of the zone relays the pushes from other zones to the zone's instances.
func (r *Router) handleTopicRecords(from peer.Hello, message peer.TopicRecords) {
	c := r.consumerOf(message.Topic)
	if c == nil {
		return
	}
	now := time.Now()
	if message.Announced {
		c.announce(now, from.Instance, message.Update.Next)
		c.answered(now, from.Instance)
		return
	}
	update, complete := r.updateOf(c, from, message)
	if !message.Pushed {
		r.handleTopicAnswer(now, c, from, update, complete)
		return
	}
	crossZone := from.Zone != instancelist.Zone(r.settings.Zone)
	if crossZone && r.relayRole().relaysToZone {
		r.mesh.BroadcastZone(message)
	}
	if complete && c.handlePush(now, update) {
		return
	}
	if message.Differences == nil && len(update.Records) == 0 || crossZone {
		c.readOnce()
	}
	c.announce(now, from.Instance, message.Update.Next)
}

func (r *Router) handleTopicAnswer(now time.Time, c *consumer, from peer.Hello, update topiccache.Update, complete bool) {
	if complete {
		r.logger.Info("records of a peer", zap.String("peer", string(from.Instance)), zap.String("topic", c.topic),
			zap.Int("count", len(update.Records)), zap.Int64("next", int64(update.Next)))
		c.handle(now, update, false)
	}
	c.answered(now, from.Instance)
}

// updateOf returns the update that a message carries, decoded from differences if it has such. It
// returns false if the records that these differ from are not known, or they can't be decoded.
func (r *Router) updateOf(c *consumer, from peer.Hello, message peer.TopicRecords) (topiccache.Update, bool) {
	if message.Differences == nil {
		return message.Update, true
	}
	update, known, err := c.cache.DecodeDifferences(*message.Differences)
	if err != nil {
		r.logger.Info("ignoring records of a peer", zap.String("peer", string(from.Instance)), zap.String("topic", c.topic), zap.Error(err))
	}
	update.Snapshot, update.Compacted = message.Update.Snapshot, message.Update.Compacted
	return update, known
}
