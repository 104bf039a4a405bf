package logs

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// MaxVerbosity is the highest klog verbosity that the code logs at.
const MaxVerbosity = 2

// Configure makes klog write to w, one line of key=value pairs per event. Each line
// has the name of the process.
func Configure(w io.Writer, process string) {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.Level(-MaxVerbosity), ReplaceAttr: simplifyAttr})
	klog.SetSlogLogger(slog.New(handler).With("process", process))
}

// simplifyAttr logs errors without their stack traces, and all verbose levels as
// DEBUG instead of DEBUG+3 and DEBUG+2.
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
