package integration

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

type tableReply = table.Reply

// store simulates the transactional table service. It can be unavailable, slow,
// or lose replies.
type store struct {
	sim      *simulation
	rows     map[table.Get]table.Row
	down     bool
	slow     bool
	loseNext int // number of coming replies to lose; their transactions take effect
	writes   int
}

// storeDelay is the latency of a request and that of a reply. While the store is slow,
// slowStoreDelay replaces that of a request.
const (
	storeDelay     = 4 * time.Millisecond
	slowStoreDelay = 1500 * time.Millisecond
)

// handle executes a request after a delay and calls respond exactly once.
func (s *store) handle(req table.Request, respond func(table.Reply)) {
	delay := storeDelay
	if s.slow {
		s.sim.counts[faultStoreSlow]++
		delay = slowStoreDelay
	}
	s.sim.time.after(delay, func() {
		if s.down {
			s.sim.counts[faultStoreDown]++
			respond(table.Reply{Status: table.StatusUnavailable})
			return
		}
		reply := s.transact(req)
		if s.loseNext > 0 {
			s.loseNext--
			s.sim.counts[faultStoreLost]++
			s.sim.time.after(storeDelay, func() { respond(table.Reply{Status: table.StatusLost}) })
			return
		}
		s.sim.time.after(storeDelay, func() { respond(reply) })
	})
}

func (s *store) transact(req table.Request) table.Reply {
	reply := table.Reply{Status: table.StatusOK, Time: time.Unix(1_700_000_000, 0).Add(time.Duration(s.sim.time.now))}
	for _, c := range req.Conditions {
		row := s.rows[table.Get{Table: c.Table, Key: c.Key}]
		if row.Version != c.Version {
			reply.Status = table.StatusConflict
			if row.Version > 0 {
				reply.Rows = append(reply.Rows, row)
			}
		}
	}
	if reply.Status == table.StatusConflict {
		return reply
	}
	for _, write := range req.Writes {
		s.writes++
		key := table.Get{Table: write.Table, Key: write.Key}
		if write.Delete {
			delete(s.rows, key)
			continue
		}
		version := s.rows[key].Version + 1
		s.rows[key] = table.Row{Table: write.Table, Key: write.Key, Version: version, Value: append([]byte(nil), write.Value...)}
	}
	for _, g := range req.Gets {
		if row, ok := s.rows[g]; ok {
			reply.Rows = append(reply.Rows, row)
		}
	}
	return reply
}
