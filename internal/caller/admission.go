package caller

import (
	"container/heap"
	"math"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	// maxQueued bounds the requests that wait for a concurrency slot.
	maxQueued = 4096
	// teamIdleTimeout is how long the state of a team without requests is kept.
	teamIdleTimeout = time.Minute
	// reservedFraction of the concurrency slots is reserved for teams below their
	// fair share, so that one team with many requests does not make the others wait.
	// The number is rounded down: below 10 slots, none is reserved.
	reservedFraction = 0.1
	// durationSmoothing is the weight of the newest sample in the moving average of
	// request durations.
	durationSmoothing = 0.1
)

// AdmissionRequest is a request for admission.
type AdmissionRequest struct {
	Team environment.Team
	// Cost is the predicted work, in tokens.
	Cost float64
	// MaxWait is the longest time in the queue that the request's class allows.
	MaxWait time.Duration

	arrived       time.Time
	started       time.Time
	virtualFinish float64
	index         int
	result        chan *ProblemError
}

// NewAdmissionRequest returns a request that can be submitted once.
func NewAdmissionRequest(team environment.Team, cost float64, maxWait time.Duration) *AdmissionRequest {
	return &AdmissionRequest{Team: team, Cost: cost, MaxWait: maxWait, index: -1, result: make(chan *ProblemError, 1)}
}

// Result receives nil when the request may run, or the problem that it is rejected
// with.
func (r *AdmissionRequest) Result() <-chan *ProblemError {
	return r.result
}

type teamState struct {
	limiter       *rate.Limiter
	weight        int
	running       int
	queued        int
	virtualFinish float64
	// quotaFraction is the fraction of the team's limits that this instance may
	// use, and demand the number of requests since the last TakeDemand.
	quotaFraction float64
	demand        int
	lastSeen      time.Time
}

// AdmissionController decides which request runs next and which is rejected. Requests
// over the limit wait in a weighted fair queue; one whose predicted wait exceeds its
// MaxWait is rejected immediately. It is not safe for concurrent use.
type AdmissionController struct {
	limit   int
	running int
	// totalWeight is the sum of the weights in teams.
	totalWeight int
	teams       map[environment.TeamName]*teamState
	queue       fairQueue
	virtualTime float64
	// meanDuration is the moving average of how long a request runs.
	meanDuration time.Duration
	// quotaFraction is the fraction for a team that has no state yet.
	quotaFraction float64
	// lastCleanup is when idle teams were last removed.
	lastCleanup time.Time
}

// NewAdmissionController returns a controller that runs at most limit requests at once.
func NewAdmissionController(limit int) *AdmissionController {
	return &AdmissionController{limit: limit, teams: map[environment.TeamName]*teamState{}, quotaFraction: 1}
}

// SetQuotaFractions sets the fraction of each team's limits, for the rate and for
// concurrent requests, that this instance may use. fraction("") is the one for teams
// that have no state on this instance yet.
func (a *AdmissionController) SetQuotaFractions(fraction func(environment.TeamName) float64) {
	a.quotaFraction = fraction("")
	for name, state := range a.teams {
		state.quotaFraction = fraction(name)
	}
}

// TakeDemand returns the number of requests since the last call by team, for at most
// limit teams, those with the most requests. It resets the counts of all teams.
func (a *AdmissionController) TakeDemand(limit int) map[environment.TeamName]float64 {
	var names []environment.TeamName
	for name, state := range a.teams {
		if state.demand > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return a.teams[names[i]].demand > a.teams[names[j]].demand })
	demand := map[environment.TeamName]float64{}
	for _, name := range names[:min(len(names), limit)] {
		demand[name] = float64(a.teams[name].demand)
	}
	for _, state := range a.teams {
		state.demand = 0
	}
	return demand
}

// Running returns the number of requests that hold a concurrency slot.
func (a *AdmissionController) Running() int {
	return a.running
}

// Queued returns the number of requests in the queue.
func (a *AdmissionController) Queued() int {
	return len(a.queue)
}

