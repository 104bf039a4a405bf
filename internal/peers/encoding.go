package peers

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/prefixindex"
)

// limitScale is the number of units of Digest.limit_millis in one request per second.
const limitScale = 1000

// relayedUnit is the unit of amounts of tokens in datagrams between processes whose states are relayed. Amounts in one byte less
// each make sums a fifth shorter.
const relayedUnit = 256

// encodeConfirmation adds the newest confirmation of the configuration to a message.
func encodeConfirmation(d *pb.Digest, c confirmation.Confirmation) {
	d.ConfirmedVersion, d.ConfirmedEra, d.ConfirmedAt = uint64(c.Version), uint64(c.At.Era), uint64(c.At.Millis)
	d.KeyRequired = c.KeyRequired
}

// decodeConfirmation returns the confirmation in a message.
func decodeConfirmation(d *pb.Digest) confirmation.Confirmation {
	return confirmation.Confirmation{Version: int64(d.ConfirmedVersion), At: confirmation.StoreTime{Era: int64(d.ConfirmedEra), Millis: int64(d.ConfirmedAt)}, KeyRequired: d.KeyRequired}
}

// encodeRegistryConfirmation adds the newest confirmation of the registry to a message.
func encodeRegistryConfirmation(d *pb.Digest, c confirmation.Confirmation) {
	d.RegistryVersion, d.RegistryEra, d.RegistryAt = uint64(c.Version), uint64(c.At.Era), uint64(c.At.Millis)
}

// decodeRegistryConfirmation returns the confirmation of the registry in a message.
func decodeRegistryConfirmation(d *pb.Digest) confirmation.Confirmation {
	return confirmation.Confirmation{Version: int64(d.RegistryVersion), At: confirmation.StoreTime{Era: int64(d.RegistryEra), Millis: int64(d.RegistryAt)}}
}

// encodePeers adds a list of peers to a message.
func encodePeers(d *pb.Digest, list []ListedPeer) {
	for _, p := range list {
		bytes := p.Address.As4()
		d.Peer = append(d.Peer, binary.BigEndian.Uint32(bytes[:]))
		d.PeerDataCentre = append(d.PeerDataCentre, p.DataCentre)
		d.PeerIncarnation = append(d.PeerIncarnation, p.Incarnation)
	}
}

// decodePeers returns the list of peers in a message, or false if its parts differ in length.
func decodePeers(d *pb.Digest) ([]ListedPeer, bool) {
	detailed := d.Format > 0
	if detailed && (len(d.PeerDataCentre) != len(d.Peer) || len(d.PeerIncarnation) != len(d.Peer)) {
		return nil, false
	}
	list := make([]ListedPeer, 0, len(d.Peer))
	for i, ipv4 := range d.Peer {
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], ipv4)
		p := ListedPeer{Address: netip.AddrFrom4(bytes)}
		if detailed {
			p.DataCentre, p.Incarnation = d.PeerDataCentre[i], d.PeerIncarnation[i]
		}
		list = append(list, p)
	}
	return list, true
}

// encodeDigest adds a digest to a message whose unit is set. Negative amounts become 0.
func encodeDigest(d *pb.Digest, digest placement.PeerDigest) {
	unit := int(max(d.UnitTokens, 1))
	d.Partial = digest.Partial
	for _, l := range digest.Loads {
		d.Endpoint = append(d.Endpoint, l.Endpoint)
		d.InFlight = append(d.InFlight, uint32(max(l.InFlight, 0)))
		d.Decoding = append(d.Decoding, uint32(max(l.Decoding, 0)))
		d.BacklogLevels = append(d.BacklogLevels, 0)
		for level, tokens := range l.Backlog {
			if tokens > 0 {
				d.BacklogLevels[len(d.BacklogLevels)-1] |= 1 << level
				d.Backlog = append(d.Backlog, uint32(tokens))
			}
		}
		d.Memory = append(d.Memory, uint32(max(l.Memory, 0)/unit))
		d.Given = append(d.Given, uint32(max(l.Given, 0)/unit))
		d.Gap = append(d.Gap, uint32(max(l.Gap.Milliseconds(), 0)))
	}
	for _, demand := range digest.PrefillDemands {
		d.Service = append(d.Service, demand.Service)
		d.Reading = append(d.Reading, uint32(max(demand.TokensPerSecond, 0)))
		d.SetAside = append(d.SetAside, uint32(max(demand.SetAside, 0)))
		if d.Sum {
			d.Processes = append(d.Processes, uint32(max(demand.Processes, 1)))
		}
	}
	encodeLevels(d, digest.Levels)
	for _, p := range digest.Parts {
		d.CachedPart = append(d.CachedPart, uint32(p.Part))
		d.CachedAt = append(d.CachedAt, p.Endpoint)
	}
	for _, l := range digest.Limits {
		d.LimitedEndpoint = append(d.LimitedEndpoint, l.Endpoint)
		d.LimitMillis = append(d.LimitMillis, int64(math.Round(max(l.PerSecond, -1)*limitScale)))
		d.LimitAge = append(d.LimitAge, uint32(max(l.Age.Milliseconds(), 0)))
	}
	for _, l := range digest.Leavings {
		d.LeavingEndpoint = append(d.LeavingEndpoint, l.Endpoint)
		d.LeavingStart = append(d.LeavingStart, l.Start)
		d.LeavingAge = append(d.LeavingAge, uint32(max(l.Age.Milliseconds(), 0)))
	}
}

