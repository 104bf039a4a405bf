package callerapi

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// maxBufferedBytes is the largest answer of a plain service that is buffered
// until its outcome is known. Larger answers are streamed.
const maxBufferedBytes = 256 << 10

// maxStatus is the highest valid HTTP status.
const maxStatus = 599

// servicesPath is the path prefix of plain services.
const servicesPath = "/v1/services/"

// excludedHeaders are not forwarded in either direction: they are hop-by-hop,
// carry credentials, or are set again for the next hop.
var excludedHeaders = []string{
	"Accept-Encoding", "Authorization", "Connection", "Content-Length", "Cookie", "Expect", "Forwarded", "Host",
	"Idempotency-Key", "Keep-Alive", "Set-Cookie", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// excludedHeaderPrefixes are name prefixes of further headers that are not forwarded.
var excludedHeaderPrefixes = []string{"Dunlinpulley-", "Proxy-", "X-Forwarded-"}

// servePlainService serves a call to a plain service.
func servePlainService(x *exchange) *apiError {
	name := domain.ServiceName(chi.URLParam(x.r, "service"))
	service, ok := x.config.Service(name)
	if !ok || service.Kind != domain.ServicePlain {
		return newRejection(http.StatusNotFound, entry.CodeUnknownService, "the service is not known")
	}
	path, apiErr := x.servicePath()
	if apiErr != nil {
		return apiErr
	}
	call, apiErr := x.newCall()
	if apiErr != nil {
		return apiErr
	}
	body, apiErr := x.readBody()
	if apiErr != nil {
		return apiErr
	}
	call.Service = name
	call.Method = x.r.Method
	call.Path = path
	call.Headers = forwardedHeaders(x.r.Header)
	call.Body = body
	// Plain services have no prompt cache: a prefix unique to the request gives
	// the call no affinity with others.
	call.Prefix = hashParts(string(x.account), string(x.id))
	call.Fingerprint = hashParts(call.Method, string(name), call.Path, string(body))
	queue := x.submit(call)
	if queue == nil {
		return nil
	}
	defer x.closeQueue(queue)
	return x.writePlainResponse(queue)
}

// servicePath returns the path and query to request from the service. Dot
// segments are rejected, as they could leave the service's path.
func (x *exchange) servicePath() (string, *apiError) {
	rest := strings.TrimPrefix(x.r.URL.EscapedPath(), servicesPath)
	_, path, _ := strings.Cut(rest, "/")
	for segment := range strings.SplitSeq(path, "/") {
		decoded := strings.ReplaceAll(strings.ToLower(segment), "%2e", ".")
		if decoded == "." || decoded == ".." {
			return "", badRequest("the path has dot segments")
		}
	}
	path = "/" + path
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	return path, nil
}

// forwardedHeaders returns the headers to forward, sorted by name. Headers that
// Connection lists are hop-by-hop and left out.
func forwardedHeaders(header http.Header) []entry.Header {
	hopByHop := map[string]bool{}
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			hopByHop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	names := make([]string, 0, len(header))
	for name := range header {
		if !hopByHop[name] && !isExcludedHeader(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var forwarded []entry.Header
	for _, name := range names {
		for _, value := range header[name] {
			forwarded = append(forwarded, entry.Header{Name: name, Value: value})
		}
	}
	return forwarded
}

func isExcludedHeader(name string) bool {
	if slices.Contains(excludedHeaders, name) {
		return true
	}
	return slices.ContainsFunc(excludedHeaderPrefixes, func(prefix string) bool {
		return strings.HasPrefix(name, prefix)
	})
}

// plainResponse writes the answer of a plain service. A small answer is buffered
// until its end, so that its outcome can be sent as a header. A larger one is
// streamed, with the outcome as a trailer.
type plainResponse struct {
	x         *exchange
	head      *entry.CallerHead
	buffered  []byte
	streaming bool
}

// writePlainResponse writes the outputs of a call to a plain service until the
// call ends or the caller disconnects.
func (x *exchange) writePlainResponse(queue *outputQueue) *apiError {
	s := &plainResponse{x: x}
	for {
		outputs, err := queue.next(x.r.Context(), 0)
		if err != nil {
			return nil
		}
		for _, out := range outputs {
			switch out := out.(type) {
			case entry.CallerHead:
				err = s.receiveHead(out)
			case entry.CallerData:
				err = s.output(out.Data)
			case entry.CallerEnd:
				return s.end(out)
			}
			if err != nil {
				return nil
			}
		}
		if s.streaming {
			if err := x.flush(); err != nil {
				return nil
			}
		}
	}
}

// receiveHead stores the status and headers. Server-sent events are streamed
// from the start, as buffering would delay them. A head with an invalid status
// is ignored; the call then ends as an error.
func (s *plainResponse) receiveHead(head entry.CallerHead) error {
	if head.Status < http.StatusOK || head.Status > maxStatus {
		return nil
	}
	s.head = &head
	for _, h := range head.Headers {
		if strings.EqualFold(h.Name, "Content-Type") && strings.HasPrefix(h.Value, "text/event-stream") {
			return s.startStreaming()
		}
	}
	return nil
}

// output adds a part of the body. It starts streaming when the buffer exceeds
// maxBufferedBytes.
func (s *plainResponse) output(output []byte) error {
	if s.streaming {
		return s.write(output)
	}
	s.buffered = append(s.buffered, output...)
	if s.head == nil || len(s.buffered) <= maxBufferedBytes {
		return nil
	}
	return s.startStreaming()
}

// startStreaming sends the head and the buffered part of the body.
func (s *plainResponse) startStreaming() error {
	s.streaming = true
	s.copyHead()
	s.x.w.Header().Set("Trailer", HeaderOutcome+", "+HeaderRequestID)
	s.x.setWriteDeadline()
	s.x.w.WriteHeader(s.head.Status)
	buffered := s.buffered
	s.buffered = nil
	return s.write(buffered)
}

func (s *plainResponse) write(data []byte) error {
	s.x.setWriteDeadline()
	_, err := s.x.w.Write(data)
	return err
}

// copyHead copies the forwarded headers of the service's answer to the response.
func (s *plainResponse) copyHead() {
	received := http.Header{}
	for _, h := range s.head.Headers {
		received.Add(h.Name, h.Value)
	}
	header := s.x.w.Header()
	// Otherwise net/http would guess a Content-Type if the service set none.
	header["Content-Type"] = nil
	for _, h := range forwardedHeaders(received) {
		header.Add(h.Name, h.Value)
	}
}

// end writes a buffered answer with its outcome, or ends a streamed one.
func (s *plainResponse) end(end entry.CallerEnd) *apiError {
	switch {
	case !s.streaming && end.Outcome != domain.OutcomeComplete:
		return newCallError(end)
	case !s.streaming && s.head == nil:
		return newCallError(entry.CallerEnd{
			Outcome: end.Outcome,
			Failure: entry.Failure{Code: entry.CodeEndpointFailed, Step: entry.StepAnswer, Message: "the answer has no status"},
		})
	case !s.streaming:
		s.copyHead()
		s.x.writeResponse(s.head.Status, end.Outcome, "", s.buffered)
		return nil
	case end.Outcome != domain.OutcomeComplete:
		// A truncated body must not look complete to a client that ignores
		// trailers, so the connection is closed without the final chunk.
		panic(http.ErrAbortHandler)
	}
	s.x.w.Header().Set(HeaderOutcome, end.Outcome.String())
	return nil
}
