// Package ops serves health, metrics and profiles on the operators' address.
package ops

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Config is what the handlers ask.
type Config struct {
	Registry *prometheus.Registry
	Status   func() *v1.StatusResponse
	// Stopped reports that the follower has stopped for good.
	Stopped func() bool
	// Draining reports that the process is shutting down.
	Draining func() bool
	// Joined reports that the controller's proposals can be accepted.
	Joined func() bool
}

// Health is the body of both health answers.
type Health struct {
	Ready bool `json:"ready"`
	// Reason is the error kind that makes the controller not ready.
	Reason string `json:"reason,omitempty"`
	Joined bool   `json:"joined"`
	// FollowerError is the kind of an error that the controller serves through, such as an outage of the log.
	FollowerError string `json:"followerError,omitempty"`
	Offset        int64  `json:"offset"`
	ConfigVersion uint64 `json:"configVersion"`
	FreshnessMS   uint64 `json:"freshnessMs"`
}

// Handler returns the operators' handler. /healthz fails only when a restart would help, so an
// outage of the log doesn't restart controllers and lose the state that they serve. /readyz fails
// when gateways should use another controller: before the state is complete, after the follower
// stopped for good and during shutdown, but not while the log is down.
func Handler(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(cfg.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, http.StatusOK, cfg.health())
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		health := cfg.health()
		status := http.StatusOK
		if !health.Ready {
			status = http.StatusServiceUnavailable
		}
		writeHealth(w, status, health)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

func (c Config) health() Health {
	status := c.Status()
	health := Health{
		Ready: status.GetReady(), Joined: c.Joined(), FollowerError: status.GetFollowerError(),
		Offset: status.GetOffset(), ConfigVersion: status.GetConfigVersion(), FreshnessMS: status.GetFreshnessMs(),
	}
	switch {
	case c.Draining():
		health.Ready, health.Reason = false, string(fault.ShuttingDown)
	case c.Stopped():
		health.Ready, health.Reason = false, status.GetFollowerError()
	case !health.Ready:
		health.Reason = string(fault.NotReady)
	}
	return health
}

func writeHealth(w http.ResponseWriter, status int, health Health) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The connection may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(health)
}
