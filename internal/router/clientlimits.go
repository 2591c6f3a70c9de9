package router

import (
	"context"
	"net"
	runtimemetrics "runtime/metrics"
	"time"

	"mulberryhead.org/mulberryhead/internal/clientbudget"
	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// memoryInterval is the interval at which it is measured what this instance's own state takes.
	memoryInterval = 250 * time.Millisecond
	// leastOwnState is what an instance takes at least, and what is assumed before it was measured.
	leastOwnState = 4 << 20 // bytes
	// steadyPart is the part of the memory limit by which what clients hold may differ between two
	// measurements, so that the second one tells what of the live memory is not theirs.
	steadyPart = 32
	// maxLinesPart is how many times as long as the configuration's limit a header may be with its request
	// line, for which there is no other limit.
	maxLinesPart = 2
)

// clientLimits returns the limits on clients of an instance whose own state takes own bytes.
func clientLimits(settings deployment.Settings, own int64) clientbudget.Limits {
	return clientbudget.LimitsOf(runtimeMemory(settings), max(own, leastOwnState), settings.MaxDescriptors)
}

// ownState is what the state of an instance takes beside its clients, in bytes.
type ownState struct {
	bytes      int64
	collection uint64 // the last garbage collection that was looked at
	held       int64  // by clients, when that was done
}

// observe updates the state. live is the live memory as of a garbage collection, and held what clients hold
// now. It is measured only while that hardly changes, as the time of the collection is not known.
func (o *ownState) observe(collection uint64, live, held, memoryLimit int64) {
	before := o.held
	o.held = held
	if collection == o.collection {
		return
	}
	o.collection = collection
	if change := max(held-before, before-held); change <= memoryLimit/steadyPart {
		o.bytes = max(0, live-held)
	}
}

// followMemory keeps the limits on clients to what the instance's own state leaves, until ctx ends.
func (r *Router) followMemory(ctx context.Context) {
	samples := []runtimemetrics.Sample{
		{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"},
	}
	var own ownState
	for ctx.Err() == nil {
		runtimemetrics.Read(samples)
		settings := r.limitSettings.Load()
		live := int64(samples[1].Value.Uint64() + samples[2].Value.Uint64())
		own.observe(samples[0].Value.Uint64(), live, r.clientPool.Stats().Held, settings.MemoryLimit)
		r.clientPool.SetLimits(clientLimits(*settings, own.bytes))
		sleep(ctx, memoryInterval)
	}
}

// maxHeaderBytes returns the most bytes of a header, with its request line, that are read. The gateway
// checks the header lines by themselves.
func (r *Router) maxHeaderBytes() int {
	table, ok := r.routingTable.Load()
	if !ok || table.Limits().HeaderBytes <= 0 {
		return maxHeaderBytes
	}
	return min(maxHeaderBytes, maxLinesPart*table.Limits().HeaderBytes)
}

// withAccount lets a request know the account of its connection.
func withAccount(ctx context.Context, connection net.Conn) context.Context {
	return clientbudget.NewContext(ctx, connection.(*clientConnection).account)
}
