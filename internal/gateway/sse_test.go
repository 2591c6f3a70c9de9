package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// TestEventsAreWhole cuts a stream anywhere and hands it over in pieces of any size:
// only whole events come out, and a clean end only after a whole one.
func TestEventsAreWhole(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 30).Draw(t, "count")
		text := ""
		for range count {
			text += "id: 7\ndata: " + strings.Repeat("x", rapid.IntRange(0, 5000).Draw(t, "size")) + "\n\n"
		}
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		reader := newEventReader(iotest.OneByteReader(strings.NewReader(text[:cut])))
		got := ""
		var err error
		for err == nil {
			var next event
			if next, err = reader.next(); err == nil {
				got += string(next.data)
				if next.id != 7 || !next.hasID {
					t.Fatalf("id %d", next.id)
				}
			}
		}
		whole := strings.LastIndex(text[:cut], "\n\n")
		if whole >= 0 {
			whole += len("\n\n")
		}
		if got != text[:max(0, whole)] {
			t.Fatalf("got %d bytes of %d", len(got), cut)
		}
		if clean := errors.Is(err, io.EOF); clean != (len(got) == cut) {
			t.Fatalf("cut at %d of %d: %v", cut, len(text), err)
		}
	})
}

// TestCrashesBlockAfterThree checks that a request is kept away after it has brought
// down three backend servers, for a time.
func TestCrashesBlockAfterThree(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCrashes()
	request := engine.Fingerprint(1)
	for range crashLimit {
		assert.Assert(t, !c.blocked(now, request))
		c.note(now, request)
	}
	assert.Assert(t, c.blocked(now, request))
	assert.Assert(t, !c.blocked(now, engine.Fingerprint(2)))
	assert.Assert(t, !c.blocked(now.Add(2*crashMemory), request))
}

// TestCrashesAreBounded fills the memory for such requests.
func TestCrashesAreBounded(t *testing.T) {
	c := newCrashes()
	for i := range 3 * mostCrashes {
		c.note(time.Unix(1000, 0), engine.Fingerprint(i))
	}
	assert.Assert(t, len(c.known) <= mostCrashes)
}
