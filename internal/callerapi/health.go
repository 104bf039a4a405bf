package callerapi

import (
	"io"
	"net/http"
)

// livez serves the liveness probe: it succeeds whenever the process serves HTTP.
func livez(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// readyz serves the readiness probe. When not ready, the body gives the reason.
func (a *api) readyz(w http.ResponseWriter, _ *http.Request) {
	if a.opts.Ready != nil {
		if err := a.opts.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
			return
		}
	}
	writeText(w, http.StatusOK, "ok\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
