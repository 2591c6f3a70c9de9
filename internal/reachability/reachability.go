// Package reachability decides whether this instance has lost its links to the backend
// servers, or only the link to some of them.
//
// What counts are new connections. A connection that was opened earlier may live on while
// new ones fail, so what happens on it says nothing here. Attempts are numbered in the order
// in which they begin: one that connects proves that the links worked after all attempts
// that began before it.
//
// The verdict is Sound while attempts connect. One that fails or takes long, with none begun
// after it that has connected, makes it Doubtful, and a few servers are probed at once. If
// several servers in several zones fail in attempts begun since, it is CutOff; at the first connection it is
// Sound again. While it is CutOff one server after the other is probed, and a connection
// starts a proof: the verdict is Sound again when most of some other servers connect too.
//
// Usage: tell a Tracker of each attempt to connect. After each call, and at the time that
// Next returns, ask for the verdict and the probes, and begin the probes at once, each with
// ProbeTimeout:
//
//	tracker := reachability.NewTracker()
//	tracker.SetServers(now, servers)
//	id := tracker.Begin(now, address)
//	tracker.Connected(now, id) // or Failed(now, id, reachability.Refused)
//	verdict := tracker.Verdict(now)
//	for _, address := range tracker.Probes(now) { ... }
//	wakeAt, ok := tracker.Next(now)
//
// An attempt is late only if the tracker was asked meanwhile, as Next wants: an instance that
// stood still takes none of its attempts for late. A Tracker has no clock, and is not safe
// for concurrent use.
package reachability

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// ProbeTimeout is the time limit of a probe. Any attempt that takes longer counts as failed.
const ProbeTimeout = 300 * time.Millisecond

const (
	// lateAfter is the time from which on an attempt is in doubt.
	lateAfter = 200 * time.Millisecond
	// pollInterval is the interval at which the tracker wants to be asked while attempts
	// are pending. A time between two calls of more than maxPollGap counts as lateGapCredit
	// only: the instance got no processor time, and neither did its attempts. It is not 0, so
	// that a cut is found also where all calls come late.
	pollInterval  = 100 * time.Millisecond
	maxPollGap    = 150 * time.Millisecond
	lateGapCredit = 50 * time.Millisecond
	// pauseGap is the time between two calls from which on this instance stood still.
	pauseGap = time.Second
	// attemptLifetime is how long an attempt of which nothing is heard is kept.
	attemptLifetime = 10 * time.Second

	// minFailedServers is the number of servers that must fail before the verdict is CutOff,
	// and minFailedZones the number of zones that they must be in, as far as there are.
	minFailedServers = 3
	minFailedZones   = 3
	// minFailuresOfOnly is the number of failed attempts if only one server is known.
	minFailuresOfOnly = 2

	// doubtProbes is the number of servers that are probed in doubt, at most once in each
	// doubtInterval.
	doubtProbes   = 3
	doubtInterval = 500 * time.Millisecond
	// cutOffInterval is the interval of the probes while the verdict is CutOff, and the
	// minimum time between two proofs.
	cutOffInterval = 500 * time.Millisecond
	// proofServers is the number of other servers of a proof. It doubles, at most
	// maxProofDoublings times, if the verdict returns to CutOff within flapWindow.
	proofServers      = 2
	maxProofDoublings = 2
	flapWindow        = 5 * time.Second
	// proofTimeout ends a proof whose probes have not begun or were abandoned.
	proofTimeout = 2 * ProbeTimeout

	// linkInterval is the interval at which a link that is down is probed.
	linkInterval = time.Second
	// maxLinkProbes is the number of these probes in each linkInterval. A link that is up
	// again allows one more, so that many of them recover at once.
	maxLinkProbes = 8
	// quietAfter is the time without connections after which a link that is known to be
	// down casts doubt on the others.
	quietAfter = 1500 * time.Millisecond
)

// Verdict tells whether this instance reaches the backend servers.
type Verdict int

// The verdicts.
const (
	Sound    Verdict = iota // it does, but for the links that are down
	Doubtful                // probes are under way
	CutOff                  // it does not
)

func (v Verdict) String() string {
	return [...]string{"sound", "doubtful", "cut-off"}[v]
}

// LinkState is the state of the link from this instance to one server.
type LinkState int

// The states of a link. LinkDown means that attempts fail while later ones to other servers
// connect.
const (
	LinkUnknown LinkState = iota
	LinkUp
	LinkDown
)

func (l LinkState) String() string {
	return [...]string{"unknown", "up", "down"}[l]
}

// Failure is the way in which an attempt to connect failed.
type Failure int

// The failures.
const (
	Hung      Failure = iota // its time limit passed
	Refused                  // it was refused or reset
	Abandoned                // its caller cancelled it, which says nothing of the link
)

// AttemptID numbers the attempts to connect of a Tracker, in the order in which they begin.
type AttemptID uint64

// Server is a backend server to which this instance connects.
type Server struct {
	Address deployment.Address
	Zone    deployment.Zone
}
