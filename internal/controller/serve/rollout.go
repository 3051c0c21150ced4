package serve

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericyoke/internal/fold"
)

// rolloutTracker measures how long a document takes from its acceptance until all gateways that poll this
// controller have reported its version. The start is the timestamp in the accepted record, so the clocks of the
// entry hosts limit the accuracy.
type rolloutTracker struct {
	follower  Follower
	durations prometheus.Histogram

	mu sync.Mutex
	// reportedVersion is the highest document version that all gateways have reported, or 0 if none is known.
	reportedVersion uint64
}

// newRolloutTracker registers the metrics with the controller's zone as a constant label, since each zone has
// its own gateways.
func newRolloutTracker(registry prometheus.Registerer, follower Follower) *rolloutTracker {
	zoneLabel := prometheus.Labels{"zone": follower.Status().GetZone()}
	tracker := &rolloutTracker{
		follower: follower,
		durations: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:        "turmericyoke_controller_rollout_seconds",
			Help:        "Time from the acceptance of a document to the report of the zone's last gateway that asks this controller.",
			ConstLabels: zoneLabel,
			// The design bounds a rollout to 17 s.
			Buckets: []float64{0.25, 0.5, 1, 2, 4, 8, 17, 34, 68, 300, 3600},
		}),
	}
	pending := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "turmericyoke_controller_rollout_pending_seconds",
		Help:        "Age of the oldest accepted document that a gateway of this controller hasn't reported, or 0.",
		ConstLabels: zoneLabel,
	}, tracker.pendingSeconds)
	registry.MustRegister(tracker.durations, pending)
	return tracker
}

// recordLowestVersion records the lowest version that the gateways have reported. It observes the rollout
// time of each document up to that version. The first recorded version is only a starting point: nothing is
// observed for it.
func (r *rolloutTracker) recordLowestVersion(lowest uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lowest <= r.reportedVersion {
		return
	}
	if r.reportedVersion > 0 {
		for _, acceptedAt := range r.acceptanceTimes(r.reportedVersion, lowest) {
			r.durations.Observe(max(now.Sub(acceptedAt).Seconds(), 0))
		}
	}
	r.reportedVersion = lowest
}

// acceptanceTimes returns when the documents with versions above the first and up to the second version were
// accepted.
func (r *rolloutTracker) acceptanceTimes(afterVersion, upToVersion uint64) []time.Time {
	var times []time.Time
	r.follower.Read(func(state *fold.State) {
		if state.Version() <= afterVersion {
			return
		}
		for _, verdict := range state.OperatorVerdicts() {
			if verdict.Accepted && verdict.Payload == "change_set" && verdict.Version > afterVersion && verdict.Version <= upToVersion {
				times = append(times, time.UnixMilli(verdict.TimeUnixMS))
			}
		}
	})
	return times
}

// pendingSeconds returns the age of the oldest document that not all gateways have reported, or 0 if there is
// none.
func (r *rolloutTracker) pendingSeconds() float64 {
	r.mu.Lock()
	reportedVersion := r.reportedVersion
	r.mu.Unlock()
	if reportedVersion == 0 {
		return 0
	}
	if acceptedAt := r.acceptanceTimes(reportedVersion, reportedVersion+1); len(acceptedAt) > 0 {
		return max(time.Since(acceptedAt[0]).Seconds(), 0)
	}
	return 0
}
