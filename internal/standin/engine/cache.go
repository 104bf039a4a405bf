package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of a cached prompt block: 16 tokens.
const blockBytes = 16 * bytesPerToken

// prefixCache is a least-recently-used cache of prompt prefixes, in whole blocks.
type prefixCache struct {
	capacity int
	lru      *list.List // of uint64, the most recent first
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

// lookupAndInsert returns the number of prompt tokens found in the cache, and caches the whole prompt.
func (c *prefixCache) lookupAndInsert(prompt string) int {
	hits := 0
	missed := false
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		prefix := xxhash.Sum64String(prompt[:end])
		known := c.touch(prefix)
		missed = missed || !known
		if !missed {
			hits++
		}
	}
	return hits * blockBytes / bytesPerToken
}

// touch makes a block the most recent one, and reports whether it was cached.
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
