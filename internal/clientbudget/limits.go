package clientbudget

import "time"

const (
	// minDataRate is how many bytes a second a client has to send at least if memory is short, and gracePeriod
	// how long it may be below that. It covers a lost packet that is sent once more.
	minDataRate = 64 << 10
	gracePeriod = 300 * time.Millisecond
	// SmallSize is what may be held of the last part of the memory, one of reservedPart parts: small bodies
	// find room beside large ones.
	SmallSize    = 64 << 10 // bytes
	reservedPart = 8
	// evictedPart is the part of the limit of connections that may be open beyond it by evicted ones.
	evictedPart = 4
)

const (
	// liveShare is the share of the Go runtime's memory limit that the instance's own state and its clients may
	// take together. The rest is left for garbage.
	liveShare = 0.8
	// leastShare is the share that clients may take in any case.
	leastShare = 0.15
	// descriptorsForFiles is how many descriptors are not for connections.
	descriptorsForFiles = 200
	// descriptorsPerClient is how many there are for each client: for its connection, for one to a backend
	// server, for its share of evictedPart, and for the peers and the store.
	descriptorsPerClient = 2.5
)

// LimitsOf returns the limits of an instance whose own state takes own bytes, by the memory limit of the Go
// runtime in bytes and the limit on descriptors. A limit of 0 is none.
func LimitsOf(memory, own int64, descriptors int) Limits {
	limits := Limits{Memory: max(int64(liveShare*float64(memory))-own, int64(leastShare*float64(memory)))}
	if descriptors > 0 {
		limits.Connections = max(1, int(float64(descriptors-descriptorsForFiles)/descriptorsPerClient))
	}
	return limits
}
