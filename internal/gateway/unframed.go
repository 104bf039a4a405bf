package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
)

// confirmEnd returns an error unless the endpoint's process goes on after the end of an unframed answer: a process that ends closes its
// connections in the same way.
func (a *attempt) confirmEnd() error {
	g := a.gateway
	ended := g.now()
	ctx, cancel := context.WithTimeout(a.call.http.Context(), reportTimeout)
	defer cancel()
	open, err := g.pool.Outlasts(ctx, a.key, g.connectionLimit(a.call.config, a.ticket.Endpoint.Service), endpointconn.UnframedEndWait)
	if errors.Is(err, endpointconn.ErrFull) {
		time.Sleep(endpointconn.UnframedEndWait)
	}
	lost := a.lostSince(ended)
	klog.InfoS("unframed answer ended", "request", a.call.request.ID, "endpoint", a.ticket.Endpoint.ID, "open", open, "lost", lost, "err", err)
	a.recordRefused(err)
	switch {
	case lost:
		return errors.Wrap(io.ErrUnexpectedEOF, "other requests were lost with the end of the answer")
	case errors.Is(err, endpointconn.ErrFull):
		// The others are in use, and none was lost.
		return nil
	case err != nil:
		return errors.Wrapf(io.ErrUnexpectedEOF, "no connection after the end of the answer: %v", err)
	case !open:
		return errors.Wrap(io.ErrUnexpectedEOF, "another connection ended with the answer")
	default:
		return nil
	}
}
