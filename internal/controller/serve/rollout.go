package serve

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericyoke/internal/fold"
)

// rolloutTracker measures the time from the acceptance of a document to the report of the last gateway
// that asks this controller. The start is the time in the accepted record, so that the clocks of
// entry hosts bound its accuracy.
type rolloutTracker struct {
	follower  Follower
	durations prometheus.Histogram

	mu sync.Mutex
	// reportedVersion is the highest version that all gateways have reported, or 0.
	reportedVersion uint64
}

// newRolloutTracker registers the metrics, with the controller's zone: each zone has its own gateways.
func newRolloutTracker(registry prometheus.Registerer, follower Follower) *rolloutTracker {
	zone := prometheus.Labels{"zone": follower.Status().GetZone()}
	r := &rolloutTracker{
		follower: follower,
		durations: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:        "turmericyoke_controller_rollout_seconds",
			Help:        "Time from the acceptance of a document to the report of the zone's last gateway that asks this controller.",
			ConstLabels: zone,
			// 17 s is the bound of the design.
			Buckets: []float64{0.25, 0.5, 1, 2, 4, 8, 17, 34, 68, 300, 3600},
		}),
	}
	pending := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "turmericyoke_controller_rollout_pending_seconds",
		Help:        "Age of the oldest accepted document that a gateway of this controller hasn't reported, or 0.",
		ConstLabels: zone,
	}, r.pendingSeconds)
	registry.MustRegister(r.durations, pending)
	return r
}

// recordLowestVersion notes the lowest version that all gateways have.
func (r *rolloutTracker) recordLowestVersion(least uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if least <= r.reportedVersion {
		return
	}
	if r.reportedVersion > 0 {
		for _, accepted := range r.acceptanceTimes(r.reportedVersion, least) {
			r.durations.Observe(max(now.Sub(accepted).Seconds(), 0))
		}
	}
	r.reportedVersion = least
}

// acceptanceTimes returns when the documents above a version, up to another one, were accepted.
func (r *rolloutTracker) acceptanceTimes(above, upTo uint64) []time.Time {
	var times []time.Time
	r.follower.Read(func(state *fold.State) {
		if state.Version() <= above {
			return
		}
		for _, verdict := range state.OperatorVerdicts() {
			if verdict.Accepted && verdict.Payload == "change_set" && verdict.Version > above && verdict.Version <= upTo {
				times = append(times, time.UnixMilli(verdict.TimeUnixMS))
			}
		}
	})
	return times
}

func (r *rolloutTracker) pendingSeconds() float64 {
	r.mu.Lock()
	done := r.reportedVersion
	r.mu.Unlock()
	if done == 0 {
		return 0
	}
	if waiting := r.acceptanceTimes(done, done+1); len(waiting) > 0 {
		return max(time.Since(waiting[0]).Seconds(), 0)
	}
	return 0
}
