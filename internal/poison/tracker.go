package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// evidenceTTL is how long an end counts.
	evidenceTTL = 6 * time.Hour
	// maxEnds bounds the ends that are kept, and maxBlamed the attempts of one end.
	maxEnds   = 128
	maxBlamed = 192
	// maxKeysOfAttempt bounds the keys of one attempt.
	maxKeysOfAttempt = 32
	// maxBegun bounds the keys of ends whose last answer is kept, and maxTrials the keys
	// whose last trial is kept.
	maxBegun  = 32768
	maxTrials = 256
	// maxOwnBegun and ownBegunTTL bound the keys of answers that began here. They are kept
	// because the notice of an end may arrive after an answer has begun.
	maxOwnBegun = 8192
	ownBegunTTL = 30 * time.Second
)

// end is what is known of the end of one incarnation.
type end struct {
	at       time.Time // the earliest time that was told
	answered time.Time // when the first answer to any request began after it, zero if none did
	blamed   map[Attempt][]Key
}

// Tracker holds the evidence and computes verdicts from it.
type Tracker struct {
	// jitter from 0 to 1 differs between instances, so that they don't try at the same time.
	jitter float64

	ends     map[deployment.Incarnation]*end
	begun    map[Key]time.Time // keys of ends
	trials   map[Key]time.Time
	ownBegun map[Key]time.Time
	// lastBegun is when the last answer to any request began here, and unanswered holds the
	// ends after which none is known to have begun.
	lastBegun  time.Time
	unanswered map[deployment.Incarnation]bool

	verdicts verdicts
}

// NewTracker returns a tracker without evidence. jitter is a number from 0 to 1 that should
// differ between instances.
func NewTracker(jitter float64) *Tracker {
	return &Tracker{
		jitter: jitter, ends: map[deployment.Incarnation]*end{}, begun: map[Key]time.Time{}, trials: map[Key]time.Time{},
		ownBegun: map[Key]time.Time{}, unanswered: map[deployment.Incarnation]bool{},
	}
}

// EndedAt returns when an incarnation ended, and false if it is not known to have.
func (t *Tracker) EndedAt(incarnation deployment.Incarnation) (time.Time, bool) {
	known, ok := t.ends[incarnation]
	if !ok {
		return time.Time{}, false
	}
	return known.at, true
}

// Ended reports whether an incarnation is known to have ended.
func (t *Tracker) Ended(incarnation deployment.Incarnation) bool {
	_, ok := t.ends[incarnation]
	return ok
}

// RecordEnd records that a server ended at a time, with the attempts of this instance that
// are to be blamed. It returns what is new, to be sent to the other instances.
func (t *Tracker) RecordEnd(now, at time.Time, incarnation deployment.Incarnation, blamed []Blamed) Evidence {
	return t.Merge(now, Evidence{Ends: []End{{Incarnation: incarnation, Age: now.Sub(at), Blamed: blamed}}})
}

// RecordBegun records that the answer to a request with some keys has begun. It returns the
// keys that this clears, to be sent to the other instances.
func (t *Tracker) RecordBegun(now time.Time, keys []Key) Evidence {
	t.lastBegun = now
	news := Evidence{Ends: t.answerEnds(now)}
	for _, key := range keys {
		t.recordOwnBegun(now, key)
		if t.verdictsAt(now).live[key] == 0 {
			continue
		}
		t.begun[key] = now
		t.verdicts.valid = false
		news.Begun = append(news.Begun, KeyAge{Key: key})
	}
	return news
}

// answerEnds records that an answer has begun after the ends that had none, and returns them.
func (t *Tracker) answerEnds(now time.Time) []End {
	var ends []End
	for incarnation := range t.unanswered {
		known := t.ends[incarnation]
		if known != nil && known.at.After(now) {
			continue
		}
		delete(t.unanswered, incarnation)
		if known != nil {
			known.answered = now
			ends = append(ends, End{Incarnation: incarnation, Age: now.Sub(known.at), Answered: true})
			t.verdicts.valid = false
		}
	}
	return ends
}

func (t *Tracker) recordOwnBegun(now time.Time, key Key) {
	if _, known := t.ownBegun[key]; !known && len(t.ownBegun) >= maxOwnBegun {
		maps.DeleteFunc(t.ownBegun, func(_ Key, at time.Time) bool { return now.Sub(at) > ownBegunTTL })
		if len(t.ownBegun) >= maxOwnBegun {
			clear(t.ownBegun)
		}
	}
	t.ownBegun[key] = now
}

