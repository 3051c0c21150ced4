package scheduler

import "github.com/prometheus/client_golang/prometheus"

// zoneMetrics are the metrics of the rules for availability zones.
type zoneMetrics struct {
	// placed counts the placed work items of jobs with a home zone, and homeChanges the jobs that got another one.
	placed      *prometheus.CounterVec
	homeChanges prometheus.Counter
	// lost is the number of lost zones, and losses counts the zones that were found to be lost.
	lost   prometheus.Gauge
	losses prometheus.Counter
}

func newZoneMetrics(registry prometheus.Registerer) zoneMetrics {
	m := zoneMetrics{
		placed:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_home_zone_placements_total", Help: "Work items of jobs with a home zone that were placed, by zone."}, []string{"zone"}),
		homeChanges: prometheus.NewCounter(prometheus.CounterOpts{Name: "scheduler_home_zone_changes_total", Help: "Jobs whose home zone had no worker any more that may get new work."}),
		lost:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "scheduler_lost_zones", Help: "Availability zones of which no worker responds."}),
		losses:      prometheus.NewCounter(prometheus.CounterOpts{Name: "scheduler_zone_losses_total", Help: "How often an availability zone was found to be lost."}),
	}
	registry.MustRegister(m.placed, m.homeChanges, m.lost, m.losses)
	return m
}

// homeZoneChanged counts a job that got another home zone.
func (m *Metrics) homeZoneChanged() {
	if m != nil {
		m.zones.homeChanges.Inc()
	}
}

// placedByZone counts a placed item of a job with a home zone.
func (m *Metrics) placedByZone(s *stepInstance, w *worker) {
	if m == nil || s.job.homeZone == "" || s.def.Lasting {
		return
	}
	zone := "other"
	if w.entry.Zone == s.job.homeZone {
		zone = "home"
	}
	m.zones.placed.WithLabelValues(zone).Inc()
}

// zoneLost counts the loss of a zone, and records the number of zones that are lost now.
func (m *Metrics) zoneLost(lost int) {
	if m != nil {
		m.zones.losses.Inc()
		m.zones.lost.Set(float64(lost))
	}
}

// zoneRegained records the number of zones that are still lost.
func (m *Metrics) zoneRegained(lost int) {
	if m != nil {
		m.zones.lost.Set(float64(lost))
	}
}
