package document

import "time"

const (
	// publishSearch is how long a publication is looked for on the log after
	// an append without an answer, before it is appended again.
	publishSearch = 1 * time.Second
	publishRetry  = 250 * time.Millisecond
)

// PublisherEvent is something that happened to a publication.
type PublisherEvent interface {
	isPublisherEvent()
}

// PublishAppended says that the log took the record.
type PublishAppended struct{}

// PublishRefused says that the log did not take the record.
type PublishRefused struct{}

// PublishUncertain says that the append had no answer.
type PublishUncertain struct{}

// PublishResult is a verdict of the fold about any publication.
type PublishResult struct {
	Result Result
}

// PublishTick says that time has passed.
type PublishTick struct{}

func (PublishAppended) isPublisherEvent()  {}
func (PublishRefused) isPublisherEvent()   {}
func (PublishUncertain) isPublisherEvent() {}
func (PublishResult) isPublisherEvent()    {}
func (PublishTick) isPublisherEvent()      {}

// PublisherAction is something to do for a publication.
type PublisherAction interface {
	isPublisherAction()
}

// AppendPublication asks for the record to be appended.
type AppendPublication struct {
	Publication Publication
}

// PublishDone ends a publication with its verdict.
type PublishDone struct {
	Result Result
}

// PublishTimedOut ends a publication without a verdict. MayTakeEffect says that
// an append without an answer may still bring it into force.
type PublishTimedOut struct {
	MayTakeEffect bool
}

func (AppendPublication) isPublisherAction() {}
func (PublishDone) isPublisherAction()       {}
func (PublishTimedOut) isPublisherAction()   {}

// Publisher drives one publication. Appending the same publication twice is
// harmless: once the first is in force, the base of the second is stale.
type Publisher struct {
	publication Publication
	deadline    time.Time
	// next is when to append again; zero while an append is under way or the
	// record is known to be on the log.
	next      time.Time
	appending bool
	landed    bool
	uncertain bool
	ended     bool
}

// NewPublisher returns a publisher that gives up at deadline.
func NewPublisher(p Publication, deadline time.Time) *Publisher {
	return &Publisher{publication: p, deadline: deadline}
}

// Start returns the first action.
func (p *Publisher) Start() []PublisherAction {
	p.appending = true
	return []PublisherAction{AppendPublication{Publication: p.publication}}
}

// Handle takes an event and returns what to do.
func (p *Publisher) Handle(now time.Time, event PublisherEvent) []PublisherAction {
	if p.ended {
		return nil
	}
	switch e := event.(type) {
	case PublishAppended:
		p.appending, p.landed = false, true
	case PublishRefused:
		p.appending = false
		p.next = now.Add(publishRetry)
	case PublishUncertain:
		p.appending, p.uncertain = false, true
		p.next = now.Add(publishSearch)
	case PublishResult:
		return p.judge(e.Result)
	case PublishTick:
		return p.tick(now)
	}
	return nil
}

func (p *Publisher) judge(verdict Result) []PublisherAction {
	switch v := verdict.(type) {
	case Accepted:
		if v.Entry.ID != p.publication.ID {
			return nil
		}
	case Refused:
		if v.ID != p.publication.ID {
			return nil
		}
		if v.Winner.ID == p.publication.ID {
			// A repeat of the record lost against its first copy.
			verdict = Accepted{Entry: v.Winner}
		}
	default:
		return nil
	}
	p.ended = true
	return []PublisherAction{PublishDone{Result: verdict}}
}

func (p *Publisher) tick(now time.Time) []PublisherAction {
	if !now.Before(p.deadline) {
		p.ended = true
		return []PublisherAction{PublishTimedOut{MayTakeEffect: p.uncertain || p.landed || p.appending}}
	}
	if p.appending || p.landed || now.Before(p.next) {
		return nil
	}
	return p.Start()
}
