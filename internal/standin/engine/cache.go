package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of a cached prompt block: 16 tokens.
const blockBytes = 16 * bytesPerToken

// prefixCache is an LRU cache of prompt prefixes in whole blocks. A block is
// identified by the hash of the prompt from its start to the end of the block.
// The engine's mutex guards it.
type prefixCache struct {
	capacity int        // in blocks
	lru      *list.List // of uint64 prefix hashes, most recently used first
	blocks   map[uint64]*list.Element
	onChange func(prefix uint64, cached bool)
}

func newPrefixCache(capacity int, onChange func(prefix uint64, cached bool)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		lru:      list.New(),
		blocks:   make(map[uint64]*list.Element),
		onChange: onChange,
	}
}

// lookupAndInsert returns the number of leading prompt tokens found in the cache,
// and caches all whole blocks of the prompt.
func (c *prefixCache) lookupAndInsert(prompt string) int {
	hits := 0
	missed := false
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		prefix := xxhash.Sum64String(prompt[:end])
		hit := c.touch(prefix)
		missed = missed || !hit
		if !missed {
			hits++
		}
	}
	return hits * blockBytes / bytesPerToken
}

// touch marks a block as the most recently used one, inserting it if needed, and
// reports whether it was cached before.
func (c *prefixCache) touch(prefix uint64) bool {
	element, ok := c.blocks[prefix]
	if ok {
		c.lru.MoveToFront(element)
		return true
	}
	c.blocks[prefix] = c.lru.PushFront(prefix)
	c.onChange(prefix, true)
	for c.lru.Len() > c.capacity {
		c.evict()
	}
	return false
}

func (c *prefixCache) evict() {
	oldest := c.lru.Back()
	prefix := oldest.Value.(uint64)
	c.lru.Remove(oldest)
	delete(c.blocks, prefix)
	c.onChange(prefix, false)
}
