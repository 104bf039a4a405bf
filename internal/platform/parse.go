package platform

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// errReplyTooLong is returned for a reply larger than maxReplyBytes.
var errReplyTooLong = errors.New("reply too long")

// maxDiscardBytes limits how much of an unused reply is read. A connection can be
// reused only after its reply was read to the end.
const maxDiscardBytes = 64 << 10

// ParseReply parses a reply of the table service. It returns an error for a row
// without a table, key or version.
func ParseReply(data []byte) (table.Reply, error) {
	var reply table.Reply
	err := json.Unmarshal(data, &reply)
	if err != nil {
		return table.Reply{}, errors.Wrap(err, "decode")
	}
	for _, row := range reply.Rows {
		if row.Table == "" || row.Key == "" || row.Version == 0 {
			return table.Reply{}, errors.Newf("row has table %q, key %q and version %d; all three are required", row.Table, row.Key, row.Version)
		}
	}
	return reply, nil
}

// parseHosts parses the list of hosts. Hosts in unknown states are left out.
func parseHosts(data []byte) ([]table.Host, error) {
	var list table.Hosts
	err := json.Unmarshal(data, &list)
	if err != nil {
		return nil, errors.Wrap(err, "hosts: decode")
	}
	var out []table.Host
	for _, host := range list.Hosts {
		if host.State == table.HostLive || host.State == table.HostLeaving {
			out = append(out, host)
		}
	}
	return out, nil
}

// readLimited reads a reply of at most maxReplyBytes.
func readLimited(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxReplyBytes {
		return nil, errReplyTooLong
	}
	return data, nil
}

// discardBody reads and discards an unused reply.
func discardBody(r io.Reader) {
	_, _ = io.CopyN(io.Discard, r, maxDiscardBytes)
}
