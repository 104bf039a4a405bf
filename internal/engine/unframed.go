package engine

import (
	"context"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
)

// errUnframedCut means that an answer that only the end of its connection ends was not followed by a sign of life of the service.
var errUnframedCut = errors.New("the service ended with its answer")

// confirmRunning returns an error unless the service accepts a connection and keeps it: a process that ends closes the connections of its
// answers as it does at their end.
func (c *Client) confirmRunning(ctx context.Context) error {
	dialer := net.Dialer{Timeout: c.options.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.options.Address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s after an answer without a length", c.options.Address), errUnframedCut)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(endpointconn.UnframedEndWait)); err != nil {
		return errors.Wrapf(err, "read deadline for %s", c.options.Address)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrapf(errUnframedCut, "connection to %s: %v", c.options.Address, err)
	}
	return nil
}
