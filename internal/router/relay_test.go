package router

import (
	"fmt"
	"sort"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

// TestEachIsFedOnce: where all reach all, one instance reads, each other one is fed just
// once, and each border between zones is crossed once. Where zones are cut off from one
// another, one of each does.
func TestEachIsFedOnce(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		var all []peer.Hello
		zones := map[instancelist.Zone]int{}
		for i := range rapid.IntRange(1, 40).Draw(t, "instances") {
			zone := instancelist.Zone(fmt.Sprintf("z%d", rapid.IntRange(0, 4).Draw(t, "zone")))
			zones[zone]++
			all = append(all, peer.Hello{Instance: instancelist.ID(fmt.Sprintf("%d-%d", rapid.IntRange(0, 99).Draw(t, "id"), i)), Zone: zone})
		}
		sort.Slice(all, func(i, j int) bool { return all[i].Instance < all[j].Instance })
		cut := rapid.Bool().Draw(t, "cut")
		fed := map[instancelist.ID]int{}
		readers, crossings := 0, 0
		for _, instance := range all {
			present := reachable(all, instance, cut)
			feeding := feedingOf(deployment.InstanceID(instance.Instance), deployment.Zone(instance.Zone), present)
			if !feeding.all {
				continue
			}
			readers++
			crossings += len(feeding.firsts)
			for _, other := range present {
				if other.Zone == instance.Zone && other.Instance != instance.Instance {
					fed[other.Instance]++
				}
			}
			for _, first := range feeding.firsts {
				relay(t, all, first, fed)
			}
		}
		want := 1
		if cut {
			want = len(zones)
		}
		if readers != want || crossings != wantedCrossings(len(zones), cut) {
			t.Fatalf("%d readers for %d zones, %d crossings", readers, len(zones), crossings)
		}
		for _, instance := range all {
			if fed[instance.Instance] > 1 {
				t.Fatalf("%s is fed %d times", instance.Instance, fed[instance.Instance])
			}
		}
		if len(fed) != len(all)-readers {
			t.Fatalf("%d of %d are fed", len(fed), len(all))
		}
	})
}

func wantedCrossings(zones int, cut bool) int {
	if cut {
		return 0
	}
	return zones - 1
}

func reachable(all []peer.Hello, from peer.Hello, cut bool) []peer.Hello {
	var list []peer.Hello
	for _, instance := range all {
		if !cut || instance.Zone == from.Zone {
			list = append(list, instance)
		}
	}
	return list
}

// relay hands on to the zone of its first instance.
func relay(t *rapid.T, all []peer.Hello, first instancelist.ID, fed map[instancelist.ID]int) {
	var self peer.Hello
	for _, instance := range all {
		if instance.Instance == first {
			self = instance
		}
	}
	if !feedingOf(deployment.InstanceID(first), deployment.Zone(self.Zone), all).zone {
		t.Fatalf("%s is not the first of its zone", first)
	}
	for _, instance := range all {
		if instance.Zone == self.Zone {
			fed[instance.Instance]++
		}
	}
}

// TestOverBorder: short parts cross a border whole, of long ones only how far they reach.
func TestOverBorder(t *testing.T) {
	short := topiccache.Update{From: 3, Next: 5, Records: []platform.Record{{Offset: 4, Key: "k", Value: make([]byte, 100)}}}
	assert.DeepEqual(t, overBorder(short), short)
	long := topiccache.Update{From: 3, Next: 5, Records: []platform.Record{{Offset: 4, Key: "k", Value: make([]byte, borderBytes)}}}
	assert.DeepEqual(t, overBorder(long), topiccache.Update{From: 5, Next: 5})
}
