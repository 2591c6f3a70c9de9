package topiccache

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"mulberryhead.org/mulberryhead/platform"
)

// NoBase is the base of a difference that holds the whole value, compressed.
const NoBase platform.Offset = -1

const (
	// dictionaryID names a base to the compressor. Any number does, as a difference names its
	// base itself.
	dictionaryID = 1
	// maxValueBytes is the maximum size of a decoded value. It is well above the largest record
	// that the platform's store takes.
	maxValueBytes = 4 << 20
	// windowBytes is how far back the compressor looks. It holds a value and its base.
	windowBytes = 1 << 20
)

// Difference is a record whose value is given as the difference from an earlier value of its
// key, or compressed.
type Difference struct {
	Offset platform.Offset
	Key    string
	Base   platform.Offset // of the record that holds the earlier value, or NoBase
	Sum    uint64          // hash of the value
	Data   []byte          // nil if the key was deleted
}

// DifferenceError reports a difference that can't be decoded, or that does not fit its base.
type DifferenceError struct {
	Key    string
	Offset platform.Offset
	Cause  error // nil if the value has another hash
}

func (e *DifferenceError) Error() string {
	return fmt.Sprintf("difference of %s at %d: %v", e.Key, e.Offset, e.Cause)
}

func (e *DifferenceError) Unwrap() error { return e.Cause }

// EncodeDifference returns a record as the difference from an earlier record of its key, or
// compressed if base is nil.
func EncodeDifference(base *platform.Record, record platform.Record) (Difference, error) {
	d := Difference{Offset: record.Offset, Key: record.Key, Base: NoBase}
	if record.Value == nil {
		return d, nil
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderCRC(false),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true),
	}
	if base != nil && len(base.Value) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base.Value))
		d.Base = base.Offset
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Difference{}, &DifferenceError{Key: record.Key, Offset: record.Offset, Cause: err}
	}
	d.Sum = xxhash.Sum64(record.Value)
	d.Data = encoder.EncodeAll(record.Value, nil)
	return d, nil
}

// Decode returns the record. base is the record at Base; it is not used if Base is NoBase.
// Errors are a *DifferenceError.
func (d Difference) Decode(base platform.Record) (platform.Record, error) {
	record := platform.Record{Offset: d.Offset, Key: d.Key}
	if d.Data == nil {
		return record, nil
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes)}
	if d.Base != NoBase {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base.Value))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return platform.Record{}, &DifferenceError{Key: d.Key, Offset: d.Offset, Cause: err}
	}
	defer decoder.Close()
	record.Value, err = decoder.DecodeAll(d.Data, nil)
	if err != nil || xxhash.Sum64(record.Value) != d.Sum {
		return platform.Record{}, &DifferenceError{Key: d.Key, Offset: d.Offset, Cause: err}
	}
	return record, nil
}

// Differences is a range of a topic's changes as differences. Only the newest change of each key
// is among them.
type Differences struct {
	From    platform.Offset // offset at which the changes begin
	Next    platform.Offset // offset after the last change
	Changes []Difference
}

// EncodeDifferences returns an update as differences from the cached records, which must be those
// before the update. It returns false if the update is a snapshot, a record can't be encoded, or
// the differences are larger than maxBytes.
func (c *Cache) EncodeDifferences(update Update, maxBytes int) (Differences, bool) {
	if update.Snapshot {
		return Differences{}, false
	}
	differences := Differences{From: update.From, Next: update.Next}
	size := 0
	for _, record := range Newest(update.Records) {
		d, err := EncodeDifference(c.base(record.Key), record)
		if size += len(d.Key) + len(d.Data); err != nil || size > maxBytes {
			return Differences{}, false
		}
		differences.Changes = append(differences.Changes, d)
	}
	return differences, true
}

// ChangesOf returns a snapshot as the compacted changes from the cached records, with those of keys that
// it lacks. Other updates, and snapshots for an empty cache, are returned as they are.
func (c *Cache) ChangesOf(update Update) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !update.Snapshot || c.next == 0 || update.Next < c.next {
		return update
	}
	changes := Update{Compacted: true, From: c.next, Next: update.Next}
	kept := make(map[string]bool, len(update.Records))
	for _, record := range update.Records {
		kept[record.Key] = true
		if record.Offset >= c.next {
			changes.Records = append(changes.Records, record)
		}
	}
	for key, record := range c.records {
		if record.Value != nil && !kept[key] {
			changes.Records = append(changes.Records, platform.Record{Offset: max(c.next, update.Next-1), Key: key})
		}
	}
	return changes
}

// DecodeDifferences returns the update that differences stand for. It returns false if a base is
// not cached, and an error if a difference can't be decoded.
func (c *Cache) DecodeDifferences(differences Differences) (Update, bool, error) {
	update := Update{From: differences.From, Next: differences.Next}
	for _, d := range differences.Changes {
		base := platform.Record{}
		if d.Base != NoBase {
			cached := c.base(d.Key)
			if cached == nil || cached.Offset != d.Base {
				return Update{}, false, nil
			}
			base = *cached
		}
		record, err := d.Decode(base)
		if err != nil {
			return Update{}, false, err
		}
		update.Records = append(update.Records, record)
	}
	return update, true, nil
}

// base returns the cached record of a key, nil if there is none.
func (c *Cache) base(key string) *platform.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.records[key]
	if !ok {
		return nil
	}
	return &record
}

// Newest returns the newest record of each key, in the order of their offsets. records are in
// that order too.
func Newest(records []platform.Record) []platform.Record {
	last := make(map[string]int, len(records))
	for i, record := range records {
		last[record.Key] = i
	}
	if len(last) == len(records) {
		return records
	}
	newest := make([]platform.Record, 0, len(last))
	for i, record := range records {
		if last[record.Key] == i {
			newest = append(newest, record)
		}
	}
	return newest
}

// Size returns the bytes of an update's keys and values.
func (u Update) Size() int {
	size := 0
	for _, record := range u.Records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}

// Compress returns an update with all values compressed. Errors are a *DifferenceError.
func (u Update) Compress() ([]Difference, error) {
	changes := make([]Difference, 0, len(u.Records))
	for _, record := range u.Records {
		d, err := EncodeDifference(nil, record)
		if err != nil {
			return nil, err
		}
		changes = append(changes, d)
	}
	return changes, nil
}
