package agent

// mapNode is an element of an orderedMap in its linked list.
type mapNode[K comparable, V any] struct {
	key        K
	value      *V
	prev, next *mapNode[K, V]
}

// orderedMap is a map that is iterated in insertion order. With a Go map, whose iteration
// order is random, two runs with the same inputs could make different decisions.
type orderedMap[K comparable, V any] struct {
	index       map[K]*mapNode[K, V]
	first, last *mapNode[K, V]
}

func newOrderedMap[K comparable, V any]() *orderedMap[K, V] {
	return &orderedMap[K, V]{index: make(map[K]*mapNode[K, V])}
}

// len returns the number of elements.
func (m *orderedMap[K, V]) len() int { return len(m.index) }

// get returns the value of a key, or nil.
func (m *orderedMap[K, V]) get(key K) *V {
	n := m.index[key]
	if n == nil {
		return nil
	}
	return n.value
}

// put appends an element, or replaces the value of an existing key in its position.
func (m *orderedMap[K, V]) put(key K, value *V) {
	if n := m.index[key]; n != nil {
		n.value = value
		return
	}
	n := &mapNode[K, V]{key: key, value: value, prev: m.last}
	m.index[key] = n
	if m.last == nil {
		m.first = n
	} else {
		m.last.next = n
	}
	m.last = n
}

// remove deletes the element of a key, if there is one.
func (m *orderedMap[K, V]) remove(key K) {
	n := m.index[key]
	if n == nil {
		return
	}
	delete(m.index, key)
	if n.prev == nil {
		m.first = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		m.last = n.prev
	} else {
		n.next.prev = n.prev
	}
}

// all iterates over the elements in order. The current element may be removed during the
// iteration.
func (m *orderedMap[K, V]) all(yield func(K, *V) bool) {
	for n := m.first; n != nil; {
		next := n.next
		if !yield(n.key, n.value) {
			return
		}
		n = next
	}
}
