package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

// TestMissingLinks guards against an instance that takes itself for linked with all others while one of its zone, or a
// zone to which it is a bridge, is cut off from it.
func TestMissingLinks(t *testing.T) {
	self := instancelist.Instance{ID: "a1", Zone: "a"}
	membership := NewMembership(self.ID, self.Zone, nil)
	var list []instancelist.Instance
	for _, id := range []instancelist.ID{"a2", "b1", "b2"} { // two in a zone are both bridges
		list = append(list, instancelist.Instance{ID: id, Zone: instancelist.Zone(id[:1])})
	}
	assert.Equal(t, membership.missingLinks(func(instancelist.ID) bool { return false }), MissingLinks{}, "none is known")
	membership.SetListed(time.Unix(1000, 0), list)
	for _, c := range []struct {
		linked  []instancelist.ID
		missing MissingLinks
	}{
		{nil, MissingLinks{InZone: true, ToZone: true}},
		{[]instancelist.ID{"a2"}, MissingLinks{ToZone: true}},
		{[]instancelist.ID{"b1", "b2"}, MissingLinks{InZone: true}},
		{[]instancelist.ID{"a2", "b2"}, MissingLinks{}},
		{[]instancelist.ID{"a2", "b1", "b2"}, MissingLinks{}},
	} {
		linked := map[instancelist.ID]bool{}
		for _, id := range c.linked {
			linked[id] = true
		}
		assert.Equal(t, membership.missingLinks(func(id instancelist.ID) bool { return linked[id] }), c.missing, "%v", c.linked)
	}
}
