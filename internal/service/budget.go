package service

// RetryBudget allows retries as a share of the calls that succeed, so that a
// slowdown of all backend servers does not multiply the load on them.
type RetryBudget struct {
	tokens float64
}

const (
	// retryShare is the number of retries earned by one success.
	retryShare = 0.1
	// retryReserve bounds what is saved up; a new budget starts with it.
	retryReserve = 10
)

// NewRetryBudget returns a budget with its reserve full.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryReserve}
}

// Succeeded earns a share of a retry.
func (b *RetryBudget) Succeeded() {
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// Take spends one retry, and reports false when none is left.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
