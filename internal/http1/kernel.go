package http1

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// kernelState is what the kernel tells of a connection.
type kernelState struct {
	known          bool // false if it refuses to tell unacknowledged
	unacknowledged int64
	resetErr       error // of a connection that was reset, once
}

// askKernel asks for the state of a connection. The error is that of one which was closed on this side.
func askKernel(conn net.Conn) (kernelState, error) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return kernelState{}, nil // it is none of the kernel
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return kernelState{}, err
	}
	var state kernelState
	err = raw.Control(func(fd uintptr) { state = askDescriptor(int(fd)) })
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return kernelState{}, nil
	}
	return state, err
}

func askDescriptor(fd int) kernelState {
	var state kernelState
	if code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
		state.resetErr = syscall.Errno(code)
	}
	if unacknowledged, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
		state.known, state.unacknowledged = true, int64(unacknowledged)
	}
	return state
}
