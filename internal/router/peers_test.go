package router

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/relay"
	"mulberryhead.org/mulberryhead/platform"
)

// entryRecord returns the record of an instance's entry.
func entryRecord(t *testing.T, settings deployment.Settings, key relay.Key, now time.Time) platform.Record {
	value, err := encodeInstance(settings, key, now)
	assert.NilError(t, err)
	return platform.Record{Key: string(settings.Instance), Value: value}
}

// TestInstanceWithoutKeyIsCalled guards against requests that are relayed to an instance that
// takes none, to an ended one or to this instance itself, and against peers that are unlisted
// for want of a key.
func TestInstanceWithoutKeyIsCalled(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	key := relay.NewKey()
	self := deployment.Settings{Instance: "self", Zone: "z", PeerAddress: "127.0.0.1:1"}
	other := deployment.Settings{Instance: "other", Zone: "z2", PeerAddress: "127.0.0.1:2"}
	keyless, ended := other, other
	keyless.Instance, ended.Instance = "keyless", "ended"
	short, err := cbor.Marshal(wireInstance{Address: "127.0.0.1:3", Zone: "z", Millis: now.UnixMilli(), RelayKey: []byte{1}})
	assert.NilError(t, err)
	r := &Router{settings: self, logger: zap.NewNop()}
	entries := r.decodeInstances(now, []platform.Record{
		entryRecord(t, self, key, now), entryRecord(t, other, key, now), entryRecord(t, keyless, relay.Key{}, now),
		entryRecord(t, ended, key, now.Add(-maxEntryAge-time.Millisecond)), {Key: "short", Value: short}, {Key: "invalid", Value: []byte("x")},
	})
	peers := relayPeersOf(entries)
	assert.Equal(t, len(peers), 1)
	assert.Equal(t, peers[0], relay.Peer{ID: "other", Zone: "z2", Address: "127.0.0.1:2", Key: key})
	var listed []instancelist.ID
	for _, instance := range instancesOf(entries) {
		listed = append(listed, instance.ID)
	}
	assert.DeepEqual(t, listed, []instancelist.ID{"other", "keyless", "short"})
}

// TestEntryOfAnEarlierVersion guards against instances that are unknown to one another during
// an update.
func TestEntryOfAnEarlierVersion(t *testing.T) {
	type earlierEntry struct {
		Address string `cbor:"1,keyasint"`
		Zone    string `cbor:"2,keyasint"`
		Millis  int64  `cbor:"3,keyasint"`
	}
	now := time.UnixMilli(1_000_000)
	value, err := cbor.Marshal(earlierEntry{Address: "a:1", Zone: "z", Millis: now.UnixMilli()})
	assert.NilError(t, err)
	r := &Router{settings: deployment.Settings{Instance: "self"}, logger: zap.NewNop()}
	entries := r.decodeInstances(now, []platform.Record{{Key: "earlier", Value: value}})
	assert.DeepEqual(t, instancesOf(entries), []instancelist.Instance{{ID: "earlier", Kind: instancelist.KindEntry, Zone: "z", Address: "a:1"}})
	assert.Equal(t, len(relayPeersOf(entries)), 0)
	settings := deployment.Settings{Instance: "new", Zone: "z", PeerAddress: "a:2"}
	var decoded earlierEntry
	assert.NilError(t, cbor.Unmarshal(entryRecord(t, settings, relay.NewKey(), now).Value, &decoded))
	assert.Equal(t, decoded, earlierEntry{Address: "a:2", Zone: "z", Millis: now.UnixMilli()})
}

// TestKeyIsGossipedOrPrinted guards against a key that instances tell one another over their links, or
// print with an entry.
func TestKeyIsGossipedOrPrinted(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	key := relay.NewKey()
	r := &Router{settings: deployment.Settings{Instance: "self"}, logger: zap.NewNop()}
	entries := r.decodeInstances(now, []platform.Record{entryRecord(t, deployment.Settings{Instance: "other"}, key, now)})
	message, err := peer.Encode(peer.Members{Instances: instancesOf(entries)})
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(message, key.Bytes()[:8]))
	secret := key.Bytes()
	for _, printed := range []string{fmt.Sprint(entries), fmt.Sprintf("%+v", entries), fmt.Sprintf("%#v", entries)} {
		for _, part := range []string{string(secret[:8]), fmt.Sprintf("%x", secret[:8]), fmt.Sprintf("%d %d %d", secret[0], secret[1], secret[2])} {
			assert.Assert(t, !strings.Contains(printed, part), printed)
		}
		assert.Assert(t, strings.Contains(printed, "redacted"), printed)
	}
}

// TestKnownInstancesCoverLinks guards against a relay key that stays that of an earlier process, and
// against an instance that the others don't learn of, as the topic is read less often.
func TestKnownInstancesCoverLinks(t *testing.T) {
	first := peer.Hello{Instance: "a", Incarnation: uuid.New()}
	unlisted := peer.Hello{Instance: "b", Incarnation: uuid.New()}
	known := newKnownInstances([]instancelist.Instance{{ID: "a"}, {ID: "c"}}, []peer.Hello{first, unlisted})
	assert.Assert(t, known.cover([]peer.Hello{first}))
	assert.Assert(t, known.cover([]peer.Hello{{Instance: "c", Incarnation: uuid.New()}}), "listed, and linked since")
	assert.Assert(t, !known.cover([]peer.Hello{first, unlisted}))
	assert.Assert(t, !known.cover([]peer.Hello{{Instance: "a", Incarnation: uuid.New()}}), "restarted")
}
