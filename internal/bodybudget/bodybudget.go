// Package bodybudget decides whose request body an instance may hold in memory when those of all clients
// together exceed what it has.
//
// A body is held from before it is read until its request has ended. One that does not fit waits: urgent
// requests go before less urgent ones, among equals small bodies before large ones, and then those that
// came first. The caller bounds the wait.
//
// Usage:
//
//	budget := bodybudget.New(capacity)
//	waiter, ok := budget.Hold(size, rank)
//	if !ok {
//		// wait until a Release returns waiter, or give up with Cancel
//	}
//	for _, granted := range budget.Release(size) { ... }
//
// A Budget is not safe for concurrent use.
package bodybudget

import (
	"cmp"
	"slices"

	"mulberryhead.org/mulberryhead/internal/routing"
)

// Budget is what is held of a capacity, and who waits. Sizes are in bytes.
type Budget struct {
	capacity int64
	held     int64
	waiting  []*Waiter // in the order in which they are served
	arrivals int
}

// Waiter is a body that waits for room.
type Waiter struct {
	size   int64
	rank   routing.Rank
	number int // in the order of arrival
}

// New returns a Budget of which nothing is held. Of a capacity of 0 everything fits.
func New(capacity int64) *Budget { return &Budget{capacity: capacity} }

// Held returns how much is held.
func (b *Budget) Held() int64 { return b.held }

// Fits reports whether a body of a size can ever be held.
func (b *Budget) Fits(size int64) bool { return b.capacity == 0 || size <= b.capacity }

// Hold holds room for a body and reports true, or returns a Waiter and false. Nobody passes one who waits
// and is served before.
func (b *Budget) Hold(size int64, rank routing.Rank) (*Waiter, bool) {
	b.arrivals++
	waiter := &Waiter{size: size, rank: rank, number: b.arrivals}
	at, _ := slices.BinarySearchFunc(b.waiting, waiter, (*Waiter).compare)
	if at == 0 && b.hasRoom(size) {
		b.held += size
		return nil, true
	}
	b.waiting = slices.Insert(b.waiting, at, waiter)
	return waiter, false
}

// Grow holds more room for a body of which a part is held, and reports whether there was room. It does
// not wait: the part that is held would keep others waiting.
func (b *Budget) Grow(size int64) bool {
	if !b.hasRoom(size) {
		return false
	}
	b.held += size
	return true
}

// Release gives room back, and returns the waiters for whom room is held now.
func (b *Budget) Release(size int64) []*Waiter {
	b.held -= size
	return b.grant()
}

// Cancel ends a wait, and returns the waiters for whom room is held now. It does nothing if room is held
// for the waiter already.
func (b *Budget) Cancel(waiter *Waiter) []*Waiter {
	at := slices.Index(b.waiting, waiter)
	if at < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return b.grant()
}

func (b *Budget) grant() []*Waiter {
	var granted []*Waiter
	for len(b.waiting) > 0 && b.hasRoom(b.waiting[0].size) {
		b.held += b.waiting[0].size
		granted = append(granted, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	return granted
}

func (b *Budget) hasRoom(size int64) bool { return b.capacity == 0 || b.held+size <= b.capacity }

// compare orders waiters by who is served first.
func (w *Waiter) compare(other *Waiter) int {
	return cmp.Or(w.rank.Compare(other.rank), cmp.Compare(w.size, other.size), cmp.Compare(w.number, other.number))
}
