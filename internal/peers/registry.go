package peers

import (
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/registryrelay"
)

// maxRegistryBytes bounds the entries in one datagram. Of more changes, the receivers ask the store themselves.
const maxRegistryBytes = 48 << 10

// SendRegistry hands changes of the registry on to the peers of this data centre. Delivery is best-effort.
func (e *Exchange) SendRegistry(c registryrelay.Changes) {
	size := 0
	for _, row := range c.Rows {
		size += len(row.Key) + len(row.Value)
	}
	if size > maxRegistryBytes {
		klog.InfoS("registry changes not handed on", "rows", len(c.Rows), "bytes", size)
		return
	}
	e.mu.Lock()
	row := e.members.Row()
	e.mu.Unlock()
	e.sendTo(row, &pb.Digest{Registry: encodeRegistry(c)})
}

func encodeRegistry(c registryrelay.Changes) *pb.Registry {
	r := &pb.Registry{Era: uint64(c.Era), From: uint64(c.From), To: uint64(c.To), Doubted: c.Doubted}
	for _, row := range c.Rows {
		r.Key = append(r.Key, row.Key)
		r.Version = append(r.Version, uint64(row.Version))
		r.Removed = append(r.Removed, row.Removed)
		r.Value = append(r.Value, row.Value)
	}
	return r
}

// decodeRegistry returns changes, or false if their lists differ in length.
func decodeRegistry(r *pb.Registry) (registryrelay.Changes, bool) {
	n := len(r.Key)
	if len(r.Version) != n || len(r.Removed) != n || len(r.Value) != n {
		return registryrelay.Changes{}, false
	}
	c := registryrelay.Changes{Era: int64(r.Era), From: int64(r.From), To: int64(r.To), Doubted: r.Doubted}
	for i, key := range r.Key {
		c.Rows = append(c.Rows, registryrelay.Row{Key: key, Version: int64(r.Version[i]), Removed: r.Removed[i], Value: r.Value[i]})
	}
	return c, true
}

// handleRegistry passes a peer's changes to the handler.
func (e *Exchange) handleRegistry(r *pb.Registry) error {
	c, ok := decodeRegistry(r)
	if !ok {
		return errors.New("lists of the registry differ in length")
	}
	e.handler.PeerRegistryChanges(c)
	return nil
}
