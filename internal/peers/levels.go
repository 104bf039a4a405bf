package peers

import (
	"math"

	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// pressureScale is the number of units of Digest.level_pressure in a pressure of 1.
const pressureScale = 1000

// encodeLevels adds the sender's counts of requests by urgency to its digest.
func encodeLevels(d *pb.Digest, levels []placement.PeerLevel) {
	for _, l := range levels {
		d.LevelService = append(d.LevelService, l.Service)
		d.Level = append(d.Level, uint32(max(l.Level, 0)))
		d.LevelRequests = append(d.LevelRequests, l.Requests)
		d.LevelBlocked = append(d.LevelBlocked, l.Blocked)
		d.LevelLost = append(d.LevelLost, l.Lost)
		d.LevelPrefill = append(d.LevelPrefill, l.PrefillTokens)
		d.LevelPressure = append(d.LevelPressure, uint32(math.Round(max(l.Pressure, 0)*pressureScale)))
		d.LevelStarving = append(d.LevelStarving, l.Starving)
	}
}

// decodeLevels returns the counts in a digest, or false if the lists differ in length.
func decodeLevels(d *pb.Digest) ([]placement.PeerLevel, bool) {
	n := len(d.LevelService)
	for _, length := range []int{len(d.Level), len(d.LevelRequests), len(d.LevelBlocked), len(d.LevelLost), len(d.LevelPrefill), len(d.LevelPressure), len(d.LevelStarving)} {
		if length != n {
			return nil, false
		}
	}
	var levels []placement.PeerLevel
	for i, service := range d.LevelService {
		levels = append(levels, placement.PeerLevel{
			Service: service, Level: int(d.Level[i]), Requests: d.LevelRequests[i], Blocked: d.LevelBlocked[i], Lost: d.LevelLost[i], PrefillTokens: d.LevelPrefill[i],
			Pressure: float64(d.LevelPressure[i]) / pressureScale, Starving: d.LevelStarving[i],
		})
	}
	return levels, true
}

// sameCounts reports whether two counts of a level differ in their pressure at most, which falls all the time.
func sameCounts(a, b placement.PeerLevel) bool {
	a.Pressure, b.Pressure = 0, 0
	return a == b
}
