package poison

import "time"

// maxLastingBlamed bounds the attempts of one end in Lasting: three ends of one attempt each hold a key.
const maxLastingBlamed = 8

// Lasting returns the evidence that must outlive all instances: all ends, with the attempts that had a
// suspected or held key, the answers with their keys, and the trials. It is empty if no key is suspected
// or held. An instance that merges it holds the same keys.
func (t *Tracker) Lasting(now time.Time) Evidence {
	v := t.verdictsAt(now)
	if len(v.held) == 0 && len(v.suspects) == 0 {
		return Evidence{}
	}
	lasting := t.Evidence(now)
	for i := range lasting.Ends {
		lasting.Ends[i].Blamed = v.lastingBlamed(lasting.Ends[i].Blamed)
	}
	lasting.Begun = t.begunOf(now, lasting.Ends)
	return lasting
}

// lastingBlamed returns the attempts that had a suspected or held key, of their keys only these and that
// of the request.
func (v *verdicts) lastingBlamed(blamed []Blamed) []Blamed {
	var lasting []Blamed
	for _, b := range blamed {
		var keys []Key
		for _, key := range b.Keys[:len(b.Keys)-1] {
			if v.accuses(key) {
				keys = append(keys, key)
			}
		}
		request := b.Keys[len(b.Keys)-1]
		if len(keys) > 0 || v.accuses(request) {
			lasting = append(lasting, Blamed{Attempt: b.Attempt, Keys: append(keys, request)})
		}
		if len(lasting) == maxLastingBlamed {
			break
		}
	}
	return lasting
}

// accuses reports whether a key is suspected or held.
func (v *verdicts) accuses(key Key) bool {
	_, held := v.held[key]
	return held || v.suspects[key]
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
