package streamversions

import (
	"cmp"
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

const (
	// Copies is the number of peers that are told of a stream, besides the process at which it began.
	Copies = 2
	// CopiesOfSole is the same while the service has had one version, which is what decides if the record is lost.
	CopiesOfSole = 1
	// MaxAsked is the number of peers that are asked for a stream. It exceeds Copies, as the
	// peers that are told and those that are asked are chosen by processes which may not know
	// of the same peers.
	MaxAsked = 16
)

// Choose returns at most n of the processes, those that keep a stream's record first. Each
// process that knows the same others chooses the same.
func Choose(stream Stream, processes []uint64, n int) []uint64 {
	score := func(process uint64) uint64 { return policy.Mix64(uint64(stream) ^ policy.Mix64(process)) }
	first := func(a, b uint64) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) }
	chosen := make([]uint64, 0, n+1)
	for _, process := range processes {
		if len(chosen) == n && first(chosen[n-1], process) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(chosen, process, first)
		chosen = slices.Insert(chosen, at, process)
		chosen = chosen[:min(n, len(chosen))]
	}
	return chosen
}
