//go:build !linux

package callerapi

import (
	"net"
	"time"
)

// setUserTimeout does nothing on systems other than Linux.
func setUserTimeout(*net.TCPConn, time.Duration) error { return nil }
