package router

import (
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/topiccache"
)

// feeding is who an instance reads the store's topics for. One instance reads for all
// that it can reach and hands on to its zone and to the first of each other zone, which
// hands on to its own. The calls to the store then don't grow with the instances, and
// what is read crosses each border once.
type feeding struct {
	all    bool // it reads for all, as the first of all
	zone   bool // it is the first of its zone: hands on, and reads while nobody feeds it
	firsts []instancelist.ID
}

// feedingOf returns what an instance does among those present, itself included, which
// are in the order of their ids. An instance that is not present reads for itself.
func feedingOf(self deployment.InstanceID, zone deployment.Zone, present []peer.Hello) feeding {
	first := map[instancelist.Zone]instancelist.ID{}
	var firsts []instancelist.ID
	for _, instance := range present {
		if _, known := first[instance.Zone]; known {
			continue
		}
		first[instance.Zone] = instance.Instance
		if instance.Zone != instancelist.Zone(zone) {
			firsts = append(firsts, instance.Instance)
		}
	}
	if len(present) == 0 || present[0].Instance == instancelist.ID(self) {
		return feeding{all: true, zone: true, firsts: firsts}
	}
	return feeding{zone: first[instancelist.Zone(zone)] == instancelist.ID(self)}
}

func (r *Router) feeding() feeding {
	return feedingOf(r.settings.Instance, r.settings.Zone, r.mesh.Active())
}

// feeder returns what hands on what this instance has just read of a topic, if it reads
// for others. An empty part is handed on too, as a sign that they need not read.
func (r *Router) feeder(t *tail) func(part topiccache.Update) {
	return func(part topiccache.Update) {
		feeding := r.feeding()
		message := peer.TopicRecords{Topic: t.topic, Update: part, Pushed: true}
		if feeding.zone {
			r.mesh.BroadcastZone(message)
		}
		message.Update = overBorder(part)
		for _, first := range feeding.firsts {
			r.mesh.Send(first, message)
		}
	}
}

// borderBytes is the most that is handed on to another zone. Larger parts, such as long
// configurations, cost less from the store than over the pipe between zones.
const borderBytes = 8 << 10

// overBorder is what is handed on to other zones of a part: the part itself, or only
// how far it reaches, so that they read it themselves.
func overBorder(part topiccache.Update) topiccache.Update {
	size := 0
	for _, record := range part.Records {
		size += len(record.Key) + len(record.Value)
	}
	if size > borderBytes {
		return topiccache.Update{From: part.Next, Next: part.Next}
	}
	return part
}

// takeTopic takes records of a peer. What is missing before them is asked for within
// the zone, and read from the store where the peer is in another one. What comes from
// another zone is handed on to the own one by its first instance.
func (r *Router) takeTopic(from peer.Hello, message peer.TopicRecords) {
	t := r.tailOf(message.Topic)
	if t == nil {
		return
	}
	now := time.Now()
	if !message.Pushed {
		r.logger.Info("records of a peer", zap.String("peer", string(from.Instance)), zap.String("topic", message.Topic),
			zap.Int("count", len(message.Update.Records)), zap.Int64("next", int64(message.Update.Next)))
		t.take(now, message.Update, false)
		return
	}
	foreign := from.Zone != instancelist.Zone(r.settings.Zone)
	taken := t.takeFed(now, message.Update)
	switch {
	case !taken && foreign:
		t.unfed()
	case !taken:
		_, next := t.position()
		r.mesh.Send(from.Instance, peer.TopicRecordsRequest{Topic: message.Topic, From: next})
	case foreign && r.feeding().zone:
		r.mesh.BroadcastZone(message)
	}
}
