// Package netpeek checks the receive side of a TCP connection without consuming data.
package netpeek

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of the receive side of a connection.
type State uint8

// States of a connection.
const (
	// Idle is an open connection without unread data, or a connection whose state can't be determined.
	Idle State = iota
	// Pending is a connection with unread data.
	Pending
	// Closed is a connection that the peer has closed or reset, or that is closed locally.
	Closed
)

// Peek returns the state of conn without blocking. It returns Idle if conn has no file descriptor.
func Peek(conn net.Conn) State {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return Idle
	}
	state := Idle
	err = raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peekDescriptor(fd int) State {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Idle
	case err != nil || n == 0:
		return Closed
	}
	return Pending
}
