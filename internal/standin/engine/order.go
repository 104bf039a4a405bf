package engine

// Order is an order to load a model or an adapter, or to change role.
type Order struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Fencing uint64 `json:"fencing"`
}

// orderLog holds the orders that took effect.
type orderLog struct {
	applied        []Order
	highestFencing uint64
}

// apply carries out an order, unless its fencing number is old.
func (l *orderLog) apply(o Order, ignoreFencing bool) bool {
	if o.Fencing < l.highestFencing && !ignoreFencing {
		return false
	}
	l.highestFencing = max(l.highestFencing, o.Fencing)
	l.applied = append(l.applied, o)
	return true
}
