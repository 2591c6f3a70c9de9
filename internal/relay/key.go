package relay

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
)

// KeyBytes is the length of a key.
const KeyBytes = 32

// redactedKey is printed in place of a key.
const redactedKey = "redacted"

// Key is the secret that a caller of a Handler must know. Each process makes one at its
// start. The zero Key is none: it allows no call. Keys are printed as "redacted".
type Key [KeyBytes]byte

// NewKey returns a random key.
func NewKey() Key {
	var key Key
	_, _ = rand.Read(key[:]) // never fails, as documented
	return key
}

// KeyFromBytes returns the key with an encoding that Bytes returned. It returns false if
// data is not that of a key.
func KeyFromBytes(data []byte) (Key, bool) {
	if len(data) != KeyBytes {
		return Key{}, false
	}
	key := Key(data)
	return key, !key.IsZero()
}

// IsZero reports whether there is no key.
func (k Key) IsZero() bool { return k == Key{} }

// Bytes returns the encoding of a key for the platform's store, nil for the zero Key.
func (k Key) Bytes() []byte {
	if k.IsZero() {
		return nil
	}
	return append([]byte(nil), k[:]...)
}

// header returns the value with which a caller shows that it knows the key.
func (k Key) header() string { return hex.EncodeToString(k[:]) }

// matches reports whether a header value shows the key, in a time that does not depend on
// the value's content.
func (k Key) matches(value string) bool {
	return !k.IsZero() && subtle.ConstantTimeCompare([]byte(value), []byte(k.header())) == 1
}

// Format implements fmt.Formatter for all verbs.
func (k Key) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redactedKey) }

// MarshalText implements encoding.TextMarshaler, which loggers use.
func (k Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }
