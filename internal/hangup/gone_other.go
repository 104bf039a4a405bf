//go:build !linux

package hangup

// Gone returns false: only Linux tells of a close behind unread bytes.
func (c *Conn) Gone() bool { return false }