// decode returns the digest of a message, or false if its lists differ in length.
func decode(d *pb.Digest) (placement.PeerDigest, bool) {
	n := len(d.Endpoint)
	for _, list := range [][]uint32{d.InFlight, d.Decoding, d.BacklogLevels, d.Memory, d.Given, d.Gap} {
		if len(list) != n {
			return placement.PeerDigest{}, false
		}
	}
	backlogs, ok := decodeBacklogs(d.BacklogLevels, d.Backlog)
	if !ok {
		return placement.PeerDigest{}, false
	}
	if len(d.Service) != len(d.Reading) || len(d.Service) != len(d.SetAside) || len(d.CachedPart) != len(d.CachedAt) ||
		len(d.LimitedEndpoint) != len(d.LimitMillis) || len(d.LimitedEndpoint) != len(d.LimitAge) ||
		len(d.LeavingEndpoint) != len(d.LeavingStart) || len(d.LeavingEndpoint) != len(d.LeavingAge) {
		return placement.PeerDigest{}, false
	}
	if len(d.Processes) != 0 && len(d.Processes) != len(d.Service) {
		return placement.PeerDigest{}, false
	}
	unit := int(max(d.UnitTokens, 1))
	digest := placement.PeerDigest{Partial: d.Partial}
	if digest.Levels, ok = decodeLevels(d); !ok {
		return placement.PeerDigest{}, false
	}
	for i := range n {
		digest.Loads = append(digest.Loads, placement.PeerLoad{
			Endpoint: d.Endpoint[i],
			InFlight: int(d.InFlight[i]),
			Decoding: int(d.Decoding[i]),
			Backlog:  backlogs[i],
			Memory:   int(d.Memory[i]) * unit,
			Given:    int(d.Given[i]) * unit,
			Gap:      time.Duration(d.Gap[i]) * time.Millisecond,
		})
	}
	for i := range d.Service {
		demand := placement.PeerPrefillDemand{Service: d.Service[i], TokensPerSecond: int(d.Reading[i]), SetAside: int(d.SetAside[i])}
		if len(d.Processes) > 0 {
			demand.Processes = int(min(d.Processes[i], maxMembers))
		}
		digest.PrefillDemands = append(digest.PrefillDemands, demand)
	}
	for i, part := range d.CachedPart {
		digest.Parts = append(digest.Parts, placement.PeerPart{Endpoint: d.CachedAt[i], Part: prefixindex.Key(part)})
	}
	for i, endpoint := range d.LimitedEndpoint {
		digest.Limits = append(digest.Limits, placement.PeerLimit{
			Endpoint: endpoint, PerSecond: float64(d.LimitMillis[i]) / limitScale, Age: time.Duration(d.LimitAge[i]) * time.Millisecond,
		})
	}
	for i, endpoint := range d.LeavingEndpoint {
		digest.Leavings = append(digest.Leavings, placement.PeerLeaving{
			Endpoint: endpoint, Start: d.LeavingStart[i], Age: time.Duration(d.LeavingAge[i]) * time.Millisecond,
		})
	}
	return digest, true
}

// decodeBacklogs returns the backlog of each endpoint, or false if the number of
// tokens differs from the number of levels.
func decodeBacklogs(levels, tokens []uint32) ([]placement.Backlog, bool) {
	backlogs := make([]placement.Backlog, len(levels))
	for i, mask := range levels {
		for level := range backlogs[i] {
			if mask&(1<<level) == 0 {
				continue
			}
			if len(tokens) == 0 {
				return nil, false
			}
			backlogs[i][level], tokens = int(tokens[0]), tokens[1:]
		}
	}
	return backlogs, len(tokens) == 0
}
