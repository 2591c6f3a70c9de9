package relay

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestKeyIsPrinted guards against a key in a log.
func TestKeyIsPrinted(t *testing.T) {
	peer := Peer{ID: "a", Key: NewKey()}
	shown := peer.Key.header()
	encoded, err := json.Marshal(peer)
	assert.NilError(t, err)
	texts := []string{string(encoded), fmt.Sprint(peer), fmt.Sprint(&peer)}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%X", "%d", "%q"} {
		texts = append(texts, fmt.Sprintf(verb, peer), fmt.Sprintf(verb, peer.Key), fmt.Sprintf(verb, []Peer{peer}))
	}
	for _, text := range texts {
		assert.Assert(t, !strings.Contains(strings.ToLower(text), shown[:8]), text)
		assert.Assert(t, !strings.Contains(text, fmt.Sprintf("%d %d", peer.Key[0], peer.Key[1])), text)
	}
}

// TestKeysAreEqual guards against a key that another process has too.
func TestKeysAreEqual(t *testing.T) {
	first, second := NewKey(), NewKey()
	assert.Assert(t, first != second)
}

// TestAbsentKeyMatches guards against calls that are allowed without a key.
func TestAbsentKeyMatches(t *testing.T) {
	var none Key
	assert.Assert(t, !none.matches(""))
	assert.Assert(t, !none.matches(none.header()))
	key := NewKey()
	assert.Assert(t, key.matches(key.header()))
	assert.Assert(t, !key.matches(""))
	assert.Assert(t, !key.matches(key.header()[1:]))
	assert.Assert(t, !key.matches(NewKey().header()))
}

// TestKeyOfWrongLength guards against a short or absent key that is taken for one.
func TestKeyOfWrongLength(t *testing.T) {
	key := NewKey()
	decoded, ok := KeyFromBytes(key.Bytes())
	assert.Assert(t, ok && decoded == key)
	for _, data := range [][]byte{nil, key.Bytes()[1:], append(key.Bytes(), 0), make([]byte, KeyBytes)} {
		_, ok := KeyFromBytes(data)
		assert.Assert(t, !ok)
	}
	assert.Assert(t, Key{}.Bytes() == nil)
}
