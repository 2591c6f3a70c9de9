package http1

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/http1/http1test"
)

// uploads is how often a client sends an upload, as the write and the read beside it meet a reset in any order.
const uploads = 12

// TestClientTakesAResetForAnEnd guards against a part of an answer without a length that a client takes for the
// whole one, as its write of a long request has met the reset of the connection and its read an ordinary end.
func TestClientTakesAResetForAnEnd(t *testing.T) {
	const body = "the body"
	for _, answer := range http1test.UploadAnswers() {
		t.Run(answer.Name, func(t *testing.T) {
			t.Parallel()
			address := answer.Serve(t, "X-Own: a\r\n", body)
			for range uploads {
				got, err := post("http://" + address + "/")
				switch {
				case answer.Refused:
					assert.Check(t, err != nil, "got %q", got)
				case err != nil:
					assert.Check(t, answer.Either, "%v", err)
				default:
					assert.Equal(t, got, body)
				}
			}
		})
	}
}

// post sends an upload with a client of its own, and reads the whole answer.
func post(url string) (body string, err error) {
	client := NewClient(new(http.Transport), NewMemory(1<<20))
	defer client.CloseIdleConnections()
	response, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, http1test.UploadSize)))
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), errors.Join(err, response.Body.Close())
}
