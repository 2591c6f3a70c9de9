package load

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const retryInterval = 100 * time.Millisecond

// call makes one call that must run at most once. While the outcome is not done,
// it retries with the same idempotency key, up to Options.Resend times.
func (g *generator) call(ctx context.Context, a arrival) {
	key, err := uuid.NewV7()
	if err != nil {
		g.report.recordProblem("no-key")
		return
	}
	body := fmt.Appendf(nil, `{"number":%d}`, a.number)
	outcome := ""
	for attempt := 0; attempt <= g.options.Resend; attempt++ {
		var callErr error
		outcome, callErr = g.client.post(ctx, g.address(a.number+attempt), g.options, key.String(), body)
		var problemErr *ProblemError
		switch {
		case errors.As(callErr, &problemErr):
			g.report.recordProblem(problemErr.Code)
		case callErr != nil:
			g.report.recordProblem("connection")
			outcome = "unknown"
		}
		if outcome == "done" {
			g.report.recordCall(time.Since(a.due))
			break
		}
		time.Sleep(retryInterval)
	}
	g.report.recordOutcome(key.String(), outcome)
}

// Book makes one call with an idempotency key through o.Callers[0] and returns
// the reported outcome, or unknown if no complete response was received.
func Book(ctx context.Context, o Options, key string) string {
	outcome, err := newHTTPClient().post(ctx, o.Callers[0], o, key, []byte(`{"batch":"hinges"}`))
	var problemErr *ProblemError
	if err != nil && !errors.As(err, &problemErr) {
		return "unknown"
	}
	return outcome
}
