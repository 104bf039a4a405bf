package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// maxDataBytes is the largest part of a body in one Data event.
const maxDataBytes = 32 << 10

// runPlain runs a request to a plain service. A response with any status is a
// complete answer, except a rejection that confirms that nothing was run.
func (x *runState) runPlain(ctx context.Context) (runEnd, error) {
	timer := x.startTimeout(x.client.options.PlainTimeout, errPlainTimeout)
	defer timer.Stop()
	response, err := x.send(ctx, x.handOver.GetMethod(), x.handOver.GetPath(), x.handOver.GetBody())
	if err != nil {
		return runEnd{}, err
	}
	defer response.Body.Close()
	if confirmsNotRun(response) {
		return x.rejectedEnd(response), nil
	}
	x.events.Head(x.run, uint32(response.StatusCode), endToEndHeaders(response.Header))
	err = x.copyBody(response.Body)
	if err == nil && endpointconn.IsUnframed(response) {
		err = x.client.confirmRunning(ctx)
		if err == nil {
			err = errors.Wrapf(x.upload.complete(), "read from %s", x.client.options.Address)
		}
	}
	if err != nil {
		return runEnd{}, err
	}
	return runEnd{reason: pb.EndReason_END_COMPLETE}, nil
}

// copyBody reports a response body as Data events.
func (x *runState) copyBody(body io.Reader) error {
	total := int64(0)
	for {
		part := make([]byte, maxDataBytes)
		n, err := body.Read(part)
		total += int64(n)
		if total > x.client.options.MaxAnswerBytes {
			return errors.Wrapf(errAnswerTooLong, "read from %s", x.client.options.Address)
		}
		if n > 0 {
			x.events.Data(x.run, part[:n], 0)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read from %s", x.client.options.Address)
		}
	}
}

// confirmsNotRun reports whether the endpoint rejected a request and confirmed
// that nothing was run.
func confirmsNotRun(r *http.Response) bool {
	rejected := r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable
	return rejected && r.Header.Get(notRunHeader) == "true"
}

// endToEndHeaders returns all headers except hop-by-hop ones, sorted by name.
func endToEndHeaders(h http.Header) []*pb.Header {
	var out []*pb.Header
	for _, name := range sortedHeaderNames(h) {
		if isHopByHop(name) {
			continue
		}
		for _, value := range h[name] {
			out = append(out, &pb.Header{Name: name, Value: value})
		}
	}
	return out
}
