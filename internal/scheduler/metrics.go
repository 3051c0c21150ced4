package scheduler

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericyoke/internal/infra"
)

// Metrics holds the scheduler's metrics. A nil Metrics records nothing.
type Metrics struct {
	jobs *prometheus.CounterVec
	// offers counts the submissions by the group that the order by cost places them in, and delays the jobs that give way to
	// others by cause.
	offers, delays *prometheus.CounterVec
	starts         *prometheus.CounterVec
	ends           *prometheus.CounterVec
	crashes        *prometheus.CounterVec
	examined       prometheus.Counter
	completion     prometheus.Histogram
	// adviceCalls counts the requests to the advice service, advisedWorkers the workers in its answers, and adviceWaits is
	// the number of work items that wait for it although there is room.
	adviceCalls, advisedWorkers *prometheus.CounterVec
	adviceWaits                 *prometheus.GaugeVec
	stages                      stageMetrics
	evacuations                 evacuationMetrics
	zones                       zoneMetrics
	accuracy                    accuracyMetrics
	// rejectedRecords counts the records that the log never accepts, and omittedCheckpoints the records without a checkpoint
	// that is too long for them.
	rejectedRecords, omittedCheckpoints prometheus.Counter
	// stateBytes is the estimated size of the state of all jobs, and delayedOccurrences counts the checks that found no room
	// for an occurrence that was due.
	stateBytes         prometheus.Gauge
	delayedOccurrences prometheus.Counter
	// fullStartQueues counts the start queues that have become full.
	fullStartQueues prometheus.Counter
	// suspects and trials are the numbers of waiting suspects and of trials in progress, and suspectAge is how long the
	// oldest waiting suspect has waited.
	suspects, trials, suspectAge prometheus.Gauge
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		jobs:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_jobs_total", Help: "Jobs by decision."}, []string{"decision"}),
		offers:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_offers_total", Help: "Submissions by their group in the order by cost."}, []string{"group"}),
		delays:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_jobs_delayed_total", Help: "Jobs that give way to others in the order by cost, by cause."}, []string{"cause"}),
		starts:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_starts_total", Help: "Starts of work items by outcome."}, []string{"outcome"}),
		ends:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_ends_total", Help: "Ends of runs by cause."}, []string{"cause"}),
		crashes:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_run_crashes_total", Help: "Crashes of workers that were counted against a work item."}, []string{"on_trial"}),
		examined: prometheus.NewCounter(prometheus.CounterOpts{Name: "scheduler_workers_examined_total", Help: "Workers that were considered for work items."}),
		completion: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "scheduler_job_seconds", Help: "Time from acceptance to completion.",
			Buckets: []float64{.25, .5, 1, 1.5, 2, 3, 4, 6, 10, 20, 60}}),
		adviceCalls:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_advice_requests_total", Help: "Requests to the advice service by outcome."}, []string{"outcome"}),
		advisedWorkers:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_advised_workers_total", Help: "Workers in the answers of the advice service."}, []string{"answer"}),
		adviceWaits:        prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "scheduler_starts_awaiting_advice", Help: "Work items for which there is room, but no ticket, by reason."}, []string{"reason"}),
		stages:             newStageMetrics(registry),
		evacuations:        newEvacuationMetrics(registry),
		zones:              newZoneMetrics(registry),
		accuracy:           newAccuracyMetrics(registry),
		stateBytes:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "scheduler_state_bytes", Help: "Estimated size of the state of all jobs in memory."}),
		fullStartQueues:    prometheus.NewCounter(prometheus.CounterOpts{Name: "scheduler_start_queues_full_total", Help: "How often so many starts to an availability zone waited to be sent that no more work items were placed there."}),
		delayedOccurrences: prometheus.NewCounter(prometheus.CounterOpts{Name: "scheduler_occurrences_delayed_total", Help: "Checks that found no room in memory for an occurrence that was due."}),
		rejectedRecords:    prometheus.NewCounter(prometheus.CounterOpts{Name: "scheduler_records_rejected_total", Help: "Records that the log never accepts."}),
		omittedCheckpoints: prometheus.NewCounter(prometheus.CounterOpts{Name: "scheduler_checkpoints_omitted_total", Help: "Records of work items without some checkpoints, which are too long for the log."}),
		suspects:           prometheus.NewGauge(prometheus.GaugeOpts{Name: "scheduler_suspects_waiting", Help: "Work items that may have crashed a worker and wait for a trial."}),
		trials:             prometheus.NewGauge(prometheus.GaugeOpts{Name: "scheduler_trials", Help: "Trials in progress."}),
		suspectAge:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "scheduler_suspects_oldest_seconds", Help: "How long the oldest waiting suspect has waited."}),
	}
	registry.MustRegister(m.jobs, m.offers, m.delays, m.starts, m.ends, m.crashes, m.examined, m.completion, m.suspects, m.trials, m.suspectAge, m.adviceCalls, m.advisedWorkers, m.adviceWaits,
		m.rejectedRecords, m.omittedCheckpoints, m.stateBytes, m.delayedOccurrences, m.fullStartQueues)
	return m
}

