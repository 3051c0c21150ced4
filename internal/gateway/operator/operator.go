// Package operator serves metrics, health, readiness and profiles to operators.
package operator

import (
	"io"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Handler serves the operators' address.
type Handler struct {
	*http.ServeMux
}

// New returns the handler. ready reports whether the process may get callers.
func New(registry *prometheus.Registry, ready func() bool) *Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { answer(w, true) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { answer(w, ready()) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return &Handler{ServeMux: mux}
}

func answer(w http.ResponseWriter, ok bool) {
	text := "ok\n"
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		text = "not ready\n"
	}
	_, _ = io.WriteString(w, text)
}
