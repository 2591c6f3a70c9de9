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

type wireCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

// completionWriter sends a completion, streamed or as one response. A stream ends
// with [DONE] only if it is complete.
type completionWriter struct {
	request *apiRequest
	timeout time.Duration
	gen     generation
	control *http.ResponseController
	text    strings.Builder
	tokens  int
}

func newCompletionWriter(req *apiRequest, g generation, timeout time.Duration) *completionWriter {
	return &completionWriter{request: req, timeout: timeout, gen: g, control: http.NewResponseController(req.w)}
}

func (w *completionWriter) writeToken(t hashmodel.Token) error {
	w.tokens++
	text := hashmodel.Text(t)
	if !w.gen.stream {
		w.text.WriteString(text)
		return nil
	}
	return w.writeEvent(w.chunk(text, nil))
}

func (w *completionWriter) envelope(object string) wireCompletion {
	return wireCompletion{
		ID: w.request.id, Object: object, Created: w.request.started.Unix(), Model: string(w.gen.model.Name),
	}
}

func (w *completionWriter) chunk(text string, finish *string) wireCompletion {
	choice := wireChoice{FinishReason: finish}
	object := "text_completion"
	if w.gen.chat {
		object = "chat.completion.chunk"
		choice.Delta = &wireDelta{Content: text}
		if w.tokens == 1 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	completion := w.envelope(object)
	completion.Choices = []wireChoice{choice}
	return completion
}

// writeEvent sends one server-sent event. It fails if the client does not read for
// longer than the timeout.
func (w *completionWriter) writeEvent(value any) error {
	if !w.request.written {
		w.request.written = true
		header := w.request.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		w.request.w.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return w.send("data: " + string(data) + "\n\n")
}

func (w *completionWriter) send(event string) error {
	if err := w.control.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return err
	}
	if _, err := w.request.w.Write([]byte(event)); err != nil {
		return err
	}
	return w.control.Flush()
}

func (w *completionWriter) finish() *ProblemError {
	reason := "length"
	if w.gen.stream {
		if err := w.writeEvent(w.chunk("", &reason)); err == nil {
			_ = w.send("data: [DONE]\n\n")
		}
		return nil
	}
	text := w.text.String()
	choice := wireChoice{FinishReason: &reason}
	object := "text_completion"
	if w.gen.chat {
		object = "chat.completion"
		choice.Message = &wireMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	completion := w.envelope(object)
	completion.Choices = []wireChoice{choice}
	completion.Usage = &wireUsage{
		PromptTokens: len(w.gen.prompt), CompletionTokens: w.tokens, TotalTokens: len(w.gen.prompt) + w.tokens,
	}
	return w.request.writeJSON(http.StatusOK, completion)
}

// fail ends an incomplete completion and returns its problem. If part of the stream
// was already sent, it sends an error event, and the stream ends without [DONE];
// otherwise serve sends the problem as the response.
func (w *completionWriter) fail(problem *ProblemError) *ProblemError {
	if !w.request.written {
		return problem
	}
	data, err := json.Marshal(problemToWire(problem))
	if err == nil {
		_ = w.send("event: error\ndata: " + string(data) + "\n\n")
	}
	return problem
}
