package topiccache

import (
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// answerTimeout is how long a peer may take to answer, and emptyPause the pause after an
	// answer without records while another peer is known to have some.
	answerTimeout = 400 * time.Millisecond
	emptyPause    = 50 * time.Millisecond
	// searchInterval is the interval between requests while no peer is known to have records.
	searchInterval = 250 * time.Millisecond
	// storeGrace is how long the store is given to deliver records that a peer has announced.
	storeGrace = 300 * time.Millisecond
)

// Fetch decides which peer is asked for records of one topic, and when. One peer is asked at a
// time: one that has announced newer records, else any. One that is silent or has nothing newer
// is asked again only after all others. It is not safe for concurrent use.
//
//	fetch.Announce(now, from, next)
//	if to, ok := fetch.Next(now, situation, rand.IntN); ok { ... }
//	fetch.Answered(now, from)
type Fetch struct {
	announced   map[instancelist.ID]platform.Offset
	announcedAt time.Time // of the first announcement that is still ahead
	tried       map[instancelist.ID]bool
	asked       instancelist.ID // whose answer is awaited, empty if none
	askedAt     time.Time
	notBefore   time.Time
}

// Situation is what Fetch.Next depends on beside the announcements.
type Situation struct {
	Position platform.Offset // offset up to which the records are known
	// Overdue is set while the store has not responded for longer than it should.
	Overdue bool
	// StoreFails is set if the last call to the store failed, so that waiting for it is of no use.
	StoreFails bool
	Peers      []instancelist.ID // of the own zone, with a link
	Remote     []instancelist.ID // of other zones, with a link
}

// Announce records that a peer has the records before an offset.
func (f *Fetch) Announce(now time.Time, from instancelist.ID, next platform.Offset) {
	if f.announced == nil {
		f.announced = map[instancelist.ID]platform.Offset{}
	}
	if len(f.announced) == 0 {
		f.announcedAt = now
	}
	if next > f.announced[from] {
		f.announced[from] = next
		delete(f.tried, from)
	}
}

// Answered records that a peer has answered.
func (f *Fetch) Answered(now time.Time, from instancelist.ID) {
	if f.asked != from {
		return
	}
	f.markTried(from)
	f.asked = ""
	f.notBefore = now.Add(emptyPause)
	if len(f.announced) == 0 {
		f.notBefore = f.askedAt.Add(searchInterval)
	}
}

func (f *Fetch) markTried(id instancelist.ID) {
	if f.tried == nil {
		f.tried = map[instancelist.ID]bool{}
	}
	f.tried[id] = true
}

// Active reports whether records are being fetched or are about to be.
func (f *Fetch) Active() bool { return len(f.announced) > 0 || f.asked != "" }

// Next returns the peer to ask now. It returns false if none is to be asked yet. draw returns a
// random number below its argument.
func (f *Fetch) Next(now time.Time, situation Situation, draw func(int) int) (instancelist.ID, bool) {
	for id, next := range f.announced {
		if next <= situation.Position {
			delete(f.announced, id)
		}
	}
	if len(f.announced) == 0 && !situation.Overdue {
		f.asked, f.tried = "", nil
		return "", false
	}
	if f.waits(now, situation) {
		return "", false
	}
	if f.asked != "" {
		f.markTried(f.asked) // it is silent
		f.asked = ""
	}
	candidates := f.candidates(situation)
	if len(candidates) == 0 {
		return "", false
	}
	f.asked, f.askedAt = candidates[draw(len(candidates))], now
	return f.asked, true
}

func (f *Fetch) waits(now time.Time, situation Situation) bool {
	storeMayDeliver := !situation.Overdue && !situation.StoreFails && now.Sub(f.announcedAt) < storeGrace
	awaitsAnswer := f.asked != "" && now.Sub(f.askedAt) < answerTimeout
	return storeMayDeliver || awaitsAnswer || now.Before(f.notBefore)
}

// candidates returns the peers that may be asked: announcers that were not tried, else others that
// were not, those of the own zone first, else all.
func (f *Fetch) candidates(situation Situation) []instancelist.ID {
	announcers, others := f.untried(situation.Peers)
	remoteAnnouncers, remote := f.untried(situation.Remote)
	for _, list := range [][]instancelist.ID{announcers, remoteAnnouncers, others, remote} {
		if len(list) > 0 {
			return list
		}
	}
	f.tried = nil
	return slices.Concat(situation.Peers, situation.Remote)
}

// untried returns the peers that were not tried: those that have announced records, and others.
func (f *Fetch) untried(peers []instancelist.ID) (announcers, others []instancelist.ID) {
	for _, id := range peers {
		_, announced := f.announced[id]
		switch {
		case f.tried[id]:
		case announced:
			announcers = append(announcers, id)
		default:
			others = append(others, id)
		}
	}
	return announcers, others
}