func (a *AdmissionController) team(now time.Time, team environment.Team) *teamState {
	state, ok := a.teams[team.Name]
	if !ok {
		state = newTeamState(team, a.quotaFraction)
		a.teams[team.Name] = state
		a.totalWeight += team.Weight
	}
	state.lastSeen = now
	perSecond := team.RequestsPerSecond * state.quotaFraction
	burst := burstSize(perSecond)
	if state.limiter.Limit() != rate.Limit(perSecond) {
		state.limiter.SetLimitAt(now, rate.Limit(perSecond))
		state.limiter.SetBurstAt(now, burst)
	}
	return state
}

// newTeamState starts with a full token bucket, so that a team's first request is
// not rejected.
func newTeamState(team environment.Team, quotaFraction float64) *teamState {
	perSecond := team.RequestsPerSecond * quotaFraction
	return &teamState{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond)), weight: team.Weight, quotaFraction: quotaFraction,
	}
}

// maxConcurrent returns how many requests of a team may be running or queued on
// this instance: its fraction of the team's limit, rounded up, at least one.
func (s *teamState) maxConcurrent(team environment.Team) int {
	return max(1, int(math.Ceil(float64(team.MaxConcurrent)*s.quotaFraction)))
}

// burstSize returns how many requests a team may send at once after an idle period.
func burstSize(perSecond float64) int {
	return max(1, int(perSecond))
}

// Submit starts, queues or rejects a request. Its Result is sent immediately, or by
// a later Done or Expire if the request is queued. A request that Cancel removes
// from the queue gets no result.
func (a *AdmissionController) Submit(now time.Time, r *AdmissionRequest) {
	r.arrived = now
	state := a.team(now, r.Team)
	state.demand++
	if problem := a.checkLimits(now, state, r); problem != nil {
		r.result <- problem
		return
	}
	if a.canStart(state) {
		a.start(now, state, r)
		return
	}
	start := max(a.virtualTime, state.virtualFinish)
	r.virtualFinish = start + r.Cost/float64(r.Team.Weight)
	state.virtualFinish = r.virtualFinish
	state.queued++
	heap.Push(&a.queue, r)
}

// checkLimits returns the problem of a request that exceeds its team's limits or
// can't be served in time. It charges the request to the team's rate.
func (a *AdmissionController) checkLimits(now time.Time, state *teamState, r *AdmissionRequest) *ProblemError {
	if state.running+state.queued >= state.maxConcurrent(r.Team) {
		return &ProblemError{Status: 429, Code: CodeTeamConcurrencyExceeded, Detail: "the tenant's concurrent requests are used up", RetryAfter: max(a.predictWait(state.queued+1), time.Second)}
	}
	if problem := state.chargeRate(now); problem != nil {
		return problem
	}
	if a.canStart(state) {
		return nil
	}
	wait := a.predictWait(a.countAhead(state, r) + 1)
	if len(a.queue) >= maxQueued || wait > r.MaxWait {
		return &ProblemError{Status: 503, Code: CodeOverloaded, Detail: "the wait would exceed the class's deadline", RetryAfter: max(wait, time.Second)}
	}
	return nil
}

// Charge counts one request against a team's rate. It returns a problem if the
// request exceeds the rate.
func (a *AdmissionController) Charge(now time.Time, team environment.Team) *ProblemError {
	state := a.team(now, team)
	state.demand++
	return state.chargeRate(now)
}

func (s *teamState) chargeRate(now time.Time) *ProblemError {
	reservation := s.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if reservation.OK() && delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return &ProblemError{
		Status: 429, Code: CodeTeamRateExceeded, Detail: "the tenant's requests per second are used up",
		RetryAfter: max(min(delay, time.Minute), time.Second),
	}
}

// canStart reports whether a team's new request may run now. Requests that the team
// has in the queue run first.
func (a *AdmissionController) canStart(state *teamState) bool {
	return state.queued == 0 && a.hasSlot(state)
}

// hasSlot reports whether a concurrency slot is free for a team. The reserved slots
// are free only for teams below their fair share.
func (a *AdmissionController) hasSlot(state *teamState) bool {
	reserved := int(reservedFraction * float64(a.limit))
	if a.running < a.limit-reserved {
		return true
	}
	share := float64(a.limit) * float64(state.weight) / float64(a.totalWeight)
	return a.running < a.limit && float64(state.running) < share
}

