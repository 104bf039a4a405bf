package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

const (
	// streamBufferSize is the size of the buffer for one read of a stream, in bytes.
	streamBufferSize = 4096
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
)

// eventDelimiter is the blank line that ends a server-sent event.
var eventDelimiter = []byte("\n\n")

// streamAnswer forwards the events of an answer as they arrive. It never
// forwards part of an event.
func (a *attempt) streamAnswer(response *http.Response) (attemptEnd, placement.Result, *endpointconn.CompletedAnswer) {
	c := a.call
	s := &eventStream{attempt: a, header: response.Header, unframed: endpointconn.IsUnframed(response), continues: c.headSent}
	err := s.copy(response.Body)
	shed := s.held.wasShed()
	s.held.close()
	if err == nil && shed {
		// The connection is about to be aborted.
		return attemptAnswered, placement.ResultServed, nil
	}
	if err == nil {
		return attemptAnswered, placement.ResultServed, completedAnswer(response)
	}
	if shed {
		err = errors.Wrapf(errNoMemory, "step=read stream peer=%s: event of %d bytes", a.key.Address, len(s.pending))
	}
	c.cause = err.Error()
	c.eventBegun = c.eventBegun && s.events == 0 || len(s.pending) > 0
	if errors.Is(err, errNotContinued) {
		return attemptFailed, placement.ResultFailed, nil
	}
	if s.callerWriteFailed {
		return attemptFailed, placement.ResultCancelled, nil
	}
	if errors.Is(err, errTooLong) || errors.Is(err, errNoMemory) && len(s.pending) > memorylimit.SmallBytes {
		a.recordEndless()
	}
	if errors.Is(err, errNoMemory) {
		return attemptFailed, answerRefusedResult(err), nil
	}
	a.endedByPeer = endedByPeer(err)
	return attemptFailed, a.readFailureResult(), nil
}

// eventStream splits an answer into events and forwards them to the caller.
type eventStream struct {
	attempt           *attempt
	header            http.Header
	continues         bool       // whether the caller has got events of an earlier attempt
	unframed          bool       // whether only the end of the connection ends the answer
	pending           []byte     // bytes received after the last complete event
	held              *heldBytes // memory of an event that is large; nil if none was
	events            int        // complete events received
	callerWriteFailed bool
}

// copy forwards a body to its end.
func (s *eventStream) copy(body io.Reader) error {
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if forwardErr := s.forwardComplete(buffer[:n]); forwardErr != nil {
				return forwardErr
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finish()
		}
		if err != nil {
			if !s.held.wasShed() && endpointconn.IsNoAnswer(err) {
				s.attempt.recordEndless()
			}
			return errors.Wrapf(err, "step=read stream peer=%s", s.attempt.key.Address)
		}
	}
}

// forwardComplete appends received bytes to the pending ones and forwards the
// complete events among them. An incomplete event may not exceed maxEventBytes.
func (s *eventStream) forwardComplete(data []byte) error {
	s.pending = append(s.pending, data...)
	events := bytes.Count(s.pending, eventDelimiter)
	s.attempt.gateway.recordReceived(s.attempt.ticket, events)
	s.attempt.recordWritten()
	s.attempt.call.events += events
	s.events += events
	end := bytes.LastIndex(s.pending, eventDelimiter)
	if end < 0 {
		if len(s.pending) > maxEventBytes {
			return errors.Wrapf(errTooLong, "step=read stream peer=%s: event over %d bytes", s.attempt.key.Address, maxEventBytes)
		}
		return s.account()
	}
	end += len(eventDelimiter)
	if err := s.writeEvents(s.pending[:end]); err != nil {
		return err
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// account takes the memory for the bytes of an event that is large. Doubling the buffer takes up to twice of them.
func (s *eventStream) account() error {
	if len(s.pending) <= 2*streamBufferSize {
		return nil
	}
	c, g := s.attempt.call, s.attempt.gateway
	if s.held == nil {
		s.held = g.openAnswer(c, s.attempt.conn, true)
	}
	for s.held.holder.Held() < 2*int64(len(s.pending)) {
		if err := s.held.take(c.http.Context(), memorylimit.SmallBytes); err != nil {
			g.closed.count(refusedAnswer)
			return errors.Wrapf(err, "step=read stream peer=%s: event of %d bytes", s.attempt.key.Address, len(s.pending))
		}
	}
	return nil
}

// writeEvents sends complete events to the caller, after the head if they are the first.
func (s *eventStream) writeEvents(events []byte) error {
	c := s.attempt.call
	if err := s.checkOrder(events); err != nil {
		return err
	}
	s.attempt.gateway.recordStream(c, s.attempt.ticket.Endpoint)
	c.sendStreamHead(s.attempt.gateway, s.header)
	now := time.Now()
	if !c.lastForwardedAt.IsZero() {
		c.maxEventGap = max(c.maxEventGap, now.Sub(c.lastForwardedAt))
	}
	c.lastForwardedAt = now
	if _, err := c.writer.Write(events); err != nil {
		s.callerWriteFailed = true
		return errors.Wrap(err, "step=answer caller")
	}
	if id := findLastEventID(events); id != "" {
		c.lastEventID = id
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		s.callerWriteFailed = true
		return errors.Wrap(err, "step=answer caller")
	}
	return nil
}

// finish ends the stream. It returns an error if the body ended inside an event, or if it is unframed and
// ended without one or by a crash of the endpoint.
func (s *eventStream) finish() error {
	if s.unframed && len(s.pending) == 0 {
		if err := s.attempt.confirmEnd(); err != nil || s.events == 0 {
			return errors.Wrapf(io.ErrUnexpectedEOF, "step=read stream peer=%s: ended after %d events without a length: %v", s.attempt.key.Address, s.events, err)
		}
	}
	if s.continues && s.events == 0 && s.attempt.call.eventBegun {
		return errors.Wrapf(errNotContinued, "step=read stream peer=%s: ended without the event that had begun", s.attempt.key.Address)
	}
	if len(s.pending) == 0 {
		s.attempt.call.sendStreamHead(s.attempt.gateway, s.header)
		return nil
	}
	return errors.Wrapf(io.ErrUnexpectedEOF, "step=read stream peer=%s: ended inside an event of %d bytes", s.attempt.key.Address, len(s.pending))
}

// sendStreamHead sends the head of a stream to the caller, unless that was done before.
func (c *call) sendStreamHead(g *Gateway, header http.Header) {
	if c.headSent {
		return
	}
	c.headSent, c.mediaType = true, mediaTypeOf(header)
	c.timeToFirstEvent = time.Since(c.arrived)
	c.setWriteDeadline(c.deadline.Add(writeMargin))
	h := c.writer.Header()
	// Otherwise net/http would guess a Content-Type if the endpoint set none.
	h["Content-Type"] = nil
	g.dialect.CopyAnswerHeaders(h, header)
	c.writer.WriteHeader(http.StatusOK)
}

// findLastEventID returns the ID of the last event that has one, or "".
func findLastEventID(events []byte) string {
	start := bytes.LastIndex(events, []byte("id:"))
	for start > 0 && events[start-1] != '\n' {
		start = bytes.LastIndex(events[:start], []byte("id:"))
	}
	if start < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(events[start+len("id:"):], []byte("\n"))
	return strings.TrimSpace(string(line))
}
