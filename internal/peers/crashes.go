package peers

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
)

// encodeCrashes adds what the sender tells of crashes to its digest.
func encodeCrashes(d *pb.Digest, n crashblame.News) {
	for _, c := range n.Crashes {
		d.CrashedEndpoint = append(d.CrashedEndpoint, c.Process.Endpoint)
		d.CrashedStart = append(d.CrashedStart, c.Process.Start)
		d.CrashedParts = append(d.CrashedParts, uint32(len(c.Parts)))
		d.CrashedBegun = append(d.CrashedBegun, uint32(c.Begun))
		for _, p := range c.Parts {
			d.SuspectedPart = append(d.SuspectedPart, uint64(p))
		}
	}
	for _, b := range n.Blames {
		d.BlamedPart = append(d.BlamedPart, uint64(b.Part))
		d.BlamedAge = append(d.BlamedAge, uint32(max(b.Age.Milliseconds(), 0)))
		d.BlamedUnseen = append(d.BlamedUnseen, uint32(max(b.Unseen.Milliseconds(), 0)))
		d.BlamedProbes = append(d.BlamedProbes, uint32(max(b.Probes, 0)))
		d.BlamedExcusedProbes = append(d.BlamedExcusedProbes, uint32(max(b.ExcusedProbes, 0)))
	}
	for _, p := range n.Cleared {
		d.ClearedPart = append(d.ClearedPart, uint64(p))
	}
}

// decodeCrashes returns what a peer tells of crashes, or false if lists contradict each other.
func decodeCrashes(d *pb.Digest) (crashblame.News, bool) {
	var n crashblame.News
	if len(d.CrashedEndpoint) != len(d.CrashedStart) || len(d.CrashedEndpoint) != len(d.CrashedParts) || len(d.CrashedBegun) > 0 && len(d.CrashedBegun) != len(d.CrashedParts) ||
		len(d.BlamedPart) != len(d.BlamedAge) || len(d.BlamedPart) != len(d.BlamedUnseen) || len(d.BlamedPart) != len(d.BlamedProbes) ||
		len(d.BlamedExcusedProbes) > 0 && len(d.BlamedExcusedProbes) != len(d.BlamedPart) {
		return n, false
	}
	suspected := d.SuspectedPart
	for i, endpoint := range d.CrashedEndpoint {
		c := crashblame.Crash{Process: crashblame.Process{Endpoint: endpoint, Start: d.CrashedStart[i]}}
		count := int(d.CrashedParts[i])
		if count > len(suspected) {
			return n, false
		}
		for _, p := range suspected[:count] {
			c.Parts = append(c.Parts, crashblame.Part(p))
		}
		c.Begun = count
		if len(d.CrashedBegun) > 0 {
			c.Begun = int(d.CrashedBegun[i])
		}
		if c.Begun > count {
			return n, false
		}
		suspected = suspected[count:]
		n.Crashes = append(n.Crashes, c)
	}
	for i, p := range d.BlamedPart {
		b := crashblame.Blame{
			Part: crashblame.Part(p), Age: time.Duration(d.BlamedAge[i]) * time.Millisecond,
			Unseen: time.Duration(d.BlamedUnseen[i]) * time.Millisecond, Probes: int(d.BlamedProbes[i]),
		}
		if len(d.BlamedExcusedProbes) > 0 {
			b.ExcusedProbes = int(d.BlamedExcusedProbes[i])
		}
		n.Blames = append(n.Blames, b)
	}
	for _, p := range d.ClearedPart {
		n.Cleared = append(n.Cleared, crashblame.Part(p))
	}
	return n, len(suspected) == 0
}
