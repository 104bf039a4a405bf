package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

const (
	// streamBuffer is the room for the events of one read, in bytes.
	streamBuffer = 4096
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// eventEnd is the blank line that ends an event.
var eventEnd = []byte("\n\n")

// stream passes the events of an answer on as they arrive, each whole or not at all.
func (a *attempt) stream(response *http.Response) (attemptEnd, placement.Result, *endpointconn.Whole) {
	c := a.call
	s := &eventStream{attempt: a, header: response.Header}
	err := s.copy(response.Body)
	c.setWriteDeadline(time.Time{})
	if err == nil {
		return attemptAnswered, placement.ResultServed, whole(response)
	}
	c.cause = err.Error()
	if s.callerFault {
		return attemptBroken, placement.ResultCancelled, nil
	}
	return attemptBroken, a.silence(), nil
}

// eventStream splits the bytes of an answer into events.
type eventStream struct {
	attempt     *attempt
	header      http.Header
	pending     []byte
	callerFault bool
}

func (s *eventStream) copy(body io.Reader) error {
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if failed := s.take(buffer[:n]); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finish()
		}
		if err != nil {
			return errors.Wrapf(err, "step=read stream peer=%s", s.attempt.key.Address)
		}
	}
}

// take forwards the whole events among the bytes that have arrived.
func (s *eventStream) take(data []byte) error {
	s.pending = append(s.pending, data...)
	events := bytes.Count(s.pending, eventEnd)
	s.attempt.gateway.heard(s.attempt.ticket, events)
	s.attempt.call.events += events
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		if len(s.pending) > maxEventBytes {
			return errors.Newf("step=read stream peer=%s: event over %d bytes", s.attempt.key.Address, maxEventBytes)
		}
		return nil
	}
	end += len(eventEnd)
	if err := s.forward(s.pending[:end]); err != nil {
		return err
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

func (s *eventStream) forward(events []byte) error {
	c := s.attempt.call
	c.start(s.attempt.gateway, s.header)
	now := time.Now()
	if !c.lastEvent.IsZero() {
		c.pause = max(c.pause, now.Sub(c.lastEvent))
	}
	c.lastEvent = now
	if _, err := c.writer.Write(events); err != nil {
		s.callerFault = true
		return errors.Wrap(err, "step=answer caller")
	}
	if id := lastEventID(events); id != "" {
		c.lastID = id
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		s.callerFault = true
		return errors.Wrap(err, "step=answer caller")
	}
	return nil
}

// finish ends the stream. Bytes after the last event are a part of the answer
// only if its framing says that it is whole.
func (s *eventStream) finish() error {
	c := s.attempt.call
	c.start(s.attempt.gateway, s.header)
	if len(s.pending) == 0 {
		return nil
	}
	return errors.Newf("step=read stream peer=%s: ended inside an event of %d bytes", s.attempt.key.Address, len(s.pending))
}

// start gives the caller the head of a stream, once.
func (c *call) start(g *Gateway, header http.Header) {
	if c.started {
		return
	}
	c.started = true
	c.first = time.Since(c.arrived)
	c.setWriteDeadline(c.deadline.Add(writeMargin))
	h := c.writer.Header()
	h["Content-Type"] = nil
	g.dialect.CopyAnswer(h, header)
	c.writer.WriteHeader(http.StatusOK)
}

// lastEventID returns the identifier of the last event that has one.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("id:"))
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], []byte("id:"))
	}
	if at < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	return strings.TrimSpace(string(line))
}
