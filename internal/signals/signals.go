// Package signals receives the signals of a process from its start to its end. A
// signal without a handler has its default effect, which for SIGTERM, SIGINT and
// SIGHUP is to end the process and to cut its requests.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

const (
	// maxStops is the number of stop signals that are kept until they are read; later ones
	// are dropped. A third one has no meaning.
	maxStops = 2
	// maxReloads is 1 as one reload covers all changes before it.
	maxReloads = 1
)

// Received are the signals that a process has received.
type Received struct {
	// Stop has SIGTERM and SIGINT.
	Stop <-chan os.Signal
	// Reload has SIGHUP: the settings may have changed.
	Reload <-chan os.Signal
}

// Notify registers the handlers. Programs call it first. The handlers are never
// removed: between their removal and the end of the process a signal would have its
// default effect again.
func Notify() Received {
	stop, reload := make(chan os.Signal, maxStops), make(chan os.Signal, maxReloads)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	// Ignored, a write to a closed standard output or error fails instead of ending the process.
	signal.Ignore(syscall.SIGPIPE)
	return Received{Stop: stop, Reload: reload}
}
