package revision

import (
	"cmp"
	"slices"
)

// orderedMap is a map that lists its values in the order of their keys. The zero
// value is an empty map.
type orderedMap[K cmp.Ordered, V any] struct {
	keys   []K
	values []V
}

func (o *orderedMap[K, V]) get(key K) (V, bool) {
	i, ok := slices.BinarySearch(o.keys, key)
	if !ok {
		var none V
		return none, false
	}
	return o.values[i], true
}

func (o *orderedMap[K, V]) set(key K, value V) {
	i, ok := slices.BinarySearch(o.keys, key)
	if ok {
		o.values[i] = value
		return
	}
	o.keys = slices.Insert(o.keys, i, key)
	o.values = slices.Insert(o.values, i, value)
}

func (o *orderedMap[K, V]) remove(key K) {
	if i, ok := slices.BinarySearch(o.keys, key); ok {
		o.keys = slices.Delete(o.keys, i, i+1)
		o.values = slices.Delete(o.values, i, i+1)
	}
}

// all returns the values in the order of their keys. The map must not be changed
// while the result is in use.
func (o *orderedMap[K, V]) all() []V { return o.values }
