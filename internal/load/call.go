package load

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const resendPause = 100 * time.Millisecond

// call makes one call that must run at most once, and sends it again under the
// same key while it is not done.
func (g *generator) call(ctx context.Context, a arrival) {
	key, err := uuid.NewV7()
	if err != nil {
		g.report.problem("no-key")
		return
	}
	body := fmt.Appendf(nil, `{"number":%d}`, a.number)
	outcome := ""
	for attempt := 0; attempt <= g.options.Resend; attempt++ {
		var answer error
		outcome, answer = g.client.post(ctx, g.address(a.number+attempt), g.options, key.String(), body)
		var refused *ProblemError
		switch {
		case errors.As(answer, &refused):
			g.report.problem(refused.Code)
		case answer != nil:
			g.report.problem("connection")
			outcome = "unknown"
		}
		if outcome == "done" {
			g.report.call(time.Since(a.due))
			break
		}
		time.Sleep(resendPause)
	}
	g.report.outcome(key.String(), outcome)
}

// Book makes one call under a key and returns the outcome that was told,
// unknown if there was no answer.
func Book(ctx context.Context, o Options, key string) string {
	outcome, err := newHTTPClient().post(ctx, o.Callers[0], o, key, []byte(`{"batch":"hinges"}`))
	var refused *ProblemError
	if err != nil && !errors.As(err, &refused) {
		return "unknown"
	}
	return outcome
}
