package gateway

import (
	"errors"
	"syscall"
)

// breakCause tells why an attempt at a backend server ended without a complete response.
type breakCause string

// The causes of a broken attempt.
const (
	neverBroken       breakCause = "none"
	brokenByServer    breakCause = "server"        // the backend server closed the connection or reset it
	brokenBySilence   breakCause = "no-packets"    // the connection was given up, as no packet arrived
	brokenByLeaving   breakCause = "path-left"     // this instance left the path, as a stage did not respond
	brokenByRejection breakCause = "rejected"      // the backend server did not execute the request
	brokenByResponse  breakCause = "response"      // the response can't be forwarded
	brokenByClient    breakCause = "client-writes" // nothing can be written to the client
	brokenByPeer      breakCause = "peer"          // the instance to which the request was relayed
)

// breakCauseOf returns why an attempt was broken that ended with an error. left reports
// whether this instance left its path.
func breakCauseOf(err error, left bool) breakCause {
	switch {
	case err == nil:
		return neverBroken
	case errors.Is(err, errWrite):
		return brokenByClient
	case left:
		return brokenByLeaving
	case errors.Is(err, errNotExecuted):
		return brokenByRejection
	case errors.Is(err, errEventOrder), errors.Is(err, errNoEvent), errors.Is(err, errUnsigned), errors.Is(err, errEncoded), errors.Is(err, errTooLarge):
		return brokenByResponse
	case errors.Is(err, syscall.ETIMEDOUT):
		return brokenBySilence
	}
	return brokenByServer
}
