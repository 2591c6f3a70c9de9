package topiccache

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// document returns a long configuration of a version.
func document(version int) []byte {
	configuration := platformtest.DefaultConfiguration(version, true)
	configuration.MoreRoutes, configuration.ChangedRoute = 1560, (version*311)%1560
	return configuration.JSON()
}

// TestDifferenceOfSmallChangeIsLong guards against a change of one route that costs a link as
// much as the whole document.
func TestDifferenceOfSmallChangeIsLong(t *testing.T) {
	base := platform.Record{Offset: 4, Key: "config", Value: document(1)}
	record := platform.Record{Offset: 5, Key: "config", Value: document(2)}
	d, err := EncodeDifference(&base, record)
	assert.NilError(t, err)
	assert.Check(t, len(d.Data) < 4096, "%d bytes for a change of one route", len(d.Data))
	got, err := d.Decode(base)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, record)
	whole, err := EncodeDifference(nil, record)
	assert.NilError(t, err)
	t.Logf("%d bytes: %d as a difference, %d compressed", len(record.Value), len(d.Data), len(whole.Data))
	got, err = whole.Decode(platform.Record{})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, record)
}

// TestDifferenceIsAppliedToAnotherBase guards against a document that is put together from a
// difference and the wrong version, or from damaged bytes.
func TestDifferenceIsAppliedToAnotherBase(t *testing.T) {
	base := platform.Record{Offset: 4, Key: "config", Value: document(1)}
	d, err := EncodeDifference(&base, platform.Record{Offset: 5, Key: "config", Value: document(2)})
	assert.NilError(t, err)
	var wrong *DifferenceError
	_, err = d.Decode(platform.Record{Offset: 4, Key: "config", Value: document(3)})
	assert.Check(t, errors.As(err, &wrong), "%v", err)
	for _, cut := range []int{0, 1, len(d.Data) / 2, len(d.Data) - 1} {
		damaged := d
		damaged.Data = d.Data[:cut:cut]
		_, err = damaged.Decode(base)
		assert.Check(t, errors.As(err, &wrong), "cut to %d: %v", cut, err)
	}
	cache := New()
	cache.Replace([]platform.Record{{Offset: 3, Key: "config", Value: document(1)}}, 4)
	_, known, err := cache.DecodeDifferences(Differences{From: 4, Next: 6, Changes: []Difference{d}})
	assert.NilError(t, err)
	assert.Check(t, !known, "the base at another offset was used")
}

// TestDifferencesConverge guards against a cache that differs after differences from what it is
// after the records themselves.
func TestDifferencesConverge(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		near, far := New(), New()
		for _, c := range []*Cache{near, far} {
			c.Replace(nil, 1)
		}
		next := platform.Offset(1)
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			update := Update{From: next}
			for range rapid.IntRange(0, 5).Draw(t, "records") {
				record := platform.Record{Offset: next, Key: rapid.StringMatching("[ab]").Draw(t, "key")}
				if rapid.IntRange(0, 3).Draw(t, "deleted") > 0 {
					record.Value = rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "value")
				}
				update.Records = append(update.Records, record)
				next++
			}
			update.Next = next
			differences, ok := near.EncodeDifferences(update, 1<<20)
			if !ok {
				t.Fatal("not encoded")
			}
			decoded, known, err := far.DecodeDifferences(differences)
			if err != nil || !known {
				t.Fatalf("not decoded: %v %v", known, err)
			}
			near.Apply(update)
			far.Apply(decoded)
			for _, key := range []string{"a", "b"} {
				a, b := near.base(key), far.base(key)
				if (a == nil) != (b == nil) || a != nil && (a.Offset != b.Offset || string(a.Value) != string(b.Value)) {
					t.Fatalf("%s: %v and %v", key, a, b)
				}
			}
		}
	})
}

func BenchmarkDifference(b *testing.B) {
	base := platform.Record{Offset: 4, Key: "config", Value: document(1)}
	record := platform.Record{Offset: 5, Key: "config", Value: document(2)}
	d, err := EncodeDifference(&base, record)
	assert.NilError(b, err)
	whole, err := EncodeDifference(nil, record)
	assert.NilError(b, err)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = EncodeDifference(&base, record)
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = d.Decode(base)
		}
	})
	b.Run("compress", func(b *testing.B) {
		for b.Loop() {
			_, _ = EncodeDifference(nil, record)
		}
	})
	b.Run("decompress", func(b *testing.B) {
		for b.Loop() {
			_, _ = whole.Decode(platform.Record{})
		}
	})
	b.Run("configuration", func(b *testing.B) {
		for b.Loop() {
			_, _ = platform.DecodeConfiguration(record.Value)
		}
	})
}
