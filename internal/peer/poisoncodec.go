package peer

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
)

type wirePoisonEvidence struct {
	Ends   []wireEnd    `cbor:"1,keyasint,omitempty"`
	Begun  []wireKeyAge `cbor:"2,keyasint,omitempty"`
	Trials []wireKeyAge `cbor:"3,keyasint,omitempty"`
}

type wireEnd struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	StartedAt int64 // Unix milliseconds
	AgeMillis int64
	Answered  bool
	// AnsweredMillis is the time since the first answer after the end.
	AnsweredMillis int64
	Blamed         []wireBlamed
}

type wireBlamed struct {
	_       struct{} `cbor:",toarray"`
	Attempt uint64
	Keys    []uint64
}

type wireKeyAge struct {
	_         struct{} `cbor:",toarray"`
	Key       uint64
	AgeMillis int64
}

func poisonEvidenceToWire(evidence poison.Evidence) *wirePoisonEvidence {
	wire := &wirePoisonEvidence{Begun: keyAgesToWire(evidence.Begun), Trials: keyAgesToWire(evidence.Trials)}
	for _, end := range evidence.Ends {
		w := wireEnd{Server: string(end.Incarnation.Server), StartedAt: end.Incarnation.StartedAt, AgeMillis: end.Age.Milliseconds(),
			Answered: end.Answered, AnsweredMillis: end.AnsweredAge.Milliseconds()}
		for _, blamed := range end.Blamed {
			keys := make([]uint64, 0, len(blamed.Keys))
			for _, key := range blamed.Keys {
				keys = append(keys, uint64(key))
			}
			w.Blamed = append(w.Blamed, wireBlamed{Attempt: uint64(blamed.Attempt), Keys: keys})
		}
		wire.Ends = append(wire.Ends, w)
	}
	return wire
}

func poisonEvidenceFromWire(wire *wirePoisonEvidence) poison.Evidence {
	evidence := poison.Evidence{Begun: keyAgesFromWire(wire.Begun), Trials: keyAgesFromWire(wire.Trials)}
	for _, w := range wire.Ends {
		end := poison.End{
			Incarnation: deployment.Incarnation{Server: deployment.BackendID(w.Server), StartedAt: w.StartedAt},
			Age:         ageFromWire(w.AgeMillis), Answered: w.Answered, AnsweredAge: ageFromWire(w.AnsweredMillis),
		}
		for _, blamed := range w.Blamed {
			keys := make([]poison.Key, 0, len(blamed.Keys))
			for _, key := range blamed.Keys {
				keys = append(keys, poison.Key(key))
			}
			end.Blamed = append(end.Blamed, poison.Blamed{Attempt: poison.Attempt(blamed.Attempt), Keys: keys})
		}
		evidence.Ends = append(evidence.Ends, end)
	}
	return evidence
}

func keyAgesToWire(ages []poison.KeyAge) []wireKeyAge {
	var wire []wireKeyAge
	for _, age := range ages {
		wire = append(wire, wireKeyAge{Key: uint64(age.Key), AgeMillis: age.Age.Milliseconds()})
	}
	return wire
}

func keyAgesFromWire(wire []wireKeyAge) []poison.KeyAge {
	var ages []poison.KeyAge
	for _, w := range wire {
		ages = append(ages, poison.KeyAge{Key: poison.Key(w.Key), Age: ageFromWire(w.AgeMillis)})
	}
	return ages
}

// maxAge is the greatest age that a message may give, well within a time.Duration.
const maxAge = 1000 * time.Hour

// ageFromWire returns an age, which is never negative: nothing is told before it happens.
func ageFromWire(milliseconds int64) time.Duration {
	return time.Duration(min(max(0, milliseconds), maxAge.Milliseconds())) * time.Millisecond
}
