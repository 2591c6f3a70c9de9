// Package clientbudget decides which clients an instance can afford: the memory and the connections of all
// of them together are bounded.
//
// A connection counts from when it is accepted to its end, with what is read of its next request's header
// and body. Who asks for more than there is waits: urgent requests go before less urgent ones, among equals
// those that ask for little first, and then those that came first. The caller bounds the wait.
//
// While somebody asks for more than there is, clients below the minimum data rate are evicted: those that have
// sent less than minDataRate since they were expected to send something, for longer than gracePeriod. Those that
// hold most for longest go first. A request that was accepted, which is read whole, is not evicted, and nobody is
// while there is enough for all.
//
// Usage: a Pool keeps a Budget for concurrent use. A listener connects each connection, and records what it
// reads; the reader of a header or a body holds memory before it reads:
//
//	account, ok := pool.Connect(time.Now(), interrupt)
//	account.Received(time.Now(), n)
//	err := account.Hold(ctx, size, rank) // a *ShortageError if there is none
//	accepted := account.Accept()         // false if it was evicted
//	account.Close()
package clientbudget

import (
	"cmp"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/routing"
)

// Budget is what the clients hold of the capacity, who waits for more, and who may be evicted. Sizes
// are in bytes. The present time is an argument. A Budget is not safe for concurrent use.
type Budget struct {
	limits  Limits
	held    int64
	clients map[*Client]bool
	// connections is how many clients count as connections. Of these, evicted are still open though they were
	// evicted, and hold evictedHeld of all that is held.
	connections int
	evicted     int
	evictedHeld int64
	waiting     []*Waiter // in the order in which they are served
	arrivals    int
}

// Limits bound a Budget. 0 is without a limit.
type Limits struct {
	Memory      int64 // bytes
	Connections int
}

// Client is one connection with its request, or a request that came another way.
type Client struct {
	held      int64
	connected bool // counts as a connection
	accepted  bool // its request was accepted, so that it is not evicted
	evicted   bool
	waits     bool // for memory, so that it can't send
	// onRateUntil is until when the client has sent enough for the minimum data rate.
	onRateUntil time.Time
}

// Waiter is a client that waits for memory.
type Waiter struct {
	client *Client
	size   int64
	rank   routing.Rank
	number int // in the order of arrival
}

// New returns a Budget of which nothing is held.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, clients: map[*Client]bool{}}
}

// SetLimits replaces the limits. What is held stays, also if it is more. It returns the waiters for whom
// memory is held now.
func (b *Budget) SetLimits(limits Limits) []*Waiter {
	b.limits = limits
	return b.grant()
}

// Held returns how much is held.
func (b *Budget) Held() int64 { return b.held }

// Connections returns how many connections count, also evicted ones that are still open.
func (b *Budget) Connections() int { return b.connections }

// Connect adds a connection that holds size. If there are too many, or there is no memory for it, one that
// holds as much is evicted, which it returns. It reports false if none can be.
func (b *Budget) Connect(now time.Time, size int64) (client, victim *Client, ok bool) {
	client = &Client{connected: true, onRateUntil: now.Add(gracePeriod)}
	if b.isFull(size) {
		victim = b.slowest(now, client)
		if victim == nil || victim.held < size || b.isOverfull(size) {
			return nil, nil, false
		}
		b.markEvicted(victim)
	}
	client.held = size
	b.held += size
	b.connections++
	b.clients[client] = true
	return client, victim, true
}

// isFull reports whether a connection that holds size is one too many, beside those that stay.
func (b *Budget) isFull(size int64) bool {
	most := b.limits.Connections
	return most > 0 && b.connections-b.evicted >= most ||
		b.limits.Memory > 0 && b.held-b.evictedHeld+size > b.available(size)
}

// isOverfull reports whether it is one too many besides all that are still open.
func (b *Budget) isOverfull(size int64) bool {
	most, available := b.limits.Connections, b.available(size)
	return most > 0 && b.connections >= most+max(1, most/evictedPart) ||
		b.limits.Memory > 0 && b.held+size > available+available/evictedPart
}

// Add adds a request that came another way, and holds nothing yet. It is never evicted.
func (b *Budget) Add() *Client {
	client := &Client{accepted: true}
	b.clients[client] = true
	return client
}

// Remove removes a client with all that it holds. It returns the waiters for whom memory is held now.
func (b *Budget) Remove(client *Client) []*Waiter {
	if !b.clients[client] {
		return nil
	}
	delete(b.clients, client)
	granted := b.Release(client, client.held)
	if client.connected {
		b.connections--
	}
	if client.evicted && client.connected {
		b.evicted--
	}
	return granted
}

// Expect begins the time in which a client should send something, for its next
// request. From then on a connection may be evicted while it is below the minimum data rate.
func (b *Budget) Expect(now time.Time, client *Client) {
	client.accepted = !client.connected
	b.restartRate(now, client)
}

// restartRate gives a client its grace period again, after this instance has made it wait.
func (*Budget) restartRate(now time.Time, client *Client) { client.onRateUntil = now.Add(gracePeriod) }

// Received records that bytes of a client were read.
func (*Budget) Received(now time.Time, client *Client, size int) {
	earned := time.Duration(float64(size) / minDataRate * float64(time.Second))
	client.onRateUntil = client.onRateUntil.Add(earned)
	if latest := now.Add(gracePeriod); client.onRateUntil.After(latest) {
		client.onRateUntil = latest
	}
}

// Accept records that the request of a client was accepted, and reports false if the client was
// evicted before.
func (*Budget) Accept(client *Client) bool {
	client.accepted = !client.evicted
	return client.accepted
}

