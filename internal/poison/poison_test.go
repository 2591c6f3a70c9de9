package poison

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// The keys of the tests.
var (
	firstPart = PartKey("first")
	badPart   = PartKey("bad")
	goodPart  = PartKey("good")
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func server(number int) deployment.Incarnation {
	return deployment.Incarnation{Server: deployment.BackendID(fmt.Sprintf("i-%d", number)), StartedAt: int64(number)}
}

// attemptOf returns an attempt of its own with some keys and its own request key.
func attemptOf(number int, keys ...Key) Blamed {
	return Blamed{Attempt: Attempt(number), Keys: append(slices.Clone(keys), Key(1_000_000+number))}
}

// TestPartOfThreeEndsIsHeld checks that the part that three ends have in common is held,
// and neither the part that sound requests share nor anything else.
func TestPartOfThreeEndsIsHeld(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 3 {
		now := at(time.Duration(i) * time.Second)
		assert.Equal(t, tracker.Judge(now, []Key{firstPart, badPart}) == Held, false)
		tracker.RecordEnd(now, now, server(i), []Blamed{attemptOf(2*i, firstPart, badPart), attemptOf(2*i+1, firstPart, goodPart)})
		tracker.RecordBegun(now.Add(100*time.Millisecond), []Key{firstPart, goodPart})
	}
	now := at(3 * time.Second)
	assert.Equal(t, tracker.Judge(now, []Key{firstPart, badPart}), Held)
	assert.Equal(t, tracker.Judge(now, []Key{firstPart, goodPart}), Clear)
	assert.Equal(t, tracker.HeldKeys(now), 1)
}

// TestSamePartsInAllEndsHoldsTheMostSpecific checks that, without an answer that tells two
// parts apart, the first part, which more requests share, is not held.
func TestSamePartsInAllEndsHoldsTheMostSpecific(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 3 {
		now := at(time.Duration(i) * 2 * time.Second)
		tracker.RecordEnd(now, now, server(i), []Blamed{attemptOf(i, firstPart, badPart)})
	}
	assert.Equal(t, tracker.Judge(at(6*time.Second), []Key{firstPart}), Clear)
	assert.Equal(t, tracker.Judge(at(6*time.Second), []Key{badPart}), Held)
}

// TestRepeatedRequestIsHeld checks that a request without shared parts that ended three
// servers is held.
func TestRepeatedRequestIsHeld(t *testing.T) {
	tracker := NewTracker(0)
	key := RequestKey("POST", "h", "/x", "team", []byte("body"))
	for i := range 3 {
		now := at(time.Duration(i) * 2 * time.Second)
		tracker.RecordEnd(now, now, server(i), []Blamed{{Attempt: Attempt(i), Keys: []Key{key}}})
	}
	assert.Equal(t, tracker.Judge(at(6*time.Second), []Key{key}), Held)
	assert.Equal(t, tracker.Judge(at(6*time.Second), []Key{RequestKey("POST", "h", "/x", "team", []byte("other"))}), Clear)
}

// TestServersLostAtOnceCountOnce checks that many ends at one moment are one piece of
// evidence, also against a part of requests on all the servers.
func TestServersLostAtOnceCountOnce(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 12 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		tracker.RecordEnd(now, now, server(i), []Blamed{attemptOf(i, firstPart)})
		assert.Equal(t, tracker.Judge(now, []Key{firstPart}), Clear, "after %d ends", i+1)
	}
	assert.Equal(t, tracker.Judge(at(time.Second), []Key{firstPart}), Clear)
}

// TestEndsOfAnOutageCountOnce checks that servers that end one after the other while no answer
// to any request begins hold nothing that their requests share.
func TestEndsOfAnOutageCountOnce(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 4 {
		now := at(time.Duration(i) * 350 * time.Millisecond)
		tracker.RecordEnd(now, now, server(i), []Blamed{attemptOf(i, firstPart)})
		assert.Equal(t, tracker.Judge(now, []Key{firstPart}), Clear, "after %d ends", i+1)
	}
	assert.Equal(t, tracker.Judge(at(4*time.Second), []Key{firstPart}), Clear)
}

