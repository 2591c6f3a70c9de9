// Package hashmodel implements a deterministic model, built from hash functions,
// whose answers can be verified: barring hash collisions, a token is correct if and
// only if every layer ran exactly once for every position, in order, on the correct
// prompt.
//
// Usage: split a prompt with Tokenize and compute the reference answer with Answer:
//
//	want := hashmodel.Answer("v1", layers, hashmodel.Tokenize(prompt), maxTokens)
//
// An engine that holds a range of the layers keeps one KV per session and calls
// KV.Run for each position. The engine with layer 0 obtains the input from Embed, the
// one with the last layer obtains the token from Pick.
package hashmodel

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token is one entry of the vocabulary.
type Token uint32

// Hidden is the hidden state, the output of one layer and the input of the next.
type Hidden uint64

// VocabularySize is the number of distinct tokens; tokens are less than it.
const VocabularySize = 1 << 16

// mix hashes three numbers into one.
func mix(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	binary.LittleEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}

// Tokenize returns one token per word of the prompt. Words are separated by white
// space.
func Tokenize(prompt string) []Token {
	words := strings.Fields(prompt)
	tokens := make([]Token, len(words))
	for i, w := range words {
		tokens[i] = Token(xxhash.Sum64String(w) % VocabularySize)
	}
	return tokens
}

// Text returns the text of a token, with a trailing space.
func Text(t Token) string {
	return "t" + strconv.FormatUint(uint64(t), 36) + " "
}

// Embed returns the input of layer 0 for a token under a model version.
func Embed(version string, t Token) Hidden {
	return Hidden(mix(xxhash.Sum64String(version), uint64(t), 0))
}

// Pick returns the token that the output of the last layer selects.
func Pick(h Hidden) Token {
	return Token(uint64(h) % VocabularySize)
}

// KV is the state that a range of layers keeps for one session. It takes the place
// of a KV cache.
type KV struct {
	first  int
	states []uint64
}

// NewKV returns the initial state of the layers from first up to but excluding end.
func NewKV(first, end int) *KV {
	return &KV{first: first, states: make([]uint64, end-first)}
}

// Run runs every layer of the range once for the next position. h is the output of
// layer first-1, or of Embed if first is 0.
func (kv *KV) Run(h Hidden) Hidden {
	for i := range kv.states {
		layer := uint64(kv.first + i)
		kv.states[i] = mix(kv.states[i], uint64(h), layer)
		h = Hidden(mix(uint64(h), kv.states[i], layer))
	}
	return h
}

// Clone returns an independent copy.
func (kv *KV) Clone() *KV {
	return &KV{first: kv.first, states: append([]uint64(nil), kv.states...)}
}

// Answer returns the n tokens that the whole model generates for a prompt.
func Answer(version string, layers int, prompt []Token, n int) []Token {
	kv := NewKV(0, layers)
	var h Hidden
	for _, t := range prompt {
		h = kv.Run(Embed(version, t))
	}
	answer := make([]Token, 0, n)
	for len(answer) < n {
		t := Pick(h)
		answer = append(answer, t)
		h = kv.Run(Embed(version, t))
	}
	return answer
}