// Merge adds the evidence of another instance. It returns what was new, with answers that
// began here and clear some of it.
func (t *Tracker) Merge(now time.Time, evidence Evidence) Evidence {
	news := Evidence{Begun: mergeLatest(now, t.begun, evidence.Begun), Trials: mergeLatest(now, t.trials, evidence.Trials)}
	for _, e := range evidence.Ends {
		news.Begun = append(news.Begun, t.promoteOwnBegun(now, e)...)
		if fresh, ok := t.mergeEnd(now, e); ok {
			news.Ends = append(news.Ends, fresh)
		}
	}
	if news.Empty() {
		return news
	}
	t.verdicts.valid = false
	t.bound(now)
	return news
}

// timeTolerance is the difference between two reports of one time below which the second is
// no news.
const timeTolerance = 50 * time.Millisecond

// promoteOwnBegun records as begun the keys of an end with which answers have begun here
// since, and the requests that were answered here shortly before. It returns those that are news.
func (t *Tracker) promoteOwnBegun(now time.Time, e End) []KeyAge {
	at := now.Add(-e.Age)
	var promoted []KeyAge
	for _, b := range e.Blamed {
		for position, key := range b.Keys {
			isRequest := position == len(b.Keys)-1
			if t.tellsMore(key, at) || isRequest && t.tellsMore(key, at.Add(-soundMemory)) {
				own := t.ownBegun[key]
				t.begun[key] = own
				promoted = append(promoted, KeyAge{Key: key, Age: now.Sub(own)})
			}
		}
	}
	return promoted
}

// tellsMore reports whether an answer with a key has begun here since a time, and none is on record.
func (t *Tracker) tellsMore(key Key, since time.Time) bool {
	own, ok := t.ownBegun[key]
	return ok && !own.Before(since) && t.begun[key].Before(since)
}

// mergeEnd adds an end, and returns what of it was new. Attempts all of whose keys are
// cleared are left out.
func (t *Tracker) mergeEnd(now time.Time, e End) (End, bool) {
	at := now.Add(-e.Age)
	known, ok := t.ends[e.Incarnation]
	if e.Age > evidenceTTL || !ok && len(t.ends) >= maxEnds && at.Before(t.earliestEnd()) {
		return End{}, false
	}
	if !ok {
		known = &end{at: at, blamed: map[Attempt][]Key{}}
		t.ends[e.Incarnation] = known
		t.unanswered[e.Incarnation] = true
	}
	isNew := !ok || known.at.Sub(at) > timeTolerance
	if at.Before(known.at) {
		known.at = at
	}
	isNew = t.mergeAnswered(now, e, known) || isNew
	fresh := End{Incarnation: e.Incarnation, Age: e.Age, Answered: !known.answered.IsZero()}
	if fresh.Answered {
		fresh.AnsweredAge = now.Sub(known.answered)
	}
	for _, b := range e.Blamed {
		keys := boundKeys(b.Keys)
		if _, has := known.blamed[b.Attempt]; has || len(known.blamed) >= maxBlamed || !t.anyLive(known, keys) {
			continue
		}
		known.blamed[b.Attempt] = keys
		fresh.Blamed = append(fresh.Blamed, Blamed{Attempt: b.Attempt, Keys: keys})
	}
	return fresh, isNew || len(fresh.Blamed) > 0
}

// boundKeys returns the most general keys of an attempt and that of its request.
func boundKeys(keys []Key) []Key {
	if len(keys) <= maxKeysOfAttempt {
		return keys
	}
	return append(slices.Clone(keys[:maxKeysOfAttempt-1]), keys[len(keys)-1])
}

// mergeAnswered records when an answer began after an end, as told or seen here. It reports
// whether that is news.
func (t *Tracker) mergeAnswered(now time.Time, e End, known *end) bool {
	was := known.answered
	if e.Answered {
		known.answered = earliest(known.answered, now.Add(-e.AnsweredAge))
	}
	if known.answered.IsZero() && !t.lastBegun.Before(known.at) {
		known.answered = t.lastBegun
	}
	if known.answered.IsZero() {
		return false
	}
	delete(t.unanswered, e.Incarnation)
	return was.IsZero() || was.Sub(known.answered) > timeTolerance
}

