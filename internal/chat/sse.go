package chat

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes limits the data of one event, and the length of one line including
// its field name and line end.
const MaxEventBytes = 1 << 20

// ErrEventTooLong is returned if a line or the data of an event exceeds MaxEventBytes.
var ErrEventTooLong = errors.New("event too long")

// EventReader reads the data of server-sent events. It skips comments and
// fields other than data. It is not safe for concurrent use.
type EventReader struct {
	lines *bufio.Scanner
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	lines.Split(splitLine)
	return &EventReader{lines: lines}
}

// Next returns the data of the next event, with multiple data lines joined by
// line feeds. It returns io.EOF at the end of the stream. An incomplete last
// event is dropped.
func (r *EventReader) Next() ([]byte, error) {
	var data []byte
	hasData := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			continue
		}
		value, ok := dataField(line)
		if !ok {
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		if len(data)+len(value) > MaxEventBytes {
			return nil, ErrEventTooLong
		}
		data = append(data, value...)
		hasData = true
	}
	err := r.lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return nil, ErrEventTooLong
	}
	if err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// dataField returns the value of a data line, or false for any other line.
func dataField(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

// splitLine is a bufio.SplitFunc for lines that end with LF or CRLF. A last line
// without an end is dropped.
func splitLine(data []byte, atEOF bool) (int, []byte, error) {
	i := bytes.IndexByte(data, '\n')
	if i >= 0 {
		return i + 1, bytes.TrimSuffix(data[:i], []byte("\r")), nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}
