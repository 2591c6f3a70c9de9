package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
)

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type wireChoice struct {
	Index        int          `json:"index"`
	Message      *wireMessage `json:"message,omitempty"`
	Delta        *wireDelta   `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

// answerWriter sends an answer. A streamed one ends in [DONE] only if it is
// whole.
type answerWriter struct {
	call    *call
	timeout time.Duration
	gen     generation
	control *http.ResponseController
	text    strings.Builder
	tokens  int
}

func newAnswerWriter(c *call, g generation, timeout time.Duration) *answerWriter {
	return &answerWriter{call: c, timeout: timeout, gen: g, control: http.NewResponseController(c.w)}
}

func (a *answerWriter) token(t hashmodel.Token) error {
	a.tokens++
	text := hashmodel.Text(t)
	if !a.gen.stream {
		a.text.WriteString(text)
		return nil
	}
	return a.event(a.chunk(text, nil))
}

func (a *answerWriter) envelope(object string) wireAnswer {
	return wireAnswer{
		ID: a.call.id, Object: object, Created: a.call.began.Unix(), Model: string(a.gen.model.Name),
	}
}

func (a *answerWriter) chunk(text string, finish *string) wireAnswer {
	choice := wireChoice{FinishReason: finish}
	object := "text_completion"
	if a.gen.chat {
		object = "chat.completion.chunk"
		choice.Delta = &wireDelta{Content: text}
		if a.tokens == 1 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	answer := a.envelope(object)
	answer.Choices = []wireChoice{choice}
	return answer
}

// event sends one server-sent event. A caller that does not read for the
// timeout is given up.
func (a *answerWriter) event(value any) error {
	if !a.call.written {
		a.call.written = true
		header := a.call.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		a.call.w.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return a.send("data: " + string(data) + "\n\n")
}

func (a *answerWriter) send(event string) error {
	if err := a.control.SetWriteDeadline(time.Now().Add(a.timeout)); err != nil {
		return err
	}
	if _, err := a.call.w.Write([]byte(event)); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *answerWriter) finish() *ProblemError {
	reason := "length"
	if a.gen.stream {
		if err := a.event(a.chunk("", &reason)); err == nil {
			_ = a.send("data: [DONE]\n\n")
		}
		return nil
	}
	text := a.text.String()
	choice := wireChoice{FinishReason: &reason}
	object := "text_completion"
	if a.gen.chat {
		object = "chat.completion"
		choice.Message = &wireMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	answer := a.envelope(object)
	answer.Choices = []wireChoice{choice}
	answer.Usage = &wireUsage{
		PromptTokens: len(a.gen.prompt), CompletionTokens: a.tokens, TotalTokens: len(a.gen.prompt) + a.tokens,
	}
	return a.call.writeJSON(http.StatusOK, answer)
}

// fail ends an answer that is not whole. Once tokens were sent, an error event
// and a cut connection tell the caller; before that, the problem does.
func (a *answerWriter) fail(problem *ProblemError) *ProblemError {
	if !a.call.written {
		return problem
	}
	data, err := json.Marshal(problemToWire(problem))
	if err == nil {
		_ = a.send("event: error\ndata: " + string(data) + "\n\n")
	}
	return problem
}
