package retrybudget

import (
	"cmp"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// lentShare is the part of its share of the reserve that an instance may lend. The rest is
	// for a loss of its own while loans are held.
	lentShare = 0.5
	// reportLifetime is how long a report is used after it arrived, and maxReportDelay how long
	// it may be under way. A link is closed after 3 s without a byte.
	reportLifetime = 1500 * time.Millisecond
	maxReportDelay = 3 * time.Second
	// loanLifetime is how long after a report a loan to an instance may be spent, and
	// zoneLoanLifetime a loan to a zone, which a bridge uses before, and which takes three hops.
	loanLifetime     = reportLifetime + maxReportDelay
	zoneLoanLifetime = 2*reportLifetime + 3*maxReportDelay
	// loanInterval is the minimum time between two increases of a loan: a loan has to show in the
	// borrower's reports before more is lent.
	loanInterval = 150 * time.Millisecond
	// maxLoans bounds the borrowers that are named in each report.
	maxLoans = 16
	// needFactor is how many times what it has spent a borrower in need may have.
	needFactor = 4
)

// Borrower is an instance of the lender's zone, or another zone whose instances divide a loan.
// One field is set.
type Borrower struct {
	Instance deployment.InstanceID
	Zone     deployment.Zone
}

// Need is what is known of a borrower, and how many instances may lend to it.
type Need struct {
	Borrower Borrower
	Spending Spending
	Lenders  int
}

// lacks returns how many retries the borrower should get from one lender, 0 if it has spent less
// than half of what it may spend.
func (n *Need) lacks() float64 {
	if !n.Spending.inNeed() {
		return 0
	}
	return (needFactor*n.Spending.Spent - n.Spending.Allowed) / float64(max(1, n.Lenders))
}

// compareNeeds puts those first that lack most, in a fixed order.
func compareNeeds(a, b Need) int {
	return cmp.Or(
		cmp.Compare(b.lacks(), a.lacks()),
		cmp.Compare(a.Borrower.Zone, b.Borrower.Zone), cmp.Compare(a.Borrower.Instance, b.Borrower.Instance),
	)
}

// inNeed reports whether half of what may be spent has been spent.
func (s Spending) inNeed() bool { return s.Spent >= 1 && 2*s.Spent >= s.Allowed }

// changedSince reports whether half of what was left at an earlier report has been spent, and at
// least one retry.
func (s Spending) changedSince(reported Spending) bool {
	return s.Spent-reported.Spent >= max(1, (reported.Allowed-reported.Spent)/2)
}

// Loan is what other instances allow this one to spend.
type Loan struct {
	Retries   float64
	Lenders   int // instances that lend it together
	Borrowers int // instances that divide it
	Until     time.Time
}

// loanState is what an instance has lent to one borrower.
type loanState struct {
	offer     float64 // in the reports of this instance
	raisedAt  time.Time
	heard     bool // a report of the borrower is known
	neededAt  time.Time
	withdrawn []withdrawnOffer // in falling order of retries and rising order of time
}

// withdrawnOffer is an offer that was replaced. Borrowers may have spent it later.
type withdrawnOffer struct {
	retries float64
	at      time.Time
}

// held returns the retries that the borrower may still spend, or has spent within the window.
func (l *loanState) held(now time.Time, hold time.Duration) float64 {
	for len(l.withdrawn) > 0 && now.Sub(l.withdrawn[0].at) > hold {
		l.withdrawn = l.withdrawn[1:]
	}
	if len(l.withdrawn) > 0 {
		return max(l.offer, l.withdrawn[0].retries)
	}
	return l.offer
}

func (l *loanState) setOffer(now time.Time, retries float64) {
	if retries == l.offer {
		return
	}
	for len(l.withdrawn) > 0 && l.withdrawn[len(l.withdrawn)-1].retries <= l.offer {
		l.withdrawn = l.withdrawn[:len(l.withdrawn)-1]
	}
	if l.offer > 0 {
		l.withdrawn = append(l.withdrawn, withdrawnOffer{retries: l.offer, at: now})
	}
	l.offer = retries
}