// TestFloodOfEndsIsHeld checks that ends that follow each other without a pause are not
// taken for one loss of many servers for ever, although no answer begins: the platform allows
// three requests later than 3 s after the fifth end.
func TestFloodOfEndsIsHeld(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 120 {
		now := at(time.Duration(i) * 25 * time.Millisecond)
		tracker.RecordEnd(now, now, server(i), []Blamed{attemptOf(i, badPart)})
	}
	assert.Equal(t, tracker.Judge(at(3*time.Second), []Key{badPart}), Held)
}

// TestOneAttemptCountsOnce checks that one request that is in flight on many servers of a
// path is not held because several of them ended.
func TestOneAttemptCountsOnce(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 6 {
		now := at(time.Duration(i) * time.Second)
		tracker.RecordEnd(now, now, server(i), []Blamed{attemptOf(1, goodPart)})
	}
	assert.Equal(t, tracker.Judge(at(7*time.Second), []Key{goodPart}), Clear)
}

// TestEndsExplainedByAHeldPartDontCount checks that a rare part that was in flight beside a
// bad one three times is not held.
func TestEndsExplainedByAHeldPartDontCount(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 4 {
		now := at(time.Duration(i) * 2 * time.Second)
		blamed := []Blamed{attemptOf(2*i, firstPart, badPart)}
		if i > 0 {
			blamed = append(blamed, attemptOf(2*i+1, firstPart, goodPart))
		}
		tracker.RecordEnd(now, now, server(i), blamed)
	}
	assert.Equal(t, tracker.Judge(at(8*time.Second), []Key{badPart}), Held)
	assert.Equal(t, tracker.Judge(at(8*time.Second), []Key{goodPart}), Clear)
}

// TestSoundRequestSentAgainDoesntFreeAPart checks that a bad part is held, and stays so, although
// a sound request without it was sent again and again, each time to a server that then ended.
func TestSoundRequestSentAgainDoesntFreeAPart(t *testing.T) {
	tracker := NewTracker(0)
	soundRequest := Key(1)
	for i := range 5 {
		now := at(time.Duration(i) * 2 * time.Second)
		blamed := []Blamed{{Attempt: Attempt(100 + i), Keys: []Key{firstPart, goodPart, soundRequest}}}
		if i < 3 {
			blamed = append(blamed, attemptOf(i, firstPart, badPart))
		}
		tracker.RecordEnd(now, now, server(i), blamed)
		if i >= 2 {
			assert.Equal(t, tracker.Judge(now.Add(time.Second), []Key{badPart}), Held, "after %d ends", i+1)
		}
		if i == 2 {
			assert.Assert(t, tracker.Judge(now.Add(time.Second), []Key{soundRequest}) != Held, "the part explains its ends")
		}
		assert.Assert(t, tracker.Judge(now.Add(time.Second), []Key{firstPart}) != Held, "after %d ends", i+1)
		assert.Assert(t, tracker.Judge(now.Add(time.Second), []Key{goodPart}) != Held, "after %d ends", i+1)
	}
}

// TestBadRequestSentAgainDoesntFreeItsPart checks that a bad part is held if one of its requests
// was sent again as often as it ended servers, beside a sound request that was too.
func TestBadRequestSentAgainDoesntFreeItsPart(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 3 {
		now := at(time.Duration(i) * 2 * time.Second)
		tracker.RecordEnd(now, now, server(i), []Blamed{
			{Attempt: Attempt(100 + i), Keys: []Key{firstPart, badPart, Key(1)}},
			{Attempt: Attempt(200 + i), Keys: []Key{firstPart, goodPart, Key(2)}},
			attemptOf(i, firstPart, badPart),
		})
	}
	assert.Equal(t, tracker.Judge(at(6*time.Second), []Key{badPart}), Held)
	assert.Assert(t, tracker.Judge(at(6*time.Second), []Key{firstPart}) != Held)
	assert.Assert(t, tracker.Judge(at(6*time.Second), []Key{goodPart}) != Held)
}

