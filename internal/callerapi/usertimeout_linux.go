package callerapi

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds.
// Package syscall does not define it.
const tcpUserTimeout = 18

// setUserTimeout limits how long sent data may stay unacknowledged before the
// kernel closes the connection.
func setUserTimeout(conn *net.TCPConn, d time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
