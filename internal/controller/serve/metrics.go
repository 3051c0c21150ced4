package serve

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the service: proposals by outcome, bytes of views and the rollout of documents.
type Metrics struct {
	proposals *prometheus.CounterVec
	viewBytes prometheus.Counter
	rollout   *rolloutTracker
}

// NewMetrics registers the metrics of the service, and gauges of the progress of its follower.
func NewMetrics(registry prometheus.Registerer, follower Follower) *Metrics {
	m := &Metrics{
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericyoke_controller_proposals_total",
			Help: "Proposals of gateways and operators by outcome: accepted, or the kind of the rejection or error.",
		}, []string{"outcome"}),
		viewBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericyoke_controller_view_bytes_total", Help: "Bytes of views sent to gateways.",
		}),
	}
	registry.MustRegister(m.proposals, m.viewBytes)
	m.rollout = newRolloutTracker(registry, follower)
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("turmericyoke_controller_offset", "Offset of the last folded record.", func() float64 {
		return float64(follower.Status().GetOffset())
	})
	gauge("turmericyoke_controller_config_version", "Version of the accepted document.", func() float64 {
		return float64(follower.Status().GetConfigVersion())
	})
	gauge("turmericyoke_controller_freshness_seconds", "Age of the last read that reached the head of the log.", func() float64 {
		const millisecondsPerSecond = 1000
		return float64(follower.Status().GetFreshnessMs()) / millisecondsPerSecond
	})
	gauge("turmericyoke_controller_ready", "1 while the state is complete.", func() float64 {
		if follower.Ready() {
			return 1
		}
		return 0
	})
	return m
}
