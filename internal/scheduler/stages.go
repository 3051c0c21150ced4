package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Stages in which a run waits for its worker, as the label of the histogram of their durations.
const (
	// stageStart is the time from the order to start until a response or a report confirms the start.
	stageStart = "start"
	// stageStop is the time from the first order to stop until a response confirms a stop.
	stageStop = "stop"
	// stageAbsence is the time from the confirmed stop until a report shows that the run isn't there.
	stageAbsence = "absence"
	// stageEnd is the time from the worker's last report until the lease renewal was sent whose report lists ends of
	// runs. A run that ended in that time, for example during a renewal without a response, was noticed late.
	stageEnd = "end"
)

// slowAnswerTime is the time without an answer of its worker from which a run is logged and counted as waiting. Workers
// respond within a few milliseconds.
const slowAnswerTime = 250 * time.Millisecond

// stageMetrics are the metrics of runs that wait for their workers.
type stageMetrics struct {
	durations  *prometheus.HistogramVec
	unanswered prometheus.Gauge
	oldest     prometheus.Gauge
}

func newStageMetrics(registry prometheus.Registerer) stageMetrics {
	m := stageMetrics{
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "scheduler_run_stage_seconds", Help: "Time for which runs wait for their workers, by stage.",
			Buckets: []float64{.01, .03, .1, .2, .4, .8, 1.5, 3, 6, 12}}, []string{"stage"}),
		unanswered: prometheus.NewGauge(prometheus.GaugeOpts{Name: "scheduler_unanswered_runs", Help: "Runs whose start or stop the worker hasn't confirmed in 0.25 s."}),
		oldest:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "scheduler_oldest_unanswered_run_seconds", Help: "Time since the start of the oldest of these runs was ordered."}),
	}
	registry.MustRegister(m.durations, m.unanswered, m.oldest)
	return m
}

// stageEnded records the duration of a stage.
func (m *Metrics) stageEnded(stage string, took time.Duration) {
	if m != nil {
		m.stages.durations.WithLabelValues(stage).Observe(took.Seconds())
	}
}

// unansweredRuns records the number of runs that wait for an answer, and the age of the oldest one.
func (m *Metrics) unansweredRuns(count int, oldest time.Duration) {
	if m != nil {
		m.stages.unanswered.Set(float64(count))
		m.stages.oldest.Set(oldest.Seconds())
	}
}

// awaitsAnswer reports whether the worker has confirmed neither the start of the placed item's run nor a stop of it
// within slowAnswerTime.
func (i *item) awaitsAnswer(now time.Duration) bool {
	switch {
	case i.inherited:
		return false
	case i.stopping:
		return i.stopConfirmedAt == 0 && now-i.stopRequestedAt > slowAnswerTime
	}
	return i.startConfirmedAt == 0 && now-i.placedAt > slowAnswerTime
}

// confirmStart notes that the placed item's run has begun, unless that is already known.
func (c *Core) confirmStart(i *item, now time.Duration) {
	if i.startConfirmedAt == 0 && !i.inherited {
		c.metrics.stageEnded(stageStart, now-i.placedAt)
	}
	if i.step.def.Lasting && i.awaitsConfirmation() {
		// The record of a lasting item may not be written again for a long time.
		c.markItemDirty(i)
	}
	i.confirmStart(now)
}

// observeEnds records how long the worker had not reported when the renewal was sent whose report lists ends of runs.
func (c *Core) observeEnds(w *worker, unwatched time.Duration) {
	c.metrics.stageEnded(stageEnd, unwatched)
	if unwatched >= slowAnswerTime {
		c.logger.WithFields(logrus.Fields{"event": "ends_reported_late", "worker": w.entry.ID, "up_to_ms": unwatched.Milliseconds()}).Info("worker had not reported before this lease renewal; ends of runs may be noticed late")
	}
}

// unansweredRuns are the number of runs that wait for an answer, and the age of the oldest one.
type unansweredRuns struct {
	count  int
	oldest time.Duration
}

// observe counts the run of the placed item if it waits for an answer.
func (u *unansweredRuns) observe(i *item, now time.Duration) {
	if i.awaitsAnswer(now) {
		u.count++
		u.oldest = max(u.oldest, now-i.placedAt)
	}
}

// logSlowAnswers logs the stages of a placed item's run that leaves its worker, if the worker's answers took long.
func (c *Core) logSlowAnswers(i *item, now time.Duration) {
	if i.inherited {
		return
	}
	start, stop, absence := i.startConfirmedAt-i.placedAt, time.Duration(0), time.Duration(0)
	if i.startConfirmedAt == 0 {
		start = now - i.placedAt
	}
	if i.stopping {
		stop = now - i.stopRequestedAt
		if i.startConfirmedAt == 0 {
			start = i.stopRequestedAt - i.placedAt
		}
	}
	if i.stopConfirmedAt > 0 {
		stop, absence = i.stopConfirmedAt-i.stopRequestedAt, now-i.stopConfirmedAt
	}
	if start+stop+absence < slowAnswerTime {
		return
	}
	c.logger.WithFields(logrus.Fields{"event": "run_answered_late", "item": i.id().String(), "run": i.run, "worker": i.worker.entry.ID, "confirmed": i.startConfirmedAt > 0,
		"start_ms": start.Milliseconds(), "stop_ms": stop.Milliseconds(), "absence_ms": absence.Milliseconds()}).Info("worker answered late; time of each stage of the run")
}
