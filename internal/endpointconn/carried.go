package endpointconn

import "github.com/cespare/xxhash/v2"

// maxCarried is the number of the last requests on a connection whose identifiers are remembered.
const maxCarried = 64

// carried are hashes of the identifiers of the last requests on a connection, in the order of a ring. The zero value is empty.
type carried struct {
	hashes [maxCarried]uint64
	next   int
}

func (c *carried) add(id string) {
	c.hashes[c.next] = xxhash.Sum64String(id)
	c.next = (c.next + 1) % maxCarried
}

func (c *carried) has(id string) bool {
	hash := xxhash.Sum64String(id)
	for _, known := range c.hashes {
		if known == hash {
			return true
		}
	}
	return false
}

// Carry records that a request with an identifier is sent on the connection.
func (c *Conn) Carry(id string) { c.carried.add(id) }

// Carried reports whether one of the last requests on the connection had an identifier. The endpoint may write the answer
// to it once more, which could not be told from the answer to another request with the same identifier.
func (c *Conn) Carried(id string) bool { return c.carried.has(id) }
