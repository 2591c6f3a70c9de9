package document

import "time"

const (
	// publishUncertainDelay is how long a publisher waits for its record to
	// appear on the log after an append without a response, before it appends
	// the record again.
	publishUncertainDelay = 1 * time.Second
	publishRetryDelay     = 250 * time.Millisecond
)

// PublisherEvent is an input of a Publisher.
type PublisherEvent interface {
	isPublisherEvent()
}

// PublishAppended reports that the log accepted the record.
type PublishAppended struct{}

// PublishRefused reports that the record was not appended and won't be.
type PublishRefused struct{}

// PublishUncertain reports that an append got no usable response: the record may
// be on the log now, later or never.
type PublishUncertain struct{}

// PublishResult is a result of State.Apply, for this or any other publication.
type PublishResult struct {
	Result Result
}

// PublishTick is sent at regular intervals, for retries and the deadline.
type PublishTick struct{}

func (PublishAppended) isPublisherEvent()  {}
func (PublishRefused) isPublisherEvent()   {}
func (PublishUncertain) isPublisherEvent() {}
func (PublishResult) isPublisherEvent()    {}
func (PublishTick) isPublisherEvent()      {}

// PublisherAction is an output of a Publisher, for its caller to execute.
type PublisherAction interface {
	isPublisherAction()
}

// AppendPublication appends the record to the log.
type AppendPublication struct {
	Publication Publication
}

// PublishDone ends a publication with its result.
type PublishDone struct {
	Result Result
}

// PublishTimedOut ends a publication without a result. MayTakeEffect is set if
// the record is on the log or an append may still put it there.
type PublishTimedOut struct {
	MayTakeEffect bool
}

func (AppendPublication) isPublisherAction() {}
func (PublishDone) isPublisherAction()       {}
func (PublishTimedOut) isPublisherAction()   {}

// Publisher is the state machine of one publication, from the append to the
// result. Appending the same publication twice is harmless: once the first copy
// has taken effect, the base of the second is stale.
type Publisher struct {
	publication Publication
	deadline    time.Time
	// nextAppend is the time from which to append again. It is ignored while an
	// append is in flight and once the log has accepted the record.
	nextAppend time.Time
	appending  bool
	appended   bool
	uncertain  bool
	ended      bool
}

// NewPublisher returns a publisher that times out at deadline.
func NewPublisher(p Publication, deadline time.Time) *Publisher {
	return &Publisher{publication: p, deadline: deadline}
}

// Start begins an append and returns the action for it.
func (p *Publisher) Start() []PublisherAction {
	p.appending = true
	return []PublisherAction{AppendPublication{Publication: p.publication}}
}

// Handle processes an event and returns the actions to execute.
func (p *Publisher) Handle(now time.Time, event PublisherEvent) []PublisherAction {
	if p.ended {
		return nil
	}
	switch e := event.(type) {
	case PublishAppended:
		p.appending, p.appended = false, true
	case PublishRefused:
		p.appending = false
		p.nextAppend = now.Add(publishRetryDelay)
	case PublishUncertain:
		p.appending, p.uncertain = false, true
		p.nextAppend = now.Add(publishUncertainDelay)
	case PublishResult:
		return p.handleResult(e.Result)
	case PublishTick:
		return p.tick(now)
	}
	return nil
}

func (p *Publisher) handleResult(result Result) []PublisherAction {
	switch v := result.(type) {
	case Accepted:
		if v.Entry.ID != p.publication.ID {
			return nil
		}
	case Refused:
		if v.ID != p.publication.ID {
			return nil
		}
		if v.Winner.ID == p.publication.ID {
			// A second copy of the record was refused because the first one
			// had taken effect.
			result = Accepted{Entry: v.Winner}
		}
	default:
		return nil
	}
	p.ended = true
	return []PublisherAction{PublishDone{Result: result}}
}

func (p *Publisher) tick(now time.Time) []PublisherAction {
	if !now.Before(p.deadline) {
		p.ended = true
		return []PublisherAction{PublishTimedOut{MayTakeEffect: p.uncertain || p.appended || p.appending}}
	}
	if p.appending || p.appended || now.Before(p.nextAppend) {
		return nil
	}
	return p.Start()
}
