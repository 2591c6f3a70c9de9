package http1

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndOfAnotherHost guards against an end that is lost or waits where the kernel can't be asked.
func TestEndOfAnotherHost(t *testing.T) {
	near, far := net.Pipe()
	connection := &connection{Conn: near}
	connection.setWriting(true)
	assert.NilError(t, far.Close())
	_, err := connection.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// TestEndOfAClosedConnection guards against an end that waits for the server after its caller has left.
func TestEndOfAClosedConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	near, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	connection := &connection{Conn: near}
	assert.NilError(t, connection.Close())
	assert.ErrorIs(t, connection.awaitEnd(), net.ErrClosed)
}
