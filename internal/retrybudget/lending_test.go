package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLoanIsHeldUntilItCannotCount guards against a lender that spends what it has lent while the
// borrower's retries still count: the borrower got the report as late as possible and spent the loan at
// the end of its lifetime. It holds for a lender that restarts as well.
func TestLoanIsHeldUntilItCannotCount(t *testing.T) {
	bounds := Bounds{Reserve: 40, Window: 10 * time.Second}
	for name, test := range map[string]struct {
		borrower Borrower
		lifetime time.Duration
		restarts bool
	}{
		"instance":           {Borrower{Instance: "b"}, 4500 * time.Millisecond, false},
		"zone":               {Borrower{Zone: "z"}, 12 * time.Second, false},
		"instance, restarts": {Borrower{Instance: "b"}, 4500 * time.Millisecond, true},
		"zone, restarts":     {Borrower{Zone: "z"}, 12 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			lender := NewWindowBudget(now.Add(-time.Hour), bounds, 2)
			need := Need{Borrower: test.borrower, Spending: Spending{Allowed: 20, Spent: 20}, Lenders: 1}
			assert.Equal(t, lender.Lend(now, []Need{need})[test.borrower], 10.0, "half of its part of 20")
			assert.Equal(t, len(lender.Lend(now, nil)), 0, "withdrawn at once")
			if test.restarts {
				lender = NewWindowBudget(now.Add(time.Millisecond), bounds, 2)
			}
			now = now.Add(test.lifetime + bounds.Window - time.Millisecond)
			own := 0
			for lender.Take(now, true) {
				own++
			}
			assert.Equal(t, own, 10, "the loan still counts")
			now = now.Add(2*bounds.Window + zoneLoanLifetime)
			lender.Lend(now, nil)
			for own = 0; lender.Take(now, true); {
				own++
			}
			assert.Equal(t, own, 20, "held without end")
		})
	}
}

// TestOldReportsAfterPauseAreIgnored guards against loans that waited in a connection while this
// process stood still, and whose lenders no longer hold them.
func TestOldReportsAfterPauseAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := NewWindowBudget(now.Add(-time.Hour), Bounds{Reserve: 2, Window: 10 * time.Second}, 2)
	exchange := NewExchange(budget, "a", "z")
	exchange.SetCounts(2, 2)
	loan := Report{Loans: map[Borrower]float64{{Instance: "a"}: 0.5}}
	allowed := func() float64 { return budget.Spending(now).Allowed }
	exchange.SetPeer(now, "b", loan)
	exchange.Update(now)
	assert.Equal(t, allowed(), 1.5)
	now = now.Add(20 * time.Second)
	assert.Equal(t, allowed(), 1.0, "a loan ends by itself")
	exchange.SetPeer(now, "b", loan)
	exchange.Update(now)
	assert.Equal(t, allowed(), 1.0, "the report waited")
	now = now.Add(pauseRecovery)
	exchange.SetPeer(now, "b", loan)
	exchange.Update(now)
	assert.Equal(t, allowed(), 1.5)
}

// TestAbsurdLoanIsBounded guards against a peer that reports more than it can have.
func TestAbsurdLoanIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := NewWindowBudget(now.Add(-time.Hour), Bounds{Reserve: 40, Window: 10 * time.Second}, 4)
	budget.SetLoans([]Loan{{Retries: 1e9, Lenders: 1, Borrowers: 1, Until: now.Add(time.Second)}})
	assert.Equal(t, budget.Spending(now).Allowed, 15.0)
	budget.SetLoans([]Loan{{Retries: 1e9, Lenders: 1e9, Borrowers: 2, Until: now.Add(time.Second)}})
	assert.Equal(t, budget.Spending(now).Allowed, 20.0)
}
