// Package loopback allocates loopback addresses for the listeners of tests and of
// the development deployment. It counts the addresses allocated by this process
// and keeps no other state.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// addressesPerPort is the number of IP addresses allocated per port. Their last
	// octet is 1 to 250.
	addressesPerPort = 250
	// firstPort is below the kernel's ephemeral port range. Tests that listen on a
	// fixed port of these IP addresses use one below firstPort.
	firstPort = 7000
)

// allocatedCount is the number of addresses allocated so far.
var allocatedCount atomic.Uint32

// Address returns a loopback IP:PORT that it has not returned before. Sockets on
// kernel-chosen ports use the ephemeral port range, so none of them can occupy the
// address before the caller listens on it.
func Address() string {
	n := int(allocatedCount.Add(1))
	return fmt.Sprintf("%s:%d", loopbackIP(1+n%addressesPerPort), firstPort+n/addressesPerPort)
}

// loopbackIP returns the nth IP address of this process. Its middle octets are the
// low 15 bits of the process ID, so that two processes running at the same time are
// unlikely to share addresses.
func loopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&127, pid&255, n)
}
