package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// maxRecordKeys bounds the keys of a record above which no attempts are added to those of Lasting, and
	// maxRecordBegun the answers above which none are added to those of the record's attempts.
	maxRecordKeys  = 4096
	maxRecordBegun = 2048
	// trialTolerance is the difference between two reports of one trial that clocks account for.
	trialTolerance = time.Second
)

// Record returns the evidence that is to replace what is kept outside of the instances, and whether it must. kept is
// what is kept there, as of now; what it tells must have been merged. partitioned is set if this instance may not be
// able to tell all others what it knows.
//
// Evidence that makes a key suspected or held is kept always. A partitioned instance has all kept that it knows: what
// it has seen counts together with what others have. What is kept is replaced, too, if it speaks against a key that
// an answer has cleared here since.
func (t *Tracker) Record(now time.Time, kept Evidence, partitioned bool) (record Evidence, due bool) {
	needed := t.Lasting(now)
	needed.Ends = slices.DeleteFunc(needed.Ends, func(e End) bool { return len(e.Blamed) == 0 })
	if partitioned {
		needed = t.record(now)
	}
	if kept.covers(needed) && !t.clears(now, kept) {
		return Evidence{}, false
	}
	return t.record(now), true
}

// record returns all ends with the attempts of Lasting and, the latest ends first, the others, as far as there is
// room; the latest answers; and the trials.
func (t *Tracker) record(now time.Time) Evidence {
	record := t.lastingOf(t.verdictsOnceClosed(now), now)
	keys := 0
	for _, e := range record.Ends {
		keys += countKeys(e.Blamed)
	}
	for i := range slices.Backward(record.Ends) {
		e := &record.Ends[i]
		for _, b := range t.wireEnd(now, e.Incarnation).Blamed {
			has := slices.ContainsFunc(e.Blamed, func(other Blamed) bool { return other.Attempt == b.Attempt })
			if has || keys+len(b.Keys) > maxRecordKeys {
				continue
			}
			keys += len(b.Keys)
			e.Blamed = append(e.Blamed, b)
		}
	}
	record.Begun = t.begunOf(now, record.Ends)
	record.Begun = append(record.Begun, t.latestBegun(now, record.Begun)...)
	return record
}

// latestBegun returns the latest answers beside some, such that they are maxRecordBegun together at most.
func (t *Tracker) latestBegun(now time.Time, beside []KeyAge) []KeyAge {
	known := map[Key]bool{}
	for _, k := range beside {
		known[k.Key] = true
	}
	keys := slices.SortedFunc(maps.Keys(t.begun), func(a, b Key) int { return cmp.Or(t.begun[b].Compare(t.begun[a]), cmp.Compare(a, b)) })
	var latest []KeyAge
	for _, key := range keys {
		if len(beside)+len(latest) >= maxRecordBegun {
			break
		}
		if !known[key] {
			latest = append(latest, KeyAge{Key: key, Age: now.Sub(t.begun[key])})
		}
	}
	return latest
}

func countKeys(blamed []Blamed) int {
	count := 0
	for _, b := range blamed {
		count += len(b.Keys)
	}
	return count
}

// covers reports whether the evidence has all ends, attempts and trials of other evidence, both as of the same time.
func (e Evidence) covers(other Evidence) bool {
	known := map[deployment.Incarnation]End{}
	for _, end := range e.Ends {
		known[end.Incarnation] = end
	}
	for _, end := range other.Ends {
		if has, ok := known[end.Incarnation]; !ok || !has.covers(end) {
			return false
		}
	}
	return !slices.ContainsFunc(other.Trials, func(trial KeyAge) bool {
		return !slices.ContainsFunc(e.Trials, func(k KeyAge) bool { return k.Key == trial.Key && k.Age <= trial.Age+trialTolerance })
	})
}

// covers reports whether an end has all attempts of another report of it, and no later times.
func (e End) covers(other End) bool {
	if e.Age < other.Age-timeTolerance || other.Answered && (!e.Answered || e.AnsweredAge < other.AnsweredAge-timeTolerance) {
		return false
	}
	known := map[Attempt]bool{}
	for _, b := range e.Blamed {
		known[b.Attempt] = true
	}
	return !slices.ContainsFunc(other.Blamed, func(b Blamed) bool { return !known[b.Attempt] })
}

// clears reports whether evidence speaks against a key as often as makes it suspected, and an answer that began here
// has cleared the key of some of that.
func (t *Tracker) clears(now time.Time, kept Evidence) bool {
	begun := map[Key]time.Duration{} // ages
	for _, k := range kept.Begun {
		begun[k.Key] = k.Age
	}
	ends, cleared := map[Key]int{}, map[Key]bool{}
	for _, e := range kept.Ends {
		counted := map[Key]bool{}
		for _, b := range e.Blamed {
			for _, key := range b.Keys {
				if age, ok := begun[key]; counted[key] || ok && age <= e.Age {
					continue
				}
				counted[key] = true
				ends[key]++
				if at, ok := t.begun[key]; ok && !at.Before(now.Add(-e.Age)) {
					cleared[key] = true
				}
			}
		}
	}
	for key := range cleared {
		if ends[key] >= suspectEnds {
			return true
		}
	}
	return false
}
