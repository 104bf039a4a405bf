package hangup

import "golang.org/x/sys/unix"

// Gone reports whether the client has closed or reset the connection, even if bytes that it sent before are unread.
func (c *Conn) Gone() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		gone = err == nil && n > 0
	})
	return gone || err != nil
}
