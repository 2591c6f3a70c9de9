package router

import (
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

// relayRole is the role of an instance in distributing what is read from the store. One
// instance reads for all that it can reach. It pushes updates to its own zone and to the
// first instance of each other zone, which relays them to its zone. The number of store
// calls then does not grow with the number of instances, and each update crosses each
// zone boundary once.
type relayRole struct {
	readsStore   bool // reads for all instances, as the one with the smallest id
	relaysToZone bool // pushes updates to its own zone, as its first instance
	// zoneRelays are the first instances of the other zones. Only the instance that reads
	// for all has them.
	zoneRelays []instancelist.ID
}

// relayRoleOf returns the role of an instance. active lists the active instances, sorted by
// id, and includes it unless it is shutting down. An instance that is shutting down does
// not relay unless no instance is active; it still reads the store while no peer pushes.
func relayRoleOf(self deployment.InstanceID, zone deployment.Zone, active []peer.Hello) relayRole {
	firstInZone := map[instancelist.Zone]instancelist.ID{}
	var zoneRelays []instancelist.ID
	for _, instance := range active {
		if _, known := firstInZone[instance.Zone]; known {
			continue
		}
		firstInZone[instance.Zone] = instance.Instance
		if instance.Zone != instancelist.Zone(zone) {
			zoneRelays = append(zoneRelays, instance.Instance)
		}
	}
	if len(active) == 0 || active[0].Instance == instancelist.ID(self) {
		return relayRole{readsStore: true, relaysToZone: true, zoneRelays: zoneRelays}
	}
	return relayRole{relaysToZone: firstInZone[instancelist.Zone(zone)] == instancelist.ID(self)}
}

// relayRole returns the current role of this instance.
func (r *Router) relayRole() relayRole {
	return relayRoleOf(r.settings.Instance, r.settings.Zone, r.mesh.Active())
}

// newRelay returns a function that pushes what this instance has just read of a topic to
// the instances that it reads for. An empty update is pushed too: it shows them that they
// need not read the store. An instance that reads for itself only tells its zone the offset
// of new records, for those that the store turns away, unless another one has.
func (r *Router) newRelay(c *consumer) func(update topiccache.Update) {
	return func(update topiccache.Update) {
		role := r.relayRole()
		if !role.relaysToZone {
			next, _ := c.reader.Position()
			if update.Next > max(next, c.heardNext) {
				r.mesh.BroadcastZone(announcement(c.topic, update.Next))
			}
			return
		}
		message := pushOf(c.topic, c.cache, update)
		r.mesh.BroadcastZone(message)
		for _, instance := range role.zoneRelays {
			r.mesh.Send(instance, message)
		}
	}
}

// maxPushBytes is the maximum size of the records, or the differences, of a push. Of more, only
// the offset is pushed: each instance then reads the store, or asks one peer.
const maxPushBytes = 8 << 10

// pushOf returns the push of an update that has just been read. cache holds the records before
// the update.
func pushOf(topic string, cache *topiccache.Cache, update topiccache.Update) peer.TopicRecords {
	message := peer.TopicRecords{Topic: topic, Pushed: true}
	update = cache.ChangesOf(update)
	update.Records = topiccache.Newest(update.Records)
	if !update.Snapshot && update.Size() <= maxPushBytes {
		message.Update = update
		return message
	}
	message.Update = topiccache.Update{From: update.Next, Next: update.Next}
	if differences, ok := cache.EncodeDifferences(update, maxPushBytes); ok {
		message.Differences, message.Update.Compacted = &differences, update.Compacted
	}
	return message
}

// announcement returns a message that tells the offset up to which this instance has records.
func announcement(topic string, next platform.Offset) peer.TopicRecords {
	return peer.TopicRecords{Topic: topic, Announced: true, Update: topiccache.Update{From: next, Next: next}}
}
