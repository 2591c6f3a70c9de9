package router

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/platform"
)

// poisonTopic keeps what must be known of ends of backend servers by instances that can't hear it from their peers:
// those that are cut off from some, and those that start after all have ended. It has one record, which any instance
// may replace that has merged it.
var poisonTopic = platform.KeyedTopic("poison")

const (
	// poisonRecordKey is the key of that record. Records of other keys, which earlier builds wrote for each zone,
	// are merged as well.
	poisonRecordKey = "all"
	// poisonTimeBytes is the length of the time at the beginning of a record.
	poisonTimeBytes = 8
)

var errNoEvidence = errors.New("record holds no evidence")

// encodePoisonRecord returns a record: the Unix time in milliseconds (8 bytes, big-endian), from which
// its ages count, and the evidence as a message to a peer.
func encodePoisonRecord(now time.Time, evidence poison.Evidence) ([]byte, error) {
	message, err := peer.Encode(peer.PoisonEvidence{Evidence: evidence})
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, uint64(now.UnixMilli())), message...), nil
}

// decodePoisonRecord returns the evidence of a record as of now. A record of the future, as clocks
// differ, counts as new.
func decodePoisonRecord(now time.Time, record []byte) (poison.Evidence, error) {
	if len(record) < poisonTimeBytes {
		return poison.Evidence{}, errNoEvidence
	}
	message, err := peer.Decode(record[poisonTimeBytes:])
	if err != nil {
		return poison.Evidence{}, fmt.Errorf("%w: %w", errNoEvidence, err)
	}
	evidence, ok := message.(peer.PoisonEvidence)
	if !ok {
		return poison.Evidence{}, errNoEvidence
	}
	written := time.UnixMilli(int64(binary.BigEndian.Uint64(record)))
	return evidence.Evidence.Older(max(0, now.Sub(written))), nil
}

// poisonDigest identifies evidence as of now. It is the same for the same evidence at any time.
func poisonDigest(now time.Time, evidence poison.Evidence) uint64 {
	since := func(age time.Duration) int64 { return now.Add(-age).UnixMilli() }
	var lines []string
	for _, end := range evidence.Ends {
		lines = append(lines, fmt.Sprint("end", end.Incarnation, since(end.Age)))
		if end.Answered {
			lines = append(lines, fmt.Sprint("answered", end.Incarnation, since(end.AnsweredAge)))
		}
		for _, blamed := range end.Blamed {
			lines = append(lines, fmt.Sprint("blamed", end.Incarnation, blamed))
		}
	}
	for _, begun := range evidence.Begun {
		lines = append(lines, fmt.Sprint("begun", begun.Key, since(begun.Age)))
	}
	for _, trial := range evidence.Trials {
		lines = append(lines, fmt.Sprint("trial", trial.Key, since(trial.Age)))
	}
	slices.Sort(lines)
	return xxhash.Sum64String(fmt.Sprint(lines))
}
