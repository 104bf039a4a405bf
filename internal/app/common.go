package app

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/platform"
)

// storeTimeout bounds one request to the table service.
const storeTimeout = 3 * time.Second

// newIncarnation numbers the process's life by its wall-clock start in microseconds.
func newIncarnation() domain.Incarnation {
	return domain.Incarnation(time.Now().UnixMicro())
}

func newStore(url string) func() *platform.Client {
	return func() *platform.Client {
		return platform.New(platform.Options{URL: url, Timeout: storeTimeout})
	}
}

// starter is a process that its parts have been wired into.
type starter interface{ start() error }

// startProcess builds a process from the constructors of its parts and starts it.
func startProcess[P starter](name string, constructors ...any) (P, error) {
	var process, none P
	c := dig.New()
	for _, constructor := range append(constructors, newIncarnation, newClock) {
		if err := c.Provide(constructor); err != nil {
			return none, errors.Wrapf(err, "step=wire peer=%s", name)
		}
	}
	err := c.Invoke(func(made P) error {
		process = made
		return process.start()
	})
	if err != nil {
		return none, errors.Wrapf(dig.RootCause(err), "step=start peer=%s", name)
	}
	return process, nil
}

// logCloseError tells of a listener or server that did not close cleanly. Being
// closed already is no fault: a stop may be followed by an end at once.
func logCloseError(what string, err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "not closed", "what", what)
	}
}

// logServeError logs the end of a server that ended by a fault.
func logServeError(server string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "server ended", "server", server)
	}
}

func serveLiveness(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }

func readinessHandler(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}
