package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/http1/http1test"
	"mulberryhead.org/mulberryhead/platform"
)

// TestBrokenAnswersAreNoResponses guards against an answer that is none, or whose end can't be trusted, and
// that is returned as a response, and against a sound one that is lost.
func TestBrokenAnswersAreNoResponses(t *testing.T) {
	const body = "the body"
	for _, answer := range http1test.Answers() {
		t.Run(answer.Name, func(t *testing.T) {
			got, err := sendTo(http1test.Serve(t, answer.Bytes("X-Own: a\r\n", body)))
			if answer.Refused {
				assert.Check(t, err != nil, "got %q", got)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, body)
		})
	}
}

// TestAnswerThatIsResetDuringTheUploadLooksWhole guards against a part of an answer without a length that is taken
// for the whole one, as the write of a long request has met the reset of the connection and the read an ordinary end,
// or as that end came before the reset.
func TestAnswerThatIsResetDuringTheUploadLooksWhole(t *testing.T) {
	const body = "the body"
	for _, size := range []int{http1test.WrittenUploadSize, http1test.UploadSize} {
		upload := getRequest()
		upload.Method, upload.Body = http.MethodPost, make([]byte, size)
		for _, answer := range http1test.UploadAnswers() {
			t.Run(fmt.Sprint(answer.Name, "/", size), func(t *testing.T) {
				t.Parallel()
				got, err := sendRequestTo(answer.Serve(t, "X-Own: a\r\n", body), upload)
				if answer.Refused {
					assert.Check(t, err != nil, "got %q", got)
					return
				}
				assert.NilError(t, err) // an error of the write alone does not make an answer with a length broken
				assert.Equal(t, got, body)
			})
		}
	}
}

func sendTo(address string) (body string, err error) { return sendRequestTo(address, getRequest()) }

// sendRequestTo sends a request and reads the whole response.
func sendRequestTo(address string, request Request) (body string, err error) {
	transport := NewTransport(platform.Dialer(0, platform.BackendSilence).DialContext)
	response, err := transport.Send(context.Background(), deployment.Address(address), request)
	if err != nil {
		if incomplete := new(IncompleteResponseError); !errors.As(err, &incomplete) {
			return "", nil // an error of another kind fails the test of a refused answer too
		}
		return "", err
	}
	defer response.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}
