package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
)

const (
	// reportTimeout limits the time for an endpoint's report of itself.
	reportTimeout = 500 * time.Millisecond
	// maxReportBytes limits an endpoint's report of itself.
	maxReportBytes = 1 << 20
)

// needsConfirmation reports whether it has to be made sure that the process behind a connection is
// the one in the registry entry: the software version of a stream, as it begins and as it goes on, follows from the entry, which
// may be older than the process. No reading of the registry rules out that an endpoint has just started again at another version. One
// without a start never starts again under its identifier.
func (a *attempt) needsConfirmation() bool {
	return a.call.route.Resumable && a.ticket.Endpoint.Start != 0 && !a.conn.Confirmed
}

// confirmProcess asks the endpoint when its process has started and compares that with the
// registry entry. After an error the connection can't be used.
func (a *attempt) confirmProcess() error {
	start, err := a.gateway.readReport(a.conn, a.key, time.Now().Add(reportTimeout))
	if err != nil {
		return err
	}
	if start != a.key.Start {
		return errors.Newf("step=confirm process peer=%s: started at %d, registered %d", a.key.Address, start, a.key.Start)
	}
	a.conn.SetReadDeadline(time.Time{})
	a.conn.Confirmed = true
	return nil
}

// readReport asks an endpoint on a connection when its process has started. After an error the connection can't be used, and after success it
// has a deadline for reads.
func (g *Gateway) readReport(conn *endpointconn.Conn, key endpointconn.Key, deadline time.Time) (int64, error) {
	if err := conn.Write(g.dialect.ReportRequest(), nil); err != nil {
		return 0, err
	}
	conn.SetReadDeadline(deadline)
	response, err := conn.ReadHead(http.MethodGet, func(http.Header) bool { return true }) //nolint:bodyclose // the connection is discarded unless the body is read to its end
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return 0, errors.Wrapf(err, "step=read report peer=%s", key.Address)
	}
	if response.StatusCode != http.StatusOK || response.Close {
		return 0, errors.Newf("step=read report peer=%s: status %d, closes %t", key.Address, response.StatusCode, response.Close)
	}
	start, err := g.dialect.ReadReport(body)
	return start, errors.Wrapf(err, "peer=%s", key.Address)
}
