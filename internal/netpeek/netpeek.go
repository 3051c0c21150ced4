// Package netpeek looks at the receive side of a TCP connection without taking bytes from it.
package netpeek

import (
	"errors"
	"net"
	"syscall"
)

// State is what the receive side of a connection shows.
type State uint8

// States of a connection.
const (
	// Idle is an open connection without unread bytes, or one that can't be looked at.
	Idle State = iota
	// Pending is a connection with unread bytes.
	Pending
	// Closed is a connection that the other side has closed or reset.
	Closed
)

// Peek returns the state of conn at once. A connection without a file descriptor is Quiet.
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
