package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/http1/http1test"
)

// uploads is how often a client sends an upload, as the write and the read beside it meet a reset in any order.
const uploads = 12

// TestClientTakesAResetForAnEnd guards against a part of an answer without a length that a client takes for the
// whole one, as its write of a long request has met the reset of the connection and its read an ordinary end, or as
// that end came before the reset.
func TestClientTakesAResetForAnEnd(t *testing.T) {
	const body = "the body"
	for _, size := range []int{http1test.WrittenUploadSize, http1test.UploadSize} {
		for _, answer := range http1test.UploadAnswers() {
			t.Run(fmt.Sprint(answer.Name, "/", size), func(t *testing.T) {
				t.Parallel()
				address := answer.Serve(t, "X-Own: a\r\n", body)
				for range uploads {
					got, err := post("http://"+address+"/", bytes.NewReader(make([]byte, size)))
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
}

// TestClientTakesAnEndAmidItsRequest guards against a part of an answer that a client takes for the whole one, as its
// server has taken all that was written of a request until then.
func TestClientTakesAnEndAmidItsRequest(t *testing.T) {
	for _, answer := range http1test.UploadAnswers() {
		if !answer.Refused || !strings.Contains(answer.Name, "no-length") {
			continue // net/http reports a head that is broken only when the body has been read
		}
		t.Run(answer.Name, func(t *testing.T) {
			t.Parallel()
			body, writer := io.Pipe()
			go func() { _, _ = io.WriteString(writer, "the beginning") }() // the client may have left
			got, err := post("http://"+answer.Serve(t, "X-Own: a\r\n", "the body")+"/", body)
			assert.Check(t, err != nil, "got %q", got)
		})
	}
}

// post sends a request with a client of its own, and reads the whole answer.
func post(url string, upload io.Reader) (body string, err error) {
	client := NewClient(new(http.Transport), NewMemory(1<<20))
	defer client.CloseIdleConnections()
	response, err := client.Post(url, "text/plain", upload)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), errors.Join(err, response.Body.Close())
}
