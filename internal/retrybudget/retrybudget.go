// Package retrybudget limits retries to a fraction of the requests, so that a slowdown
// of all backend servers does not multiply the load on them. A Budget counts the
// requests that succeed. A WindowBudget counts all requests of a sliding window, and
// divides a reserve among instances.
//
// Usage: record successes, and retry only if Take returns true:
//
//	budget := retrybudget.New(0.1, 10)
//	budget.RecordSuccess()
//	if budget.Take() { ... }
package retrybudget

// Budget is a token bucket for retries, filled by successes. It is not safe for
// concurrent use.
type Budget struct {
	ratio    float64 // tokens for each success
	capacity float64 // maximum number of saved tokens
	tokens   float64
}

// New returns a budget that allows ratio retries for each success and saves up at most
// capacity retries. It starts full.
func New(ratio, capacity float64) *Budget {
	return &Budget{ratio: ratio, capacity: capacity, tokens: capacity}
}

// RecordSuccess adds ratio tokens to the budget, up to its capacity.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.tokens+b.ratio, b.capacity)
}

// Take spends one retry. It returns false if the budget has less than one left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
