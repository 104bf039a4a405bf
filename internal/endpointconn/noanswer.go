package endpointconn

import (
	"context"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// IsNoAnswer reports whether an error of reading an answer means that the endpoint sent bytes that are no answer to the request, such as malformed
// ones, too long a head or answers to other requests. The end of a connection, of a time limit or of the caller is no such error.
func IsNoAnswer(err error) bool {
	if err == nil || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, context.Canceled, context.DeadlineExceeded) {
		return false
	}
	var network net.Error
	return !errors.As(err, &network)
}
