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
	// maxQueued bounds the requests that wait for a free place.
	maxQueued = 4096
	// idleTenant is when the state of a tenant without requests is dropped.
	idleTenant = time.Minute
	// reservedPart of the places is kept for tenants below their fair share, so
	// that one greedy tenant can't make the others wait.
	reservedPart = 0.1
	// durationWeight is the weight of the newest sample in the mean duration.
	durationWeight = 0.1
)

// AdmissionRequest is a request that asks to be admitted.
type AdmissionRequest struct {
	Team environment.Team
	// Cost is the predicted work, in tokens.
	Cost float64
	// MaxWait is the longest wait that the request's class allows.
	MaxWait time.Duration

	arrived  time.Time
	started  time.Time
	finish   float64
	index    int
	admitted chan *ProblemError
}

// NewAdmissionRequest returns a ticket for one request.
func NewAdmissionRequest(tenant environment.Team, cost float64, deadline time.Duration) *AdmissionRequest {
	return &AdmissionRequest{Team: tenant, Cost: cost, MaxWait: deadline, index: -1, admitted: make(chan *ProblemError, 1)}
}

// Result gives nil once the request may run, or the problem that it ends
// with.
func (t *AdmissionRequest) Result() <-chan *ProblemError {
	return t.admitted
}

type tenantState struct {
	limiter *rate.Limiter
	weight  int
	running int
	queued  int
	finish  float64
	// share is the part of the tenant's rate that this instance may use, and
	// asked the requests since the last TakeDemand.
	share float64
	asked int
	seen  time.Time
}

// AdmissionController decides which request runs next and which is turned away. Requests
// over the limit wait in a weighted fair queue; one that is predicted to wait
// beyond its class's deadline is turned away at once. It is not safe for
// concurrent use.
type AdmissionController struct {
	limit   int
	running int
	// weights is the sum of the weights of all tenants with requests.
	weights int
	tenants map[environment.TeamName]*tenantState
	queue   fairQueue
	virtual float64
	// duration is how long a request runs, averaged over the latest.
	duration time.Duration
	// share is the part of the rate of a tenant that is new here.
	share float64
	// forgot is when idle tenants were last dropped.
	forgot time.Time
}

// NewAdmissionController returns an admission that lets limit requests run at once.
func NewAdmissionController(limit int) *AdmissionController {
	return &AdmissionController{limit: limit, tenants: map[environment.TeamName]*tenantState{}, share: 1}
}

// SetRateShares sets the part of each tenant's rate that this instance may use. An
// empty name stands for a tenant that is new here.
func (a *AdmissionController) SetRateShares(share func(environment.TeamName) float64) {
	a.share = share("")
	for name, state := range a.tenants {
		state.share = share(name)
	}
}

// TakeDemand returns the requests since the last call of the tenants that asked
// most, at most limit of them.
func (a *AdmissionController) TakeDemand(limit int) map[environment.TeamName]float64 {
	var names []environment.TeamName
	for name, state := range a.tenants {
		if state.asked > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return a.tenants[names[i]].asked > a.tenants[names[j]].asked })
	demand := map[environment.TeamName]float64{}
	for _, name := range names[:min(len(names), limit)] {
		demand[name] = float64(a.tenants[name].asked)
	}
	for _, state := range a.tenants {
		state.asked = 0
	}
	return demand
}

// Running returns the number of requests that run.
func (a *AdmissionController) Running() int {
	return a.running
}

// Queued returns the number of requests that wait.
func (a *AdmissionController) Queued() int {
	return len(a.queue)
}

func (a *AdmissionController) tenant(now time.Time, t environment.Team) *tenantState {
	state, ok := a.tenants[t.Name]
	if !ok {
		state = newTenantState(t, a.share)
		a.tenants[t.Name] = state
		a.weights += t.Weight
	}
	state.seen = now
	perSecond := t.RequestsPerSecond * state.share
	burst := burstOf(perSecond)
	if state.limiter.Limit() != rate.Limit(perSecond) {
		state.limiter.SetLimitAt(now, rate.Limit(perSecond))
		state.limiter.SetBurstAt(now, burst)
	}
	return state
}

// newTenantState starts with a full bucket, so that a tenant's first request
// is not refused.
func newTenantState(t environment.Team, share float64) *tenantState {
	perSecond := t.RequestsPerSecond * share
	return &tenantState{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond)), weight: t.Weight, share: share,
	}
}

// concurrent is how many requests of a tenant may be here at once: this
// instance's part of its limit, at least one.
func (s *tenantState) concurrent(t environment.Team) int {
	return max(1, int(math.Ceil(float64(t.MaxConcurrent)*s.share)))
}

// burstOf is what a tenant may send at once after a pause.
func burstOf(perSecond float64) int {
	return max(1, int(perSecond))
}

// Submit takes a request. Its ticket is answered at once or by a later Done,
// Expire or Cancel.
func (a *AdmissionController) Submit(now time.Time, t *AdmissionRequest) {
	t.arrived = now
	state := a.tenant(now, t.Team)
	state.asked++
	if problem := a.turnAway(now, state, t); problem != nil {
		t.admitted <- problem
		return
	}
	if a.mayStart(state) {
		a.start(now, state, t)
		return
	}
	start := max(a.virtual, state.finish)
	t.finish = start + t.Cost/float64(t.Team.Weight)
	state.finish = t.finish
	state.queued++
	heap.Push(&a.queue, t)
}

