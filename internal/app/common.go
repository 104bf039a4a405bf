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

// newIncarnation identifies this run of the process by its start time, in
// microseconds since the Unix epoch.
func newIncarnation() domain.Incarnation {
	return domain.Incarnation(time.Now().UnixMicro())
}

// newStore returns a constructor of the client for the table service at url.
func newStore(url string) func() *platform.Client {
	return func() *platform.Client {
		return platform.New(platform.Options{URL: url, Timeout: storeTimeout})
	}
}

// starter is a process whose dependencies have been injected.
type starter interface{ start() error }

// startProcess builds a process by dependency injection from the constructors
// of its parts and starts it. Name is used in errors.
func startProcess[P starter](name string, constructors ...any) (P, error) {
	var process, zero P
	c := dig.New()
	for _, constructor := range append(constructors, newIncarnation, newClock) {
		if err := c.Provide(constructor); err != nil {
			return zero, errors.Wrapf(err, "step=wire peer=%s", name)
		}
	}
	err := c.Invoke(func(built P) error {
		process = built
		return process.start()
	})
	if err != nil {
		return zero, errors.Wrapf(dig.RootCause(err), "step=start peer=%s", name)
	}
	return process, nil
}

// logCloseError logs the error of closing a listener or server. It ignores
// net.ErrClosed, because Close may follow Shutdown and close the same listener
// twice.
func logCloseError(component string, err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "close failed", "what", component)
	}
}

// logServeError logs the error that Serve returned, unless the server was closed
// on purpose.
func logServeError(server string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "server failed", "server", server)
	}
}

// serveLiveness answers liveness probes.
func serveLiveness(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }

// readinessHandler answers readiness probes: 200 if ready returns true, otherwise 503.
func readinessHandler(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}
