package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
)

// routes returns the handler of the whole API, and one for faults and counters
// only. Faults do not affect the latter.
func (e *Engine) routes() (full, control http.Handler) {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(e.abortIfCrashed)
		r.Post("/v1/chat/completions", e.complete)
		r.Get("/load", e.getLoad)
		r.Get("/cache-events", e.getCacheEvents)
		r.Post("/orders", e.postOrder)
	})
	c := chi.NewRouter()
	c.Post("/faults", e.postFaults)
	c.Get("/counters", e.getCounters)
	r.Mount("/", c)
	return r, c
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	request, err := api.ReadJSON[chat.Request](w, r, false)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if len(request.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "invalid_request", "messages must not be empty")
		return
	}
	id := r.Header.Get(api.RequestIDHeader)
	j, err := newJob(e.options.Seed, id, &request)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.mu.Lock()
	queued := e.submit(j)
	e.mu.Unlock()
	if !queued {
		w.Header().Set(api.NotRunHeader, "true")
		writeError(w, http.StatusServiceUnavailable, "overloaded", "queue is full")
		return
	}
	defer e.cancel(j)
	completionWriter := &completionWriter{engine: e, id: "chatcmpl-" + id, model: request.Model, created: time.Now().Unix(), job: j}
	if request.Stream {
		completionWriter.writeStream(w, r)
		return
	}
	completionWriter.writeWhole(w, r)
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.loadReports.at(time.Now(), e.options.ReportLag)
	e.mu.Unlock()
	api.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.mu.Lock()
	cacheEvents := e.cacheEvents.after(after, time.Now(), e.options.ReportLag)
	e.mu.Unlock()
	api.WriteJSON(w, http.StatusOK, CacheEvents{Events: cacheEvents})
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	order, err := api.ReadJSON[Order](w, r, false)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.mu.Lock()
	applied := e.orders.apply(order, e.options.IgnoreFencing)
	e.mu.Unlock()
	klog.InfoS("order received", "engine", e.options.Name, "kind", order.Kind, "name", order.Name,
		"fencing", order.Fencing, "taken", applied)
	if !applied {
		writeError(w, http.StatusConflict, "fenced", "fencing number is old")
		return
	}
	api.WriteJSON(w, http.StatusOK, order)
}

func (e *Engine) getCounters(w http.ResponseWriter, _ *http.Request) {
	api.WriteJSON(w, http.StatusOK, e.Counters())
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	api.WriteJSON(w, status, chat.ErrorBody{Error: chat.Error{Type: kind, Message: message}})
}