// earliest returns the earlier of two times, of which a may be zero for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func (t *Tracker) earliestEnd() time.Time { return t.ends[t.incarnationsByTime()[0]].at }

// mergeLatest keeps the latest time of each key, and returns those that are news.
func mergeLatest(now time.Time, times map[Key]time.Time, told []KeyAge) []KeyAge {
	var news []KeyAge
	for _, k := range told {
		at := now.Add(-k.Age)
		known, ok := times[k.Key]
		if ok && !at.After(known) {
			continue
		}
		times[k.Key] = at
		if !ok || at.Sub(known) > timeTolerance {
			news = append(news, k)
		}
	}
	return news
}

// Evidence returns all that is known, for an instance that may know nothing.
func (t *Tracker) Evidence(now time.Time) Evidence {
	var all Evidence
	for _, incarnation := range t.incarnationsByTime() {
		all.Ends = append(all.Ends, t.wireEnd(now, incarnation))
	}
	all.Begun = t.begunOf(now, all.Ends)
	for _, key := range slices.Sorted(maps.Keys(t.trials)) {
		all.Trials = append(all.Trials, KeyAge{Key: key, Age: now.Sub(t.trials[key])})
	}
	return all
}

// begunOf returns when answers to requests with the keys of some ends last began.
func (t *Tracker) begunOf(now time.Time, ends []End) []KeyAge {
	var ages []KeyAge
	told := map[Key]bool{}
	for _, e := range ends {
		for _, b := range e.Blamed {
			for _, key := range b.Keys {
				if at, ok := t.begun[key]; ok && !told[key] {
					told[key] = true
					ages = append(ages, KeyAge{Key: key, Age: now.Sub(at)})
				}
			}
		}
	}
	return ages
}

// wireEnd returns an end without the attempts that are cleared.
func (t *Tracker) wireEnd(now time.Time, incarnation deployment.Incarnation) End {
	known := t.ends[incarnation]
	e := End{Incarnation: incarnation, Age: now.Sub(known.at), Answered: !known.answered.IsZero()}
	if e.Answered {
		e.AnsweredAge = now.Sub(known.answered)
	}
	for _, attempt := range slices.Sorted(maps.Keys(known.blamed)) {
		if keys := known.blamed[attempt]; t.anyLive(known, keys) {
			e.Blamed = append(e.Blamed, Blamed{Attempt: attempt, Keys: keys})
		}
	}
	return e
}

func (t *Tracker) anyLive(e *end, keys []Key) bool {
	return slices.ContainsFunc(keys, func(key Key) bool { return t.isLive(e, key) })
}

// isLive reports whether no answer to a request with a key has begun since an end.
func (t *Tracker) isLive(e *end, key Key) bool {
	begun, ok := t.begun[key]
	return !ok || begun.Before(e.at)
}

// incarnationsByTime returns the incarnations that ended, the earliest first.
func (t *Tracker) incarnationsByTime() []deployment.Incarnation {
	return slices.SortedFunc(maps.Keys(t.ends), func(a, b deployment.Incarnation) int {
		return cmp.Or(t.ends[a].at.Compare(t.ends[b].at), cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
}

// bound drops what has expired and, where there is too much, first ends that blame nothing
// any more and then the earliest ones.
func (t *Tracker) bound(now time.Time) {
	for incarnation, e := range t.ends {
		if now.Sub(e.at) > evidenceTTL {
			delete(t.ends, incarnation)
			delete(t.unanswered, incarnation)
		}
		maps.DeleteFunc(e.blamed, func(_ Attempt, keys []Key) bool { return !t.anyLive(e, keys) })
	}
	for _, needed := range []bool{false, true} {
		for _, incarnation := range t.incarnationsByTime() {
			if len(t.ends) > maxEnds && (len(t.ends[incarnation].blamed) > 0) == needed {
				delete(t.ends, incarnation)
				delete(t.unanswered, incarnation)
			}
		}
	}
	dropEarliest(t.begun, maxBegun)
	dropEarliest(t.trials, maxTrials)
}

// dropEarliest drops the keys with the earliest times beyond a number.
func dropEarliest(times map[Key]time.Time, most int) {
	if len(times) <= most {
		return
	}
	keys := slices.SortedFunc(maps.Keys(times), func(a, b Key) int { return cmp.Or(times[a].Compare(times[b]), cmp.Compare(a, b)) })
	for _, key := range keys[:len(times)-most] {
		delete(times, key)
	}
}