// TestRepeatedRequestDoesntHoldItsParts checks that no part is held for a request that ends the
// servers, although others with its first part were in flight there.
func TestRepeatedRequestDoesntHoldItsParts(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 4 {
		now := at(time.Duration(i) * 2 * time.Second)
		tracker.RecordEnd(now, now, server(i), []Blamed{
			{Attempt: Attempt(100 + i), Keys: []Key{firstPart, Key(1)}},
			attemptOf(2*i, firstPart), attemptOf(2*i+1, firstPart),
		})
	}
	assert.Equal(t, tracker.Judge(at(8*time.Second), []Key{firstPart, Key(1)}), Held)
	assert.Assert(t, tracker.Judge(at(8*time.Second), []Key{firstPart}) != Held)
}

// TestAnswerBeforeTheNoticeClears checks that an answer that began here after an end clears
// the end, although its notice arrives later.
func TestAnswerBeforeTheNoticeClears(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 3 {
		ended := at(time.Duration(i) * time.Second)
		tracker.RecordBegun(ended.Add(20*time.Millisecond), []Key{goodPart})
		news := tracker.Merge(ended.Add(200*time.Millisecond), Evidence{Ends: []End{{
			Incarnation: server(i), Age: 200 * time.Millisecond, Blamed: []Blamed{attemptOf(i, goodPart)},
		}}})
		assert.Equal(t, len(news.Begun), 1, "the others are told that it is cleared")
	}
	assert.Equal(t, tracker.Judge(at(4*time.Second), []Key{goodPart}), Clear)
}

// TestTrialIsOneForTheDeployment checks that a trial postpones those of all instances that
// are told, that it is late and rare after five ends, and that its answer lifts the verdict.
func TestTrialIsOneForTheDeployment(t *testing.T) {
	here, there := NewTracker(0), NewTracker(0.5)
	for i := range 3 {
		now := at(time.Duration(i) * 2 * time.Second)
		there.Merge(now, here.RecordEnd(now, now, server(i), []Blamed{attemptOf(i, badPart)}))
	}
	_, ok := here.Try(at(6*time.Second), []Key{badPart})
	assert.Assert(t, !ok)
	now := at(4 * time.Second).Add(earlyTrialDelay)
	news, ok := here.Try(now, []Key{badPart})
	assert.Assert(t, ok)
	there.Merge(now, news)
	for _, tracker := range []*Tracker{here, there} {
		_, ok = tracker.Try(now.Add(earlyTrialDelay-time.Second), []Key{badPart})
		assert.Assert(t, !ok)
	}
	there.Merge(now, here.RecordBegun(now, []Key{badPart}))
	assert.Equal(t, here.Judge(now, []Key{badPart}), Clear)
	assert.Equal(t, there.Judge(now, []Key{badPart}), Clear)
	assert.Assert(t, trialDelay(countedEnds) >= lateTrialDelay && trialDelay(1000) == maxTrialDelay)
}

// event is something that happens on one instance of a history.
type event struct {
	instance int
	at       time.Duration
	end      *End
	begun    []Key
}

// drawHistory draws a history in which servers end on bad parts and from other causes,
// while sound answers begin.
func drawHistory(t *rapid.T) (events []event, bad []Key) {
	badParts := rapid.IntRange(1, 3).Draw(t, "bad-parts")
	for i := range badParts {
		bad = append(bad, PartKey(deployment.PromptPartID(fmt.Sprintf("bad-%d", i))))
	}
	number := 0
	for i := range rapid.IntRange(1, 30).Draw(t, "ends") {
		now := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "at")) * time.Millisecond
		var blamed []Blamed
		if rapid.Bool().Draw(t, "by-part") {
			number++
			blamed = append(blamed, attemptOf(number, firstPart, rapid.SampledFrom(bad).Draw(t, "part")))
		}
		for range rapid.IntRange(0, 4).Draw(t, "beside") {
			number++
			blamed = append(blamed, attemptOf(number, firstPart, goodPart))
		}
		e := &End{Incarnation: server(i), Blamed: blamed}
		events = append(events, event{instance: rapid.IntRange(0, 3).Draw(t, "instance"), at: now, end: e})
		begun := event{instance: rapid.IntRange(0, 3).Draw(t, "begun-at"), at: now + 40*time.Millisecond, begun: []Key{firstPart, goodPart}}
		events = append(events, begun)
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events, bad
}

