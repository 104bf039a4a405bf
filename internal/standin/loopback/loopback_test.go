package loopback

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Listeners on kernel-chosen ports must not occupy an allocated address before its
// user listens on it.
func TestAddressStaysFree(t *testing.T) {
	const n = 600
	seen := make(map[string]bool)
	for range n {
		address := Address()
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
	address := Address()
	for range n {
		other, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer other.Close()
		assert.Assert(t, other.Addr().String() != address)
	}
	l, err := net.Listen("tcp4", address)
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
}