// Fits reports whether a size can ever be held.
func (b *Budget) Fits(size int64) bool { return b.limits.Memory == 0 || size <= b.available(size) }

// Hold holds more for a client and reports true, or returns a Waiter and false. Nobody passes one who waits and
// is served before, but what is small may pass what is not, as a part is left to it.
func (b *Budget) Hold(client *Client, size int64, rank routing.Rank) (*Waiter, bool) {
	b.arrivals++
	waiter := &Waiter{client: client, size: size, rank: rank, number: b.arrivals}
	at, _ := slices.BinarySearchFunc(b.waiting, waiter, (*Waiter).compare)
	inTurn := !slices.ContainsFunc(b.waiting[:at], func(other *Waiter) bool { return other.isSmall() == waiter.isSmall() })
	if inTurn && b.hasRoom(size) {
		b.hold(waiter)
		return nil, true
	}
	client.waits = true
	b.waiting = slices.Insert(b.waiting, at, waiter)
	return waiter, false
}

func (w *Waiter) isSmall() bool { return w.size <= SmallSize }

// TryHold holds more for a client if there is room for it, without a wait.
func (b *Budget) TryHold(client *Client, size int64) bool {
	if !b.hasRoom(size) {
		return false
	}
	b.hold(&Waiter{client: client, size: size})
	return true
}

func (b *Budget) hold(waiter *Waiter) {
	waiter.client.held += waiter.size
	b.held += waiter.size
	if waiter.client.evicted {
		b.evictedHeld += waiter.size
	}
}

// Release gives back a part of what a client holds, and returns the waiters for whom memory is held now.
func (b *Budget) Release(client *Client, size int64) []*Waiter {
	size = min(size, client.held)
	client.held -= size
	b.held -= size
	if client.evicted {
		b.evictedHeld -= size
	}
	return b.grant()
}

// Cancel ends a wait, and returns the waiters for whom memory is held now. It does nothing if it is held
// for the waiter already.
func (b *Budget) Cancel(waiter *Waiter) []*Waiter {
	at := slices.Index(b.waiting, waiter)
	if at < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	waiter.client.waits = false
	return b.grant()
}

func (b *Budget) grant() []*Waiter {
	var granted, left []*Waiter
	var smallWaits, largeWaits bool
	for _, waiter := range b.waiting {
		waits := &largeWaits
		if waiter.isSmall() {
			waits = &smallWaits
		}
		if *waits = *waits || !b.hasRoom(waiter.size); *waits {
			left = append(left, waiter)
			continue
		}
		b.hold(waiter)
		waiter.client.waits = false
		granted = append(granted, waiter)
	}
	b.waiting = left
	return granted
}

// Reclaim evicts clients so that those that wait get memory, one after the other. It returns the evicted.
func (b *Budget) Reclaim(now time.Time) []*Client {
	var victims []*Client
	needed := int64(0)
	for _, waiter := range b.waiting {
		needed += waiter.size
		missing := b.held - b.evictedHeld + needed - b.available(waiter.size)
		if missing <= 0 {
			continue
		}
		others := b.reclaim(now, waiter.client, missing)
		if others == nil {
			needed -= waiter.size
		}
		victims = append(victims, others...)
	}
	return victims
}

// reclaim evicts clients that hold what is missing, and returns them. If that is not enough, it evicts none.
func (b *Budget) reclaim(now time.Time, asking *Client, missing int64) []*Client {
	list := b.candidates(now, asking)
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	var victims []*Client
	for _, other := range list {
		victims = append(victims, other.client)
		if missing -= other.client.held; missing <= 0 {
			b.markEvicted(victims...)
			return victims
		}
	}
	return nil
}

// slowest returns the client with the highest eviction score that may be evicted for another one, nil if none may.
func (b *Budget) slowest(now time.Time, asking *Client) *Client {
	var slowest candidate
	for _, other := range b.candidates(now, asking) {
		if other.score > slowest.score {
			slowest = other
		}
	}
	return slowest.client
}

// candidate is a client that may be evicted.
type candidate struct {
	client *Client
	score  float64 // see evictionScore
}

// candidates returns the clients below the minimum data rate that may be evicted for another one.
func (b *Budget) candidates(now time.Time, asking *Client) []candidate {
	var list []candidate
	least := evictionScore(now, asking)
	for client := range b.clients {
		if client == asking || client.accepted || client.evicted || client.waits {
			continue
		}
		if score := evictionScore(now, client); score > least {
			list = append(list, candidate{client: client, score: score})
		}
	}
	return list
}

// evictionScore returns how much a client holds, times how long it has been below the minimum data rate, 0 if it
// is not.
func evictionScore(now time.Time, client *Client) float64 {
	return float64(client.held) * max(0, now.Sub(client.onRateUntil).Seconds())
}

func (b *Budget) markEvicted(clients ...*Client) {
	for _, client := range clients {
		client.evicted = true
		b.evictedHeld += client.held
		if client.connected {
			b.evicted++
		}
	}
}

func (b *Budget) hasRoom(size int64) bool {
	return b.limits.Memory == 0 || b.held+size <= b.available(size)
}

// available returns how much may be held together with something of a size. A part is left to what is small.
func (b *Budget) available(size int64) int64 {
	if size <= SmallSize {
		return b.limits.Memory
	}
	return b.limits.Memory - b.limits.Memory/reservedPart
}

// compare orders waiters by who is served first.
func (w *Waiter) compare(other *Waiter) int {
	return cmp.Or(w.rank.Compare(other.rank), cmp.Compare(w.size, other.size), cmp.Compare(w.number, other.number))
}
