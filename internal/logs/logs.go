package logs

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// MaxVerbosity is the most detailed level that is logged at.
const MaxVerbosity = 2

// Set makes klog write one line of key=value pairs for each event.
func Set(w io.Writer, process string) {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.Level(-MaxVerbosity), ReplaceAttr: simplifyAttr})
	klog.SetSlogLogger(slog.New(handler).With("process", process))
}

// simplifyAttr leaves the stack trace out of a logged error, and the number out of
// the level of details.
func simplifyAttr(_ []string, a slog.Attr) slog.Attr {
	switch value := a.Value.Any().(type) {
	case error:
		a.Value = slog.StringValue(value.Error())
	case slog.Level:
		if value < slog.LevelInfo {
			a.Value = slog.StringValue(slog.LevelDebug.String())
		}
	}
	return a
}