// turnAway returns the problem of a request that can't be served in time.
func (a *AdmissionController) turnAway(now time.Time, state *tenantState, t *AdmissionRequest) *ProblemError {
	if state.running+state.queued >= state.concurrent(t.Team) {
		return &ProblemError{Status: 429, Code: CodeTeamConcurrencyExceeded, Detail: "the tenant's concurrent requests are used up", RetryAfter: max(a.wait(state.queued+1), time.Second)}
	}
	if problem := state.charge(now); problem != nil {
		return problem
	}
	if a.mayStart(state) {
		return nil
	}
	wait := a.wait(a.ahead(state, t) + 1)
	if len(a.queue) >= maxQueued || wait > t.MaxWait {
		return &ProblemError{Status: 503, Code: CodeOverloaded, Detail: "the wait would exceed the class's deadline", RetryAfter: max(wait, time.Second)}
	}
	return nil
}

// Charge takes one request from a tenant's rate. It returns the problem of a
// request that is over it.
func (a *AdmissionController) Charge(now time.Time, tenant environment.Team) *ProblemError {
	state := a.tenant(now, tenant)
	state.asked++
	return state.charge(now)
}

func (s *tenantState) charge(now time.Time) *ProblemError {
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

// mayStart reports whether a tenant's request may run now. Those that the
// tenant has queued go first.
func (a *AdmissionController) mayStart(state *tenantState) bool {
	return state.queued == 0 && a.hasPlace(state)
}

// hasPlace reports whether a place is free for a tenant. The last places are
// for tenants below their fair share.
func (a *AdmissionController) hasPlace(state *tenantState) bool {
	reserved := int(reservedPart * float64(a.limit))
	if a.running < a.limit-reserved {
		return true
	}
	share := float64(a.limit) * float64(state.weight) / float64(a.weights)
	return a.running < a.limit && float64(state.running) < share
}

// ahead counts the queued requests that would be served before t.
func (a *AdmissionController) ahead(state *tenantState, t *AdmissionRequest) int {
	finish := max(a.virtual, state.finish) + t.Cost/float64(t.Team.Weight)
	n := 0
	for _, queued := range a.queue {
		if queued.finish <= finish {
			n++
		}
	}
	return n
}

// wait predicts how long n places take to come free.
func (a *AdmissionController) wait(n int) time.Duration {
	return time.Duration(n) * a.duration / time.Duration(a.limit)
}

func (a *AdmissionController) start(now time.Time, state *tenantState, t *AdmissionRequest) {
	t.started = now
	a.running++
	state.running++
	t.admitted <- nil
}

// Done ends a request that ran, and starts those whose turn has come.
func (a *AdmissionController) Done(now time.Time, t *AdmissionRequest) {
	a.running--
	state := a.tenant(now, t.Team)
	state.running--
	a.sample(now.Sub(t.started))
	a.expireQueue(now)
	for next := a.nextTicket(now); next != nil; next = a.nextTicket(now) {
		heap.Remove(&a.queue, next.index)
		a.virtual = max(a.virtual, next.finish-next.Cost/float64(next.Team.Weight))
		state := a.tenant(now, next.Team)
		state.queued--
		a.start(now, state, next)
	}
}

// nextTicket returns the queued request with the least virtual finish whose
// tenant has a place, nil if there is none.
func (a *AdmissionController) nextTicket(now time.Time) *AdmissionRequest {
	var best *AdmissionRequest
	for _, t := range a.queue {
		if (best == nil || t.finish < best.finish) && a.hasPlace(a.tenant(now, t.Team)) {
			best = t
		}
	}
	return best
}

func (a *AdmissionController) sample(took time.Duration) {
	if a.duration == 0 {
		a.duration = took
		return
	}
	a.duration += time.Duration(durationWeight * float64(took-a.duration))
}

// Expire turns away the queued requests whose deadline has passed, and now and
// then drops the state of idle tenants.
func (a *AdmissionController) Expire(now time.Time) {
	a.expireQueue(now)
	if now.Sub(a.forgot) >= idleTenant {
		a.forgot = now
		a.forgetIdle(now)
	}
}

func (a *AdmissionController) expireQueue(now time.Time) {
	for i := 0; i < len(a.queue); {
		t := a.queue[i]
		if now.Sub(t.arrived) <= t.MaxWait {
			i++
			continue
		}
		a.remove(now, t)
		t.admitted <- &ProblemError{
			Status: 503, Code: CodeOverloaded, Detail: "the class's deadline passed in the queue",
			RetryAfter: max(a.wait(len(a.queue)+1), time.Second),
		}
		i = 0
	}
}

func (a *AdmissionController) forgetIdle(now time.Time) {
	for name, state := range a.tenants {
		if state.running+state.queued == 0 && now.Sub(state.seen) > idleTenant {
			a.weights -= state.weight
			delete(a.tenants, name)
		}
	}
}

// Cancel drops a request whose caller has gone. It reports false when the
// request runs already, so that Done must be called.
func (a *AdmissionController) Cancel(now time.Time, t *AdmissionRequest) bool {
	if t.index < 0 {
		return false
	}
	a.remove(now, t)
	return true
}

func (a *AdmissionController) remove(now time.Time, t *AdmissionRequest) {
	heap.Remove(&a.queue, t.index)
	a.tenant(now, t.Team).queued--
}

// fairQueue is a heap of tickets by their virtual finish.
type fairQueue []*AdmissionRequest

func (q fairQueue) Len() int           { return len(q) }
func (q fairQueue) Less(i, j int) bool { return q[i].finish < q[j].finish }

func (q fairQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *fairQueue) Push(x any) {
	t := x.(*AdmissionRequest)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *fairQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	t.index = -1
	return t
}
