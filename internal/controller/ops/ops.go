// Package ops serves health checks, metrics and profiles on the operators' address.
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

// Config holds the sources of the health checks and metrics.
type Config struct {
	Registry *prometheus.Registry
	Status   func() *v1.StatusResponse
	// Stopped reports whether the follower has stopped for good.
	Stopped func() bool
	// Draining reports whether the process is shutting down.
	Draining func() bool
	// Joined reports whether the controller has joined, so that its proposals can be accepted.
	Joined func() bool
}

// Health is the body of the responses of /healthz and /readyz.
type Health struct {
	Ready bool `json:"ready"`
	// Reason is the kind of the error for which the controller isn't ready.
	Reason string `json:"reason,omitempty"`
	Joined bool   `json:"joined"`
	// FollowerError is the kind of the follower's current error. The controller may be ready despite it, such
	// as during an outage of the log.
	FollowerError string `json:"followerError,omitempty"`
	Offset        int64  `json:"offset"`
	ConfigVersion uint64 `json:"configVersion"`
	FreshnessMS   uint64 `json:"freshnessMs"`
}

// Handler returns the handler of the operators' address. /healthz always succeeds while the process answers,
// so that an outage of the log doesn't get controllers restarted, which would lose the state that they serve.
// /readyz fails when gateways should use another controller: before the state is complete, after the follower
// has stopped for good and during shutdown, but not while the log is down.
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

// health returns the current health. A shutdown takes precedence over a stopped follower, which takes
// precedence over an incomplete state.
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
	// An error means that the client has closed the connection, so there is no one to report it to.
	_ = json.NewEncoder(w).Encode(health)
}
