// Package socket sets options of TCP sockets that package net does not offer. Packages
// gateway and peer use it for their connections.
package socket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetReceiveBuffer limits how many bytes the kernel keeps of a connection that are not read yet. On
// a listener it holds for the connections that are accepted from then on.
func SetReceiveBuffer(c syscall.Conn, bytes int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	return errors.Join(err, optionErr)
}

// UserTimeout returns a function for net.Dialer.Control that makes the kernel close a
// connection whose peer does not acknowledge sent data within the timeout, for example
// because the connection is cut or went silent.
func UserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}
