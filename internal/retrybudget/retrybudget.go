// Package retrybudget allows retries as a share of what succeeds, so that a
// slowdown of all backend servers does not multiply the load on them.
//
// Usage: earn with RecordSuccess, and retry only when Take allows:
//
//	budget := retrybudget.New(0.1, 10)
//	if budget.Take() { ... }
package retrybudget

// Budget is a number of retries. It is not safe for concurrent use.
type Budget struct {
	share   float64
	reserve float64
	tokens  float64
}

// New returns a budget that earns share of a retry with each success and saves
// up at most reserve retries. It starts with the reserve.
func New(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, tokens: reserve}
}

// RecordSuccess earns a share of a retry.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// Take spends one retry, and reports false when none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
