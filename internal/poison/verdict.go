package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectEnds and heldEnds are the ends from which on a key is suspected and held.
	suspectEnds = 2
	heldEnds    = 3
	// episodeLength groups ends. Those of an episode with massEnds or more have one cause,
	// such as a rack that lost power, and count as one.
	episodeLength = 300 * time.Millisecond
	massEnds      = 3
	// outageLength is how much longer an episode may be while no answer to any request begins:
	// then servers may end for whatever keeps all requests from beginning. Three episodes end
	// within the platform's stable-window-ms all the same.
	outageLength = 1200 * time.Millisecond
	// soundMemory is how long a request counts as sound after an answer to it has begun: it may have
	// been in flight on all servers that are then lost at once.
	soundMemory = 30 * time.Second
)

// verdicts are computed from the evidence and valid until it changes or an episode closes.
type verdicts struct {
	valid    bool
	until    time.Time // zero if only new evidence changes them
	suspects map[Key]bool
	held     map[Key]heldKey
	accused  map[Key]bool // that were suspected or held before what held keys explain was left out
	live     map[Key]int  // ends that are not cleared
}

// heldKey is what is known of a key that is held.
type heldKey struct {
	ends    int
	lastEnd time.Time
}

// Judge returns the verdict on a request with some keys: the worst of any.
func (t *Tracker) Judge(now time.Time, keys []Key) Verdict {
	v := t.verdictsAt(now)
	worst := Clear
	for _, key := range keys {
		if _, held := v.held[key]; held {
			return Held
		}
		if v.suspects[key] {
			worst = Suspected
		}
	}
	return worst
}

// Blamed reports whether servers have ended on a request with some keys and none of them is cleared of
// that, however few the ends are.
func (t *Tracker) Blamed(now time.Time, keys []Key) bool {
	live := t.verdictsAt(now).live
	return slices.ContainsFunc(keys, func(key Key) bool { return live[key] > 0 })
}

// HeldKeys returns the number of keys that are held.
func (t *Tracker) HeldKeys(now time.Time) int { return len(t.verdictsAt(now).held) }

func (t *Tracker) verdictsAt(now time.Time) *verdicts {
	v := &t.verdicts
	if !v.valid || (!v.until.IsZero() && !now.Before(v.until)) {
		*v = t.compute(now)
	}
	return v
}

// verdictsOnceClosed returns the verdicts that what is known now leads to when the last episode closes.
func (t *Tracker) verdictsOnceClosed(now time.Time) *verdicts {
	v := t.verdictsAt(now)
	if v.until.IsZero() {
		return v
	}
	closed := t.compute(v.until)
	return &closed
}

// episode is a group of ends that follow each other closely.
type episode struct {
	ends []*end
	// open is set while another end may still join.
	open bool
	// outage is set if no answer began between some of the ends.
	outage bool
}

// isOf reports whether a tally holds each end of the episode, each with an attempt that was in flight on
// no other of them: the requests, not their servers, have that in common.
func (e *episode) isOf(s *tally) bool {
	return !slices.ContainsFunc(e.ends, func(end *end) bool { return !s.endedAlone(end) })
}

// join adds an end that follows, and reports whether it belongs to the episode.
func (e *episode) join(next *end) bool {
	length := next.at.Sub(e.ends[0].at)
	answered := e.ends[len(e.ends)-1].answered
	outage := answered.IsZero() || answered.After(next.at)
	if length >= episodeLength && (length >= outageLength || !outage) {
		return false
	}
	e.outage = e.outage || length >= episodeLength
	e.ends = append(e.ends, next)
	return true
}

// closes returns when no further end can belong to the episode.
func (e *episode) closes() time.Time {
	if e.ends[len(e.ends)-1].answered.IsZero() {
		return e.ends[0].at.Add(outageLength)
	}
	return e.ends[0].at.Add(episodeLength)
}

// countsOnce reports whether all ends of the episode are taken for one.
func (e *episode) countsOnce() bool { return e.open || e.outage || len(e.ends) >= massEnds }

// episodes groups the ends by time. An episode is as long as outageLength at most, so that
// a flood of ends is not one episode.
func (t *Tracker) episodes(now time.Time) (all []episode, until time.Time) {
	for _, incarnation := range t.incarnationsByTime() {
		e := t.ends[incarnation]
		if len(all) > 0 && all[len(all)-1].join(e) {
			continue
		}
		all = append(all, episode{ends: []*end{e}})
	}
	if len(all) == 0 {
		return nil, time.Time{}
	}
	latest := &all[len(all)-1]
	closes := latest.closes()
	if now.Before(closes) {
		latest.open = true
		until = closes
	}
	return all, until
}

// blame is what speaks against one key.
type blame struct {
	key Key
	tally
	score int
}

// compute holds the keys with the highest scores. The ends that a held key explains don't
// count against others: what is often in flight beside it is sound. Of two keys with the
// same score the more specific one is held, since fewer requests have it, but see nextToHold.
func (t *Tracker) compute(now time.Time) verdicts {
	episodes, until := t.episodes(now)
	v := verdicts{valid: true, until: until, suspects: map[Key]bool{}, held: map[Key]heldKey{}, accused: map[Key]bool{}, live: map[Key]int{}}
	known := newExplanations()
	blames := t.blames(episodes, known)
	v.accuse(blames)
	for _, b := range blames {
		v.live[b.key] = len(b.ends)
	}
	for len(blames) > 0 && blames[0].score >= heldEnds {
		for _, b := range nextToHold(blames, known) {
			v.held[b.key] = heldKey{ends: len(b.ends), lastEnd: b.ends[len(b.ends)-1].at}
			known.add(b)
		}
		blames = t.blames(episodes, known)
		v.accuse(blames)
	}
	for _, b := range blames {
		if b.score >= suspectEnds {
			v.suspects[b.key] = true
		}
	}
	return v
}

