package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// prefixHashes returns a hash for each complete block of a prompt. A block's hash
// also covers the model, the version and all blocks before it.
func prefixHashes(model environment.ModelName, version environment.ModelVersion, prompt []hashmodel.Token) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model) + "\x00" + string(version) + "\x00")
	var hashes []uint64
	var word [4]byte
	for i, token := range prompt {
		binary.LittleEndian.PutUint32(word[:], uint32(token))
		_, _ = digest.Write(word[:])
		if (i+1)%prefixBlockSize == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}

// FingerprintOf returns the fingerprint of a team's request.
func FingerprintOf(team environment.TeamName, model environment.ModelName, prompt []hashmodel.Token) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(team) + "\x00" + string(model) + "\x00")
	var word [4]byte
	for _, token := range prompt {
		binary.LittleEndian.PutUint32(word[:], uint32(token))
		_, _ = digest.Write(word[:])
	}
	return Fingerprint(digest.Sum64())
}
