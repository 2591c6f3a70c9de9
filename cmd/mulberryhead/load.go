package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"time"

	"mulberryhead.org/mulberryhead/internal/load"
)

type loadCommand struct {
	Callers      []string      `long:"callers" required:"true" description:"callers' address of an entry instance, IP:PORT; may be repeated"`
	Key          string        `long:"key" env:"MULBERRYHEAD_KEY" description:"tenant's API key"`
	Stage        string        `long:"stage" description:"trial or production"`
	Rate         float64       `long:"rate" default:"20" description:"arrivals a second, open loop"`
	Duration     time.Duration `long:"duration" default:"10s" description:"how long requests arrive"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of arrivals and prompts"`
	Model        string        `long:"model" description:"model to ask"`
	ModelVersion string        `long:"model-version" default:"v1" description:"version of the model, to verify answers"`
	Layers       int           `long:"layers" description:"layers of the model, to verify answers"`
	PromptTokens int           `long:"prompt-tokens" default:"64" description:"tokens of each prompt"`
	MaxTokens    int           `long:"max-tokens" default:"32" description:"tokens of each answer"`
	CallShare    float64       `long:"call-share" description:"part of arrivals that are calls to a plain service, 0 to 1"`
	Service      string        `long:"service" description:"plain service to call"`
	CallPath     string        `long:"call-path" default:"/bookings" description:"path of the calls"`
	Resend       int           `long:"resend" default:"2" description:"how often a call that is not done is sent again under its key"`
	JSON         bool          `long:"json" description:"print JSON"`
}

// errWrongAnswers makes the command exit with 1 when an answer was wrong or short.
var errWrongAnswers = errors.New("answers were wrong or short; see the report")

// Execute runs the load and prints its report.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := load.Run(ctx, load.Options{
		Callers: c.Callers, APIKey: c.Key, Stage: c.Stage, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed,
		Model: c.Model, ModelVersion: c.ModelVersion, Layers: c.Layers,
		PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
		CallShare: c.CallShare, Service: c.Service, CallPath: c.CallPath, Resend: c.Resend,
	})
	if err != nil {
		return err
	}
	write := report.WriteText
	if c.JSON {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if report.Ended(load.AnswerWrong)+report.Ended(load.AnswerShort) > 0 {
		return errWrongAnswers
	}
	return nil
}