// hold is how long after it was last offered a loan may count in a window.
func (w *WindowBudget) hold(borrower Borrower) time.Duration {
	if borrower.Zone != "" {
		return w.bounds.Window + zoneLoanLifetime
	}
	return w.bounds.Window + loanLifetime
}

// part returns this instance's part of the reserve.
func (w *WindowBudget) part() float64 { return w.bounds.Reserve / float64(w.instances) }

// lent returns the retries that this instance must not spend, as others may. Those that an
// earlier process of this instance may have lent are included.
func (w *WindowBudget) lent(now time.Time) float64 {
	if now.Sub(w.started) <= w.bounds.Window+zoneLoanLifetime {
		return lentShare * w.part()
	}
	sum := 0.0
	for borrower, loan := range w.loans {
		sum += loan.held(now, w.hold(borrower))
	}
	return sum
}

// borrowed returns what the loans of other instances allow. No loan is used in the first window,
// because an earlier process of this instance may have spent it.
func (w *WindowBudget) borrowed(now time.Time) float64 {
	if now.Sub(w.started) <= w.bounds.Window {
		return 0
	}
	sum := 0.0
	for _, loan := range w.granted {
		if now.Before(loan.Until) {
			lenders := float64(min(loan.Lenders, w.instances))
			sum += min(loan.Retries, lenders*lentShare*w.part()) / float64(max(1, loan.Borrowers))
		}
	}
	return sum
}

// SetLoans replaces what other instances have lent to this one.
func (w *WindowBudget) SetLoans(loans []Loan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.granted = loans
}

// Lend decides what this instance lends, and returns the retries by borrower. The result must be
// reported within reportLifetime, and not later than the next call.
func (w *WindowBudget) Lend(now time.Time, needs []Need) map[Borrower]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, loan := range w.loans {
		loan.heard = false
	}
	var lacking []Need
	for i := range needs {
		if loan := w.loans[needs[i].Borrower]; loan != nil {
			loan.heard = true
		}
		if needs[i].lacks() > 0 {
			lacking = append(lacking, needs[i])
		}
	}
	slices.SortFunc(lacking, compareNeeds)
	for i := range lacking {
		w.renew(now, &lacking[i])
	}
	if len(w.loans) == 0 {
		return nil
	}
	offers := map[Borrower]float64{}
	for borrower, loan := range w.loans {
		if !loan.heard || now.Sub(loan.neededAt) > w.bounds.Window {
			loan.setOffer(now, 0)
		}
		if loan.offer > 0 {
			offers[borrower] = loan.offer
		} else if loan.held(now, w.hold(borrower)) == 0 {
			delete(w.loans, borrower)
		}
	}
	return offers
}

// renew offers a borrower in need what is held for it anyway, and more if this instance has it.
func (w *WindowBudget) renew(now time.Time, need *Need) {
	loan := w.loans[need.Borrower]
	if loan == nil {
		if len(w.loans) >= maxLoans {
			return
		}
		loan = &loanState{}
	}
	loan.heard, loan.neededAt = true, now
	if now.Sub(loan.raisedAt) < loanInterval {
		return
	}
	held := loan.held(now, w.hold(need.Borrower))
	offer := max(held, min(loan.offer+need.lacks(), held+w.lendable(now)))
	if offer <= loan.offer {
		return
	}
	loan.raisedAt = now
	loan.setOffer(now, offer)
	w.loans[need.Borrower] = loan
}

// lendable returns how many more retries this instance may lend.
func (w *WindowBudget) lendable(now time.Time) float64 {
	own := w.spending(now)
	if own.inNeed() {
		return 0
	}
	return max(0, min(lentShare*w.part()-w.lent(now), own.Allowed-own.Spent))
}