// accuse records the keys with enough ends to be suspected.
func (v *verdicts) accuse(blames []blame) {
	for _, b := range blames {
		if b.score >= suspectEnds {
			v.accused[b.key] = true
		}
	}
}

// nextToHold returns what is to be held next of blames that are in order: the worst one, or all
// requests with its score. If that is a request, a part with the same score goes first that
// several requests had, if a request that is held or would be lacks it: such a request may be
// sound and have been sent again.
func nextToHold(blames []blame, known *explanations) []blame {
	if blames[0].request == nil {
		return blames[:1]
	}
	parts, requests := tiedForWorst(blames)
	for _, part := range parts {
		lacks := func(request blame) bool { return !slices.Contains(request.request, part.key) }
		if len(part.requests) > 1 && (slices.ContainsFunc(requests, lacks) || slices.ContainsFunc(known.requests, lacks)) {
			return []blame{part}
		}
	}
	return requests
}

// tiedForWorst returns the parts and the requests with the highest score.
func tiedForWorst(blames []blame) (parts, requests []blame) {
	for _, b := range blames {
		switch {
		case b.score < blames[0].score:
			return parts, requests
		case b.request == nil:
			parts = append(parts, b)
		default:
			requests = append(requests, b)
		}
	}
	return parts, requests
}

// explanations are the ends that held keys explain.
type explanations struct {
	byParts    map[*end]bool
	byRequests map[Key]map[*end]bool // by the keys that they don't count against
	requests   []blame               // those that are held
}

func newExplanations() *explanations {
	return &explanations{byParts: map[*end]bool{}, byRequests: map[Key]map[*end]bool{}}
}

// add records that a held key explains its ends. A part does so for all keys. A request does
// so for its own keys only: a sound one that is sent again and again has been in flight on as
// many servers as the part on which these ended.
func (x *explanations) add(held blame) {
	if held.request == nil {
		for _, e := range held.ends {
			x.byParts[e] = true
		}
		return
	}
	x.requests = append(x.requests, held)
	for _, key := range held.request {
		if x.byRequests[key] == nil {
			x.byRequests[key] = map[*end]bool{}
		}
		for _, e := range held.ends {
			x.byRequests[key][e] = true
		}
	}
}

// has reports whether an end doesn't count against a key.
func (x *explanations) has(e *end, key Key) bool { return x.byParts[e] || x.byRequests[key][e] }

// blames returns what speaks against each key that is not cleared, the worst first.
func (t *Tracker) blames(episodes []episode, known *explanations) []blame {
	found := map[Key]*tally{}
	for i := range episodes {
		for _, e := range episodes[i].ends {
			t.tallyEnd(found, i, e, known)
		}
	}
	list := make([]blame, 0, len(found))
	for key, sum := range found {
		list = append(list, blame{key: key, tally: *sum, score: t.score(key, sum, episodes)})
	}
	slices.SortFunc(list, func(a, b blame) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.specificity, a.specificity), cmp.Compare(a.key, b.key))
	})
	return list
}

// tally collects the ends against one key.
type tally struct {
	specificity int   // the greatest index of the key among those of a request
	request     []Key // if the key is that of a request as a whole, all keys of that request
	requests    map[Key]bool
	ends        []*end
	byEpisode   map[int]int        // ends
	attempts    map[Attempt]int    // on how many of the ends each was in flight
	attemptsOn  map[*end][]Attempt // if the key is that of a request as a whole
}

func (t *Tracker) tallyEnd(found map[Key]*tally, episode int, e *end, known *explanations) {
	counted := map[Key]bool{}
	for attempt, keys := range e.blamed {
		for position, key := range keys {
			if !t.isLive(e, key) || known.has(e, key) {
				continue
			}
			sum, ok := found[key]
			if !ok {
				sum = &tally{requests: map[Key]bool{}, byEpisode: map[int]int{}, attempts: map[Attempt]int{}, attemptsOn: map[*end][]Attempt{}}
				found[key] = sum
			}
			sum.specificity = max(sum.specificity, position)
			if position == len(keys)-1 {
				sum.request = keys
				sum.attemptsOn[e] = append(sum.attemptsOn[e], attempt)
			}
			sum.requests[keys[len(keys)-1]] = true
			sum.attempts[attempt]++
			if !counted[key] {
				counted[key] = true
				sum.ends = append(sum.ends, e)
				sum.byEpisode[episode]++
			}
		}
	}
}

// endedAlone reports whether an attempt was in flight on a server that ended, and on no other one that
// ended.
func (s *tally) endedAlone(e *end) bool {
	return slices.ContainsFunc(s.attemptsOn[e], func(attempt Attempt) bool { return s.attempts[attempt] == 1 })
}

// score returns how many ends count against a key. No more count than there were attempts,
// as an attempt ends one server, while it is in flight on many.
func (t *Tracker) score(key Key, s *tally, episodes []episode) int {
	sum := 0
	for i, ends := range s.byEpisode {
		if e := &episodes[i]; e.countsOnce() && !t.countsEach(key, s, e) {
			ends = 1
		}
		sum += ends
	}
	return min(sum, len(s.attempts))
}

// countsEach reports whether the ends of an episode count against a key one by one although they came
// together. That is so for a request as a whole that ran on all the servers, as one that is repeated at
// once does, unless an answer to it had begun lately. A part of prompts may be in flight everywhere.
func (t *Tracker) countsEach(key Key, s *tally, e *episode) bool {
	if s.request == nil || e.open || !e.isOf(s) {
		return false
	}
	begun, answered := t.begun[key]
	return !answered || e.ends[0].at.Sub(begun) > soundMemory
}
