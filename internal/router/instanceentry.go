package router

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/relay"
	"mulberryhead.org/mulberryhead/platform"
)

// wireInstance is an entry of instancesTopic.
type wireInstance struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Millis  int64  `cbor:"3,keyasint"` // Unix time of the write, in milliseconds
	// RelayKey is absent if the instance takes no relayed requests.
	RelayKey []byte `cbor:"4,keyasint,omitempty"`
}

// encodeInstance returns an instance's entry of instancesTopic. With the zero key, no peer
// relays requests to it.
func encodeInstance(settings deployment.Settings, key relay.Key, now time.Time) ([]byte, error) {
	return cbor.Marshal(wireInstance{
		Address: string(settings.PeerAddress), Zone: string(settings.Zone), Millis: now.UnixMilli(), RelayKey: key.Bytes(),
	})
}

// instanceEntry is a decoded entry of instancesTopic. Its fields are exported, since package
// fmt prints the bytes of a key in a field that is not.
type instanceEntry struct {
	Instance instancelist.Instance
	RelayKey relay.Key // zero if the instance takes no relayed requests
}

// decodeInstances returns the entries of the other instances in records of instancesTopic.
// Invalid entries and those older than maxEntryAge are left out.
func (r *Router) decodeInstances(now time.Time, records []platform.Record) []instanceEntry {
	var entries []instanceEntry
	for _, record := range records {
		var wire wireInstance
		if err := cbor.Unmarshal(record.Value, &wire); err != nil {
			r.logger.Info("ignoring invalid instance entry", zap.String("key", record.Key), zap.Error(err))
			continue
		}
		age := now.Sub(time.UnixMilli(wire.Millis))
		if record.Key == string(r.settings.Instance) || age > maxEntryAge {
			continue
		}
		entries = append(entries, wire.entry(instancelist.ID(record.Key)))
	}
	return entries
}

// entry decodes an entry. A relay key of another length counts as absent.
func (w *wireInstance) entry(id instancelist.ID) instanceEntry {
	key, _ := relay.KeyFromBytes(w.RelayKey)
	return instanceEntry{
		Instance: instancelist.Instance{
			ID: id, Kind: instancelist.KindEntry, Zone: instancelist.Zone(w.Zone), Address: w.Address,
		},
		RelayKey: key,
	}
}

// instancesOf returns the instances of entries, without their keys.
func instancesOf(entries []instanceEntry) []instancelist.Instance {
	list := make([]instancelist.Instance, 0, len(entries))
	for _, entry := range entries {
		list = append(list, entry.Instance)
	}
	return list
}

// relayPeersOf returns the instances of entries that take relayed requests.
func relayPeersOf(entries []instanceEntry) []relay.Peer {
	var peers []relay.Peer
	for _, entry := range entries {
		if entry.RelayKey.IsZero() {
			continue
		}
		peers = append(peers, relay.Peer{
			ID: deployment.InstanceID(entry.Instance.ID), Zone: deployment.Zone(entry.Instance.Zone),
			Address: deployment.Address(entry.Instance.Address), Key: entry.RelayKey,
		})
	}
	return peers
}
