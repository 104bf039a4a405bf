// Package loopback gives out addresses for the listeners of tests.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// addressesPerPort is the number of addresses that share a port.
	addressesPerPort = 250
	// firstPort is below the ports that the kernel picks by itself.
	firstPort = 7000
)

// lastNumber numbers the addresses that were given out.
var lastNumber atomic.Uint32

// Address returns a loopback address of its own. The kernel picks other ports
// and addresses for listeners and connections without one, so nothing can take
// it before the listener that it is meant for.
func Address() string {
	n := int(lastNumber.Add(1))
	return fmt.Sprintf("%s:%d", loopbackIP(1+n%addressesPerPort), firstPort+n/addressesPerPort)
}

func loopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&127, pid&255, n)
}
