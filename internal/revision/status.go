package revision

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// Status is a report of the revisions known to a core.
type Status struct {
	Self     domain.EntryID  `json:"self"`
	Revision domain.Revision `json:"revision"`
	// Newest is the newest revision known to be held by the store, a connected peer
	// or this process.
	Newest  domain.Revision `json:"newest"`
	Ready   bool            `json:"ready"`
	StoreUp bool            `json:"store-up"`
	// Unrecorded is the number of operators' orders not yet in the audit trail.
	Unrecorded int `json:"unrecorded"`
	// Peers and Agents are sorted by name.
	Peers  []ProcessStatus `json:"peers"`
	Agents []ProcessStatus `json:"agents"`
}

// ProcessStatus is the revision of another process. Revision is the last one that
// the process reported, also after it has disconnected.
type ProcessStatus struct {
	Name      string          `json:"name"`
	Connected bool            `json:"connected"`
	Revision  domain.Revision `json:"revision"`
}

// Status returns a report of the revisions known to the core.
func (c *Core) Status() Status {
	s := Status{
		Self:     c.self,
		Revision: c.set.Revision(),
		Newest:   c.newestKnown(),
		Ready:    c.ready,
		StoreUp:  c.store.up,
	}
	for _, j := range c.jobs {
		if j.order != nil && !j.ended {
			s.Unrecorded++
		}
	}
	for _, p := range c.peers.all() {
		s.Peers = append(s.Peers, ProcessStatus{string(p.id), p.up, p.revision})
	}
	for _, a := range c.agents.all() {
		s.Agents = append(s.Agents, ProcessStatus{string(a.id), a.up, a.revision})
	}
	return s
}
