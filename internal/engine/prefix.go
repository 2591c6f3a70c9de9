package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// prefixHashes returns the hash of each whole block of a prompt; each covers
// all before it.
func prefixHashes(model environment.ModelName, version environment.ModelVersion, prompt []hashmodel.Token) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model) + "\x00" + string(version) + "\x00")
	var hashes []uint64
	var word [4]byte
	for i, token := range prompt {
		binary.LittleEndian.PutUint32(word[:], uint32(token))
		_, _ = digest.Write(word[:])
		if (i+1)%prefixBlock == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}

// FingerprintOf returns the fingerprint of a tenant's request.
func FingerprintOf(tenant environment.TeamName, model environment.ModelName, prompt []hashmodel.Token) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(tenant) + "\x00" + string(model) + "\x00")
	var word [4]byte
	for _, token := range prompt {
		binary.LittleEndian.PutUint32(word[:], uint32(token))
		_, _ = digest.Write(word[:])
	}
	return Fingerprint(digest.Sum64())
}