// apply plays an event on a tracker and returns what it tells the others.
func (e event) apply(tracker *Tracker) Evidence {
	if e.end != nil {
		return tracker.RecordEnd(at(e.at), at(e.at), e.end.Incarnation, e.end.Blamed)
	}
	return tracker.RecordBegun(at(e.at), e.begun)
}

// verdictsOf returns the held keys.
func verdictsOf(tracker *Tracker, now time.Time) []Key {
	return slices.Sorted(maps.Keys(tracker.verdictsAt(now).held))
}

// TestProveNoticesInAnyOrder checks that instances that got the same notices in different
// orders, some of them twice, one late instance by a snapshot and one by gossip after a cut,
// reach the same verdict, and that no sound part is ever held.
func TestProveNoticesInAnyOrder(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		events, bad := drawHistory(t)
		now := 30 * time.Second
		first := NewTracker(0)
		var notices []Evidence
		for _, e := range events {
			if news := e.apply(first); !news.Empty() {
				notices = append(notices, news.Older(now-e.at))
			}
			assertSound(t, first, at(e.at))
		}
		want := verdictsOf(first, at(now))
		notices = append(notices, rapid.SliceOfN(rapid.SampledFrom(notices), 0, 5).Draw(t, "twice")...)
		other := NewTracker(0)
		for _, notice := range rapid.Permutation(notices).Draw(t, "order") {
			other.Merge(at(now), notice)
		}
		late := NewTracker(0)
		late.Merge(at(now), first.Evidence(at(now)))
		assert.DeepEqual(t, verdictsOf(other, at(now)), want)
		assert.DeepEqual(t, verdictsOf(late, at(now)), want)
		for _, key := range want {
			assert.Assert(t, slices.Contains(bad, key), "a key is held that is no bad part")
		}
		assert.Assert(t, other.Merge(at(now), first.Evidence(at(now))).Empty(), "a snapshot of what is known is no news")
	})
}

func assertSound(t *rapid.T, tracker *Tracker, now time.Time) {
	assert.Assert(t, tracker.Judge(now, []Key{firstPart}) != Held, "the first part is held at %s", now)
	assert.Assert(t, tracker.Judge(now, []Key{goodPart}) != Held, "the good part is held at %s", now)
}

// TestProveLossesAreMadeGood checks that instances of two zones that lost notices while they
// were cut off agree after one exchange of evidence each way.
func TestProveLossesAreMadeGood(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		events, _ := drawHistory(t)
		instances := []*Tracker{NewTracker(0), NewTracker(0), NewTracker(0), NewTracker(0)}
		for _, e := range events {
			news := e.apply(instances[e.instance])
			for i, instance := range instances {
				if i != e.instance && rapid.Bool().Draw(t, "arrives") {
					instance.Merge(at(e.at), news)
				}
			}
		}
		now := at(30 * time.Second)
		for range 2 {
			for i := range instances {
				instances[(i+1)%len(instances)].Merge(now, instances[i].Evidence(now))
			}
		}
		for range len(instances) {
			for i := range instances {
				instances[(i+1)%len(instances)].Merge(now, instances[i].Evidence(now))
			}
		}
		for _, instance := range instances[1:] {
			assert.DeepEqual(t, verdictsOf(instance, now), verdictsOf(instances[0], now))
		}
	})
}

// TestProveEachBadPartIsHeld checks that every part that ended three servers, each at a
// moment of its own, is held.
func TestProveEachBadPartIsHeld(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 5).Draw(t, "parts")
		tracker := NewTracker(0)
		ends := map[Key]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "ends") {
			now := at(time.Duration(i) * 400 * time.Millisecond)
			part := Key(rapid.IntRange(1, parts).Draw(t, "part"))
			if tracker.Judge(now, []Key{firstPart, part}) == Held {
				continue
			}
			tracker.RecordEnd(now, now, server(i), []Blamed{attemptOf(i, firstPart, part)})
			tracker.RecordBegun(now.Add(50*time.Millisecond), []Key{firstPart})
			ends[part]++
			assert.Assert(t, ends[part] <= heldEnds)
		}
	})
}

