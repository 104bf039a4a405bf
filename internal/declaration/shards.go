package declaration

import "github.com/cespare/xxhash/v2"

// shardCount is the number of maps in shards. A change copies only the maps that
// hold its keys.
const shardCount = 256

// shards is a copy-on-write map, divided by a hash of the key: copies share the maps
// that an editor has not changed. The zero value is empty.
type shards[K ~string, V any] struct {
	maps [shardCount]map[K]V
}

func shardIndex[K ~string](key K) int { return int(xxhash.Sum64String(string(key)) % shardCount) }

func (s *shards[K, V]) get(key K) (V, bool) {
	v, ok := s.maps[shardIndex(key)][key]
	return v, ok
}

func (s *shards[K, V]) size() int {
	total := 0
	for _, shard := range &s.maps {
		total += len(shard)
	}
	return total
}

// editor modifies a copy of shards and leaves the original unchanged.
type editor[K ~string, V any] struct {
	shards[K, V]
	copied [shardCount]bool // maps that are not shared with the original
}

func newEditor[K ~string, V any](s *shards[K, V]) *editor[K, V] { return &editor[K, V]{shards: *s} }

// writableShard returns the map that holds a key, copied on the first write.
func (e *editor[K, V]) writableShard(key K) map[K]V {
	i := shardIndex(key)
	if !e.copied[i] {
		shard := make(map[K]V, len(e.maps[i])+1)
		for k, v := range e.maps[i] {
			shard[k] = v
		}
		e.maps[i] = shard
		e.copied[i] = true
	}
	return e.maps[i]
}

func (e *editor[K, V]) set(key K, value V) { e.writableShard(key)[key] = value }

func (e *editor[K, V]) remove(key K) { delete(e.writableShard(key), key) }
