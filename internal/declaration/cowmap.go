package declaration

import "github.com/cespare/xxhash/v2"

// shardCount is the number of shards of a cowMap. A change of one key copies one
// shard, about 1/256 of the entries.
const shardCount = 256

// cowMap is a copy-on-write map, divided into shards by a hash of the key: copies
// share the shards that an editor has not changed. The zero value is empty.
type cowMap[K ~string, V any] struct {
	maps [shardCount]map[K]V
}

func shardIndex[K ~string](key K) int { return int(xxhash.Sum64String(string(key)) % shardCount) }

func (s *cowMap[K, V]) get(key K) (V, bool) {
	v, ok := s.maps[shardIndex(key)][key]
	return v, ok
}

func (s *cowMap[K, V]) size() int {
	total := 0
	for _, shard := range &s.maps {
		total += len(shard)
	}
	return total
}

// editor modifies a copy of a cowMap and leaves the original unchanged.
type editor[K ~string, V any] struct {
	cowMap[K, V]
	copied [shardCount]bool // shards that are not shared with the original
}

func newEditor[K ~string, V any](s *cowMap[K, V]) *editor[K, V] { return &editor[K, V]{cowMap: *s} }

// writableShard returns the shard that holds a key, copied on the first write.
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