// TestProveSentAgainSoundRequestsDontFreeAPart checks that a bad part is held from its third
// end on, and stays so, whatever sound requests were sent again to servers that ended, that no
// part of theirs is held, and that the order of the notices doesn't matter.
func TestProveSentAgainSoundRequestsDontFreeAPart(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		tracker := NewTracker(0)
		end := at(10 * time.Second)
		var notices []Evidence
		badEnds := 0
		for i, e := range drawSentAgain(t) {
			now := at(time.Duration(i) * 400 * time.Millisecond)
			if slices.ContainsFunc(e.Blamed, func(b Blamed) bool { return slices.Contains(b.Keys, badPart) }) {
				badEnds++
			}
			later := now.Add(60 * time.Millisecond)
			notices = append(notices, tracker.RecordEnd(now, now, e.Incarnation, e.Blamed).Older(end.Sub(now)))
			notices = append(notices, tracker.RecordBegun(later, []Key{firstPart, goodPart}).Older(end.Sub(later)))
			assert.Equal(t, tracker.Judge(later, []Key{badPart}) == Held, badEnds >= heldEnds, "after %d ends", i+1)
			assertSound(t, tracker, later)
		}
		other := NewTracker(0)
		for _, notice := range rapid.Permutation(notices).Draw(t, "order") {
			other.Merge(end, notice)
		}
		assert.DeepEqual(t, verdictsOf(other, end), verdictsOf(tracker, end))
	})
}

// drawSentAgain draws ends, the first three of them and others on a bad part, to whose servers
// sound requests were sent again.
func drawSentAgain(t *rapid.T) []End {
	var ends []End
	sound := rapid.IntRange(1, 6).Draw(t, "sound")
	number := 0
	for i := range rapid.IntRange(heldEnds, 12).Draw(t, "ends") {
		var blamed []Blamed
		if i < heldEnds || rapid.Bool().Draw(t, "by-part") {
			number++
			blamed = append(blamed, attemptOf(number, firstPart, badPart))
		}
		for request := range sound {
			if rapid.Bool().Draw(t, "sent-again") {
				number++
				blamed = append(blamed, Blamed{Attempt: Attempt(number), Keys: soundKeys(request)})
			}
		}
		ends = append(ends, End{Incarnation: server(i), Blamed: blamed})
	}
	return ends
}

// soundKeys returns the keys of a sound request, of which every second one has the good part.
func soundKeys(request int) []Key {
	own := Key(2_000_000 + request)
	if request%2 == 0 {
		return []Key{firstPart, goodPart, own}
	}
	return []Key{firstPart, own}
}

// TestProveTablesAreBounded checks the bounds on what is kept and told under a flood of
// ends with different keys.
func TestProveTablesAreBounded(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		tracker := NewTracker(0)
		for i := range rapid.IntRange(maxEnds, maxEnds+20).Draw(t, "ends") {
			now := at(time.Duration(i) * time.Duration(rapid.IntRange(1, 500).Draw(t, "gap")) * time.Millisecond)
			var blamed []Blamed
			for j := range rapid.IntRange(0, 6).Draw(t, "blamed") {
				blamed = append(blamed, attemptOf(10*i+j, Key(rapid.Uint64Range(1, 50).Draw(t, "key"))))
			}
			tracker.RecordEnd(now, now, server(i), blamed)
			if i%32 == 0 {
				tracker.RecordBegun(now, []Key{Key(rapid.Uint64Range(1, 100).Draw(t, "begun"))})
			}
			assert.Assert(t, len(tracker.ends) <= maxEnds)
		}
		assert.Assert(t, len(tracker.begun) <= maxBegun)
	})
}

// TestOwnAnswersAreBounded checks the bound on the keys of answers that began here.
func TestOwnAnswersAreBounded(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 3 * maxOwnBegun / 2 {
		tracker.RecordBegun(at(time.Hour), []Key{Key(i)})
		assert.Assert(t, len(tracker.ownBegun) <= maxOwnBegun)
	}
}
