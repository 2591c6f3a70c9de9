package poison

import (
	"slices"
	"time"
)

const (
	// maxLastingBlamed bounds the attempts of one end in Lasting: three ends of one attempt each hold a key.
	maxLastingBlamed = 8
	// maxLastingKeys bounds the keys of all attempts in Lasting, above which only those are kept that
	// matter most: a record of the platform has a maximum size.
	maxLastingKeys = 8192
)

// Lasting returns the evidence that must outlive all instances: all ends, with the attempts that had a
// key which speaks for or against holding another one, the answers with their keys, and the trials. It is
// empty if no key is suspected or held, as far as is known once the last episode closes. An instance that
// merges it holds the same keys.
func (t *Tracker) Lasting(now time.Time) Evidence {
	v := t.verdictsOnceClosed(now)
	if len(v.held) == 0 && len(v.suspects) == 0 {
		return Evidence{}
	}
	return t.lastingOf(v, now)
}

// lastingOf returns the evidence that bears on the keys that verdicts accuse.
func (t *Tracker) lastingOf(v *verdicts, now time.Time) Evidence {
	lasting := t.Evidence(now)
	keys := 0
	for i := range lasting.Ends {
		lasting.Ends[i].Blamed = v.lastingBlamed(lasting.Ends[i].Blamed)
		for _, b := range lasting.Ends[i].Blamed {
			keys += len(b.Keys)
		}
	}
	if keys > maxLastingKeys {
		v.leaveOutKeys(lasting.Ends)
	}
	lasting.Begun = t.begunOf(now, lasting.Ends)
	return lasting
}

// lastingBlamed returns the first attempts that had an accused key, maxLastingBlamed at most.
func (v *verdicts) lastingBlamed(blamed []Blamed) []Blamed {
	var lasting []Blamed
	for _, b := range blamed {
		if len(lasting) < maxLastingBlamed && slices.ContainsFunc(b.Keys, func(key Key) bool { return v.accused[key] }) {
			lasting = append(lasting, b)
		}
	}
	return lasting
}

// leaveOutKeys leaves of the keys of attempts the accused ones and those of the requests.
func (v *verdicts) leaveOutKeys(ends []End) {
	for _, e := range ends {
		for i, b := range e.Blamed {
			var kept []Key
			for position, key := range b.Keys {
				if isRequest := position == len(b.Keys)-1; isRequest || v.accused[key] {
					kept = append(kept, key)
				}
			}
			e.Blamed[i].Keys = kept
		}
	}
}

// Older returns the evidence as of a time that has passed since.
func (e Evidence) Older(by time.Duration) Evidence {
	var older Evidence
	for _, end := range e.Ends {
		end.Age += by
		end.AnsweredAge += by
		older.Ends = append(older.Ends, end)
	}
	older.Begun = olderKeys(e.Begun, by)
	older.Trials = olderKeys(e.Trials, by)
	return older
}

func olderKeys(keys []KeyAge, by time.Duration) []KeyAge {
	var older []KeyAge
	for _, k := range keys {
		older = append(older, KeyAge{Key: k.Key, Age: k.Age + by})
	}
	return older
}
