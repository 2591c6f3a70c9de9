package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice/claim"
)

// Code identifies the kind of a problem and stays the same across versions.
type Code string

// The codes of problems. The values of claim.Code are sent as codes too.
const (
	CodeUnauthorized            Code = "unauthorized"
	CodeForbidden               Code = "forbidden"
	CodeMalformed               Code = "malformed-request"
	CodeTooLarge                Code = "request-too-large"
	CodeHeaderTooLarge          Code = "header-too-large"
	CodeUnknownModel            Code = "unknown-model"
	CodeUnknownService          Code = "unknown-service"
	CodeUnknownOperation        Code = "unknown-operation"
	CodeNotFound                Code = "not-found"
	CodeKeyMissing              Code = "idempotency-key-missing"
	CodeKeyMalformed            Code = "idempotency-key-malformed"
	CodeKeyFromFuture           Code = "idempotency-key-from-future"
	CodeKeyBoundElsewhere       Code = "idempotency-key-bound-elsewhere"
	CodeTeamRateExceeded        Code = "tenant-rate-exceeded"
	CodeTeamConcurrencyExceeded Code = "tenant-concurrency-exceeded"
	CodeOverloaded              Code = "overloaded"
	CodeDraining                Code = "instance-leaving"
	CodeNoRunners               Code = "no-runners"
	CodeAnswerFailed            Code = "answer-failed"
	CodeServiceFailed           Code = "service-failed"
	CodeQuarantined             Code = "request-quarantined"
	CodeInternal                Code = "internal"
	problemContentType               = "application/problem+json"
	outcomeHeader                    = "Mulberryhead-Outcome"
	attemptHeader                    = "Mulberryhead-Attempt"
	stageHeader                      = "Mulberryhead-Stage"
	requestIDHeader                  = "Mulberryhead-Request-Id"
	idempotencyHeader                = "Idempotency-Key"
	attemptNotRunValue               = "not-run"
	maxRetryAfterSeconds             = 3600
	minRetryAfterSeconds             = 1
)

// ProblemError is an error response in the format of RFC 9457.
type ProblemError struct {
	Status int
	Code   Code
	Detail string
	// Outcome is set for service calls: what is known of the effect of the call,
	// including other attempts under its idempotency key. A problem has not-run or
	// unknown here, never done.
	Outcome claim.CallOutcome
	// RetryAfter is the delay before a retry, 0 if a retry does not help.
	RetryAfter time.Duration
}

func (p *ProblemError) Error() string {
	return string(p.Code) + ": " + p.Detail
}

type wireProblem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Code    string `json:"code"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome,omitempty"`
}

func problemToWire(p *ProblemError) wireProblem {
	return wireProblem{
		Type: "about:blank", Title: http.StatusText(p.Status), Status: p.Status,
		Code: string(p.Code), Detail: p.Detail, Outcome: string(p.Outcome),
	}
}

// retryAfterSeconds rounds up, so that clients do not retry too early.
func retryAfterSeconds(d time.Duration) int {
	seconds := int(math.Ceil(d.Seconds()))
	return min(max(seconds, minRetryAfterSeconds), maxRetryAfterSeconds)
}

// write sends the problem as the complete response.
func (p *ProblemError) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", problemContentType)
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(p.RetryAfter)))
	}
	if p.Outcome != "" {
		header.Set(outcomeHeader, string(p.Outcome))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(problemToWire(p))
}