func (m *Metrics) jobAccepted() {
	if m != nil {
		m.jobs.WithLabelValues("accepted").Inc()
	}
}

func (m *Metrics) jobRejected(reason string) {
	if m != nil {
		m.jobs.WithLabelValues("rejected_" + reason).Inc()
	}
}

func (m *Metrics) submissionUnconfirmed(reason string) {
	if m != nil {
		m.jobs.WithLabelValues("unconfirmed_" + reason).Inc()
	}
}

// placedInOrder counts a submission by its group in the order by cost.
func (m *Metrics) placedInOrder(group string) {
	if m != nil {
		m.offers.WithLabelValues(group).Inc()
	}
}

// jobDelayed counts a job that gives way to others.
func (m *Metrics) jobDelayed(cause string) {
	if m != nil {
		m.delays.WithLabelValues(cause).Inc()
	}
}

func (m *Metrics) jobCompleted(took time.Duration) {
	if m != nil {
		m.jobs.WithLabelValues("completed").Inc()
		m.completion.Observe(took.Seconds())
	}
}

// jobFailed counts a failed job by its cause, failedByAttempts or failedByCrashes.
func (m *Metrics) jobFailed(cause string) {
	if m != nil {
		m.jobs.WithLabelValues("failed_" + cause).Inc()
	}
}

// startResult counts the outcome of a start order; kind is empty if it succeeded.
func (m *Metrics) startResult(kind infra.ErrorKind) {
	if m != nil {
		m.starts.WithLabelValues(outcomeLabel(kind)).Inc()
	}
}

// outcomeLabel returns the label of the outcome of a call; kind is empty if it succeeded.
func outcomeLabel(kind infra.ErrorKind) string {
	if kind == "" {
		return "done"
	}
	return string(kind)
}

// adviceAnswered counts a request to the advice service; kind is empty if it succeeded.
func (m *Metrics) adviceAnswered(kind infra.ErrorKind) {
	if m != nil {
		m.adviceCalls.WithLabelValues(outcomeLabel(kind)).Inc()
	}
}

// workersAdvised counts the workers in an answer of the advice service.
func (m *Metrics) workersAdvised(granted, denied int) {
	if m != nil {
		m.advisedWorkers.WithLabelValues("granted").Add(float64(granted))
		m.advisedWorkers.WithLabelValues("denied").Add(float64(denied))
	}
}

// startsAwaitAdvice records the work items for which there is room, but only on workers about which the advice service
// hasn't answered, or of which it grants none.
func (m *Metrics) startsAwaitAdvice(unanswered, denied int) {
	if m != nil {
		m.adviceWaits.WithLabelValues("unanswered").Set(float64(unanswered))
		m.adviceWaits.WithLabelValues("denied").Set(float64(denied))
	}
}

// unknownCause is the label of run ends whose cause isn't one of package infra.
const unknownCause = "unknown"

// runEnded counts the end of a run. The cause comes from a worker: it is used as a label only if it is a known one.
func (m *Metrics) runEnded(cause infra.EndCause) {
	if m == nil {
		return
	}
	label := unknownCause
	switch cause {
	case infra.EndDone, infra.EndFailed, infra.EndStopped, infra.EndLeaseExpired, infra.EndGangBroken, infra.EndGangIncomplete:
		label = string(cause)
	}
	m.ends.WithLabelValues(label).Inc()
}

// crashCounted counts a crash that was counted against a work item.
func (m *Metrics) crashCounted(onTrial bool) {
	if m != nil {
		m.crashes.WithLabelValues(strconv.FormatBool(onTrial)).Inc()
	}
}

// workersExamined counts the workers that a planning cycle considered for work items.
func (m *Metrics) workersExamined(n int64) {
	if m != nil {
		m.examined.Add(float64(n))
	}
}

// suspectsObserved records the waiting suspects, the trials in progress, and how long the oldest suspect has waited.
func (m *Metrics) suspectsObserved(waiting, trials int, longest time.Duration) {
	if m != nil {
		m.suspects.Set(float64(waiting))
		m.trials.Set(float64(trials))
		m.suspectAge.Set(longest.Seconds())
	}
}

// recordRejected counts a record that the log never accepts.
func (m *Metrics) recordRejected() {
	if m != nil {
		m.rejectedRecords.Inc()
	}
}

// checkpointOmitted counts a record without a checkpoint that is too long for it.
func (m *Metrics) checkpointOmitted() {
	if m != nil {
		m.omittedCheckpoints.Inc()
	}
}

// stateSized records the size of the state of all jobs.
func (m *Metrics) stateSized(bytes int64) {
	if m != nil {
		m.stateBytes.Set(float64(bytes))
	}
}

// startQueueFull counts a start queue that has become full.
func (m *Metrics) startQueueFull() {
	if m != nil {
		m.fullStartQueues.Inc()
	}
}

// occurrenceDelayed counts an occurrence that is due and finds no room in memory.
func (m *Metrics) occurrenceDelayed() {
	if m != nil {
		m.delayedOccurrences.Inc()
	}
}
