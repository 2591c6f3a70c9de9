package router

import (
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/topiccache"
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
// need not read the store.
func (r *Router) newRelay(c *consumer) func(update topiccache.Update) {
	return func(update topiccache.Update) {
		role := r.relayRole()
		message := peer.TopicRecords{Topic: c.topic, Update: update, Pushed: true}
		if role.relaysToZone {
			r.mesh.BroadcastZone(message)
		}
		message.Update = crossZoneUpdate(update)
		for _, instance := range role.zoneRelays {
			r.mesh.Send(instance, message)
		}
	}
}

// maxCrossZoneBytes is the maximum size of the records pushed to another zone. For larger
// updates, such as long configurations, a read of the store costs less than the inter-zone
// link.
const maxCrossZoneBytes = 8 << 10

// crossZoneUpdate returns what is pushed to other zones for an update: the update itself,
// or, if it is too large, only its end offset, so that they read it from the store.
func crossZoneUpdate(update topiccache.Update) topiccache.Update {
	size := 0
	for _, record := range update.Records {
		size += len(record.Key) + len(record.Value)
	}
	if size > maxCrossZoneBytes {
		return topiccache.Update{From: update.Next, Next: update.Next}
	}
	return update
}

// handleTopicRecords applies records from a peer. If records before a push are missing, they
// are requested from the sender if it is in this zone, and otherwise read from the store.
// The first instance of the zone relays the pushes that it has applied from other zones to
// the zone's instances.
func (r *Router) handleTopicRecords(from peer.Hello, message peer.TopicRecords) {
	c := r.consumerOf(message.Topic)
	if c == nil {
		return
	}
	now := time.Now()
	if !message.Pushed {
		r.logger.Info("records of a peer", zap.String("peer", string(from.Instance)), zap.String("topic", message.Topic),
			zap.Int("count", len(message.Update.Records)), zap.Int64("next", int64(message.Update.Next)))
		c.handle(now, message.Update, false)
		return
	}
	crossZone := from.Zone != instancelist.Zone(r.settings.Zone)
	upToDate := c.handlePush(now, message.Update)
	switch {
	case !upToDate && crossZone:
		c.resumeReading()
	case !upToDate:
		_, next := c.position()
		r.mesh.Send(from.Instance, peer.TopicRecordsRequest{Topic: message.Topic, From: next})
	case crossZone && r.relayRole().relaysToZone:
		r.mesh.BroadcastZone(message)
	}
}
