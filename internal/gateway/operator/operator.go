// Package operator serves metrics, health, readiness and profiles to operators.
package operator

import (
	"io"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Handler routes the requests to the listen address for operators.
type Handler struct {
	*http.ServeMux
}

// New returns the handler. ready reports whether the load balancer may send requests to the process.
func New(registry *prometheus.Registry, ready func() bool) *Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, true) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, ready()) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return &Handler{ServeMux: mux}
}

// writeStatus writes the response to a health or readiness check.
func writeStatus(w http.ResponseWriter, ok bool) {
	text := "ok\n"
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		text = "not ready\n"
	}
	_, _ = io.WriteString(w, text)
}
