package clientbudget

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// ConnectionSize is the memory that a connection holds by itself: its goroutines and buffers, and a
	// usual header.
	ConnectionSize = 32 << 10 // bytes
	// maxWait is how long a client may wait for memory. It is longer than gracePeriod, so that clients below the
	// minimum data rate are evicted before.
	maxWait = 500 * time.Millisecond
	// reclaimInterval is the interval at which clients to be evicted are looked for.
	reclaimInterval = 25 * time.Millisecond
)

// ShortageError reports that there is no memory for a client.
type ShortageError struct {
	Size, Held int64 // bytes
	// Evicted is set if the client was evicted for others.
	Evicted bool
}

func (e *ShortageError) Error() string {
	if e.Evicted {
		return fmt.Sprintf("too slow while memory was short, with %d bytes held by all clients", e.Held)
	}
	return fmt.Sprintf("no room for %d bytes beside %d bytes of others", e.Size, e.Held)
}

// Pool keeps the Budget of an instance. It is safe for concurrent use.
type Pool struct {
	mu          sync.Mutex
	budget      *Budget
	granted     map[*Waiter]chan struct{} // of the waiters, closed once memory is held
	accounts    map[*Client]*Account
	reclaimedAt time.Time
	evicted     int
	refused     int
}

// NewPool returns a Pool of which nothing is held.
func NewPool(limits Limits) *Pool {
	return &Pool{budget: New(limits), granted: map[*Waiter]chan struct{}{}, accounts: map[*Client]*Account{}}
}

// Stats are counts of a Pool. Memory is in bytes.
type Stats struct {
	Limits      Limits
	Held        int64
	Connections int
	// Evicted and Refused are how many clients were evicted, and how many connections refused, so far.
	Evicted, Refused int
}

// Stats returns the present counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Limits: p.budget.limits, Held: p.budget.Held(), Connections: p.budget.Connections(), Evicted: p.evicted, Refused: p.refused}
}

// SetLimits replaces the limits. What is held stays, also if it is more.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake(p.budget.SetLimits(limits))
}

// Account is what one client holds of a Pool. It is safe for concurrent use.
type Account struct {
	pool      *Pool
	client    *Client
	interrupt func()
	closed    bool
}

// Connect opens the account of a connection. It returns false if there is neither room for it nor a client
// that can be evicted. interrupt is called, once, if this one is: it must end the connection's reads.
func (p *Pool) Connect(now time.Time, interrupt func()) (*Account, bool) {
	p.mu.Lock()
	client, victim, ok := p.budget.Connect(now, ConnectionSize)
	account := &Account{pool: p, client: client, interrupt: interrupt}
	if ok {
		p.accounts[client] = account
	} else {
		p.refused++
	}
	var interrupts []func()
	if victim != nil {
		interrupts = p.interrupts([]*Client{victim})
	}
	p.mu.Unlock()
	callAll(interrupts)
	return account, ok
}

// Add opens the account of a request that came another way than by a connection of Connect. It is never
// evicted.
func (p *Pool) Add() *Account {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Account{pool: p, client: p.budget.Add()}
}

// interrupts returns what is to be called, without mu, for clients that are evicted.
func (p *Pool) interrupts(clients []*Client) []func() {
	var list []func()
	for _, client := range clients {
		list = append(list, p.accounts[client].interrupt)
	}
	p.evicted += len(clients)
	return list
}

func callAll(list []func()) {
	for _, call := range list {
		call()
	}
}

// Close ends the account. What it holds is given back.
func (a *Account) Close() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.closed = true
	delete(a.pool.accounts, a.client)
	a.pool.wake(a.pool.budget.Remove(a.client))
}

// Expect begins the time in which the client should send something.
func (a *Account) Expect(now time.Time) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.budget.Expect(now, a.client)
}

// Received records that bytes of the client were read.
func (a *Account) Received(now time.Time, size int) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.budget.Received(now, a.client, size)
}

// Accept records that the client's request was accepted, and reports false if the client was evicted.
func (a *Account) Accept() bool {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.pool.budget.Accept(a.client)
}

// Evicted reports whether the client was evicted.
func (a *Account) Evicted() bool {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.client.evicted
}

// TryHold holds more memory without a wait, and reports whether there was any.
func (a *Account) TryHold(size int64) bool {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return !a.closed && a.pool.budget.TryHold(a.client, size)
}

// Release gives back a part of what is held.
func (a *Account) Release(size int64) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.wake(a.pool.budget.Release(a.client, size))
}

// Hold holds more memory, and waits for it for a while. Afterwards the client has its grace period again. The error is a
// *ShortageError, or that of ctx.
func (a *Account) Hold(ctx context.Context, size int64, rank routing.Rank) error {
	p := a.pool
	p.mu.Lock()
	if a.closed || a.client.evicted || !p.budget.Fits(size) {
		defer p.mu.Unlock()
		return a.shortage(size)
	}
	waiter, ok := p.budget.Hold(a.client, size, rank)
	if ok {
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	p.granted[waiter] = granted
	p.mu.Unlock()
	err := a.wait(ctx, granted)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.restartRate(time.Now(), a.client)
	if _, waits := p.granted[waiter]; !waits && !a.closed {
		return nil // perhaps at the last moment
	}
	delete(p.granted, waiter)
	p.wake(p.budget.Cancel(waiter))
	if a.closed {
		p.wake(p.budget.Release(a.client, a.client.held))
	}
	if err != nil {
		return err
	}
	return a.shortage(size)
}

// shortage is called with mu held.
func (a *Account) shortage(size int64) error {
	return &ShortageError{Size: size, Held: a.pool.budget.Held(), Evicted: a.client.evicted}
}

// wait waits until memory is held, at most for maxWait. Meanwhile it evicts others. The error is that
// of ctx.
func (a *Account) wait(ctx context.Context, granted <-chan struct{}) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	for {
		a.pool.reclaim(time.Now())
		select {
		case <-granted:
			return nil
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// reclaim evicts clients for those that wait.
func (p *Pool) reclaim(now time.Time) {
	p.mu.Lock()
	var interrupts []func()
	if now.Sub(p.reclaimedAt) >= reclaimInterval {
		p.reclaimedAt = now
		interrupts = p.interrupts(p.budget.Reclaim(now))
	}
	p.mu.Unlock()
	callAll(interrupts)
}

// wake is called with mu held.
func (p *Pool) wake(granted []*Waiter) {
	for _, waiter := range granted {
		close(p.granted[waiter])
		delete(p.granted, waiter)
	}
}

// accountKey is the key of a context for an Account.
type accountKey struct{}

// NewContext returns a context that carries an account.
func NewContext(ctx context.Context, account *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// FromContext returns the account that a context carries, nil if it carries none.
func FromContext(ctx context.Context) *Account {
	account, _ := ctx.Value(accountKey{}).(*Account)
	return account
}
