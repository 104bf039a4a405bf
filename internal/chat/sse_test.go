package chat_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
)

func readAll(t *testing.T, r io.Reader) []string {
	t.Helper()
	events := chat.NewEventReader(r)
	var out []string
	for {
		data, err := events.Next()
		if err == io.EOF {
			return out
		}
		assert.NilError(t, err)
		out = append(out, string(data))
	}
}

func TestEventReader(t *testing.T) {
	stream := ": ping\r\n\r\nevent: x\ndata: one\n\ndata:two\r\ndata:  three\r\n\r\nid: 4\n\ndata\n\ndata: cut off\n"
	assert.DeepEqual(t, readAll(t, strings.NewReader(stream)), []string{"one", "two\n three", ""})
}

func TestEventTooLong(t *testing.T) {
	long := "data: " + strings.Repeat("x", chat.MaxEventBytes/2) + "\n"
	for _, stream := range []string{strings.Repeat(long, 3), "data: " + strings.Repeat("x", chat.MaxEventBytes)} {
		_, err := chat.NewEventReader(strings.NewReader(stream)).Next()
		assert.ErrorIs(t, err, chat.ErrEventTooLong)
	}
}

// FuzzEventReader reads arbitrary input, writes the events back in canonical
// form, and checks that they read the same. No input may cause an error or an
// endless loop.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: one\n\ndata: two\ndata: three\n\n"))
	f.Add([]byte(": ping\r\n\r\ndata\r\n\r\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		// A longer stream may have an event that is too long.
		if len(stream) > chat.MaxEventBytes {
			return
		}
		first := readAll(t, bytes.NewReader(stream))
		var rewritten strings.Builder
		for _, event := range first {
			for line := range strings.SplitSeq(event, "\n") {
				fmt.Fprintf(&rewritten, "data: %s\n", line)
			}
			rewritten.WriteString("\n")
		}
		// A carriage return at the end of a data line would be read as part of the
		// line end.
		if strings.Contains(rewritten.String(), "\r\n") {
			return
		}
		assert.DeepEqual(t, readAll(t, strings.NewReader(rewritten.String())), first)
	})
}
