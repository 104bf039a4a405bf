package engine

// Order is an order to load a model or an adapter, or to change the engine's role.
type Order struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Fencing uint64 `json:"fencing"`
}

// orderLog holds the orders applied and the highest fencing number among them.
type orderLog struct {
	applied        []Order
	highestFencing uint64
}

// apply records an order. It returns false if the order's fencing number is lower
// than one seen before, unless ignoreFencing is set.
func (l *orderLog) apply(o Order, ignoreFencing bool) bool {
	if o.Fencing < l.highestFencing && !ignoreFencing {
		return false
	}
	l.highestFencing = max(l.highestFencing, o.Fencing)
	l.applied = append(l.applied, o)
	return true
}
