package routing

import (
	"cmp"
	"slices"
)

// hostRoutes are the routes of one host. Finding the route of a path takes a look-up for each length of a prefix, whatever the
// number of routes.
type hostRoutes struct {
	byPrefix map[string]*Route
	lengths  []int // of the prefixes, each once, longest first
}

// add adds a route. Of two with the same prefix, the first one counts.
func (h *hostRoutes) add(r *Route) {
	if h.byPrefix[r.Prefix] != nil {
		return
	}
	h.byPrefix[r.Prefix] = r
	at, found := slices.BinarySearchFunc(h.lengths, len(r.Prefix), func(length, target int) int { return cmp.Compare(target, length) })
	if !found {
		h.lengths = slices.Insert(h.lengths, at, len(r.Prefix))
	}
}

// match returns the route with the longest prefix of a path, or nil.
func (h *hostRoutes) match(path string) *Route {
	for _, length := range h.lengths {
		if length > len(path) {
			continue
		}
		if r := h.byPrefix[path[:length]]; r != nil {
			return r
		}
	}
	return nil
}