// countAhead counts the queued requests that would be served before r.
func (a *AdmissionController) countAhead(state *teamState, r *AdmissionRequest) int {
	finish := max(a.virtualTime, state.virtualFinish) + r.Cost/float64(r.Team.Weight)
	n := 0
	for _, queued := range a.queue {
		if queued.virtualFinish <= finish {
			n++
		}
	}
	return n
}

// predictWait predicts how long it takes until n concurrency slots become free.
func (a *AdmissionController) predictWait(n int) time.Duration {
	return time.Duration(n) * a.meanDuration / time.Duration(a.limit)
}

func (a *AdmissionController) start(now time.Time, state *teamState, r *AdmissionRequest) {
	r.started = now
	a.running++
	state.running++
	r.result <- nil
}

// Done frees the slot of a finished request and starts queued requests in its place.
func (a *AdmissionController) Done(now time.Time, r *AdmissionRequest) {
	a.running--
	state := a.team(now, r.Team)
	state.running--
	a.recordDuration(now.Sub(r.started))
	a.expireQueue(now)
	for next := a.nextRequest(now); next != nil; next = a.nextRequest(now) {
		heap.Remove(&a.queue, next.index)
		a.virtualTime = max(a.virtualTime, next.virtualFinish-next.Cost/float64(next.Team.Weight))
		state := a.team(now, next.Team)
		state.queued--
		a.start(now, state, next)
	}
}

// nextRequest returns the queued request with the lowest virtual finish time whose
// team can get a concurrency slot, or nil if there is none.
func (a *AdmissionController) nextRequest(now time.Time) *AdmissionRequest {
	var best *AdmissionRequest
	for _, r := range a.queue {
		if (best == nil || r.virtualFinish < best.virtualFinish) && a.hasSlot(a.team(now, r.Team)) {
			best = r
		}
	}
	return best
}

func (a *AdmissionController) recordDuration(duration time.Duration) {
	if a.meanDuration == 0 {
		a.meanDuration = duration
		return
	}
	a.meanDuration += time.Duration(durationSmoothing * float64(duration-a.meanDuration))
}

// Expire rejects the queued requests that have waited longer than MaxWait, and
// removes the state of idle teams once per teamIdleTimeout.
func (a *AdmissionController) Expire(now time.Time) {
	a.expireQueue(now)
	if now.Sub(a.lastCleanup) >= teamIdleTimeout {
		a.lastCleanup = now
		a.removeIdleTeams(now)
	}
}

func (a *AdmissionController) expireQueue(now time.Time) {
	for i := 0; i < len(a.queue); {
		r := a.queue[i]
		if now.Sub(r.arrived) <= r.MaxWait {
			i++
			continue
		}
		a.remove(now, r)
		r.result <- &ProblemError{
			Status: 503, Code: CodeOverloaded, Detail: "the class's deadline passed in the queue",
			RetryAfter: max(a.predictWait(len(a.queue)+1), time.Second),
		}
		i = 0
	}
}

func (a *AdmissionController) removeIdleTeams(now time.Time) {
	for name, state := range a.teams {
		if state.running+state.queued == 0 && now.Sub(state.lastSeen) > teamIdleTimeout {
			a.totalWeight -= state.weight
			delete(a.teams, name)
		}
	}
}

// Cancel removes a request from the queue, after its client disconnected. It returns
// false if the request is no longer queued: its Result has been sent and, if that is
// nil, Done must be called.
func (a *AdmissionController) Cancel(now time.Time, r *AdmissionRequest) bool {
	if r.index < 0 {
		return false
	}
	a.remove(now, r)
	return true
}

func (a *AdmissionController) remove(now time.Time, r *AdmissionRequest) {
	heap.Remove(&a.queue, r.index)
	a.team(now, r.Team).queued--
}

// fairQueue is a heap of requests ordered by virtual finish time.
type fairQueue []*AdmissionRequest

func (q fairQueue) Len() int           { return len(q) }
func (q fairQueue) Less(i, j int) bool { return q[i].virtualFinish < q[j].virtualFinish }

func (q fairQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *fairQueue) Push(x any) {
	r := x.(*AdmissionRequest)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *fairQueue) Pop() any {
	old := *q
	r := old[len(old)-1]
	*q = old[:len(old)-1]
	r.index = -1
	return r
}
