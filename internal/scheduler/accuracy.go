package scheduler

import (
	"sync"
	"time"
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/prediction"
	"turmericyoke/internal/work"
)

// How predictions come true is measured for each job, whichever way run times are predicted, so that the two ways can be
// compared.
const (
	// bandLow and bandHigh are the quantiles of the run times of a job's steps between which its band reaches.
	bandLow, bandHigh = 0.1, 0.9
	// waitLow and waitHigh are the quantiles of the ratio of actual to predicted waits by which the band is widened.
	// They are further out than those of run times, since jobs that are submitted later may be placed first.
	waitLow, waitHigh = 0.05, 0.95
	// waitResolution is added to both waits of a ratio: the time that the start of a job takes without any work ahead.
	waitResolution = 100 * time.Millisecond
	// maxKindLabels is the number of kinds with their own metrics, and otherKinds the label of all others. Callers choose the
	// kinds.
	maxKindLabels = 40
	otherKinds    = "other"
	// maxKindLabelBytes is the length of the longest kind with its own metrics. Names of images are shorter.
	maxKindLabelBytes = 200
)

// forecast is what was predicted for a job when it was accepted. Times count from then.
type forecast struct {
	// made is set for jobs with a forecast: those that are neither lasting nor recurring, in pools of which the workers
	// are known.
	made bool
	wait time.Duration
	// from and to are the band in which the job is expected to end.
	from, to time.Duration
}

// forecastFor returns the forecast of a job for which wait is predicted, and whose critical path is path.
func (c *Core) forecastFor(def *work.Job, path, wait time.Duration) forecast {
	overhead := time.Duration(len(def.Steps)) * stepOverhead
	f := forecast{made: true, wait: wait}
	if c.runTimes == nil {
		f.from, f.to = wait+time.Duration(minRunTimeRatio*float64(path)), wait+time.Duration(maxRunTimeRatio*float64(path))+overhead
		return f
	}
	quantilePath := func(q float64) time.Duration {
		return longestChain(def, func(step int) time.Duration { return c.runTimes.stepQuantile(def, &def.Steps[step], q) })
	}
	ratios := c.runTimes.waitRatiosOf(def.Queue.Pool)
	bound := func(q float64) time.Duration {
		return max(0, time.Duration(ratios.Quantile(q)*float64(wait+waitResolution))-waitResolution)
	}
	f.from, f.to = bound(waitLow)+quantilePath(bandLow), bound(waitHigh)+quantilePath(bandHigh)+overhead
	return f
}

// waitRatiosOf returns the ratios of actual to predicted waits in the pool.
func (m *runTimeModel) waitRatiosOf(pool string) *prediction.Ratios {
	if m.waitRatios[pool] == nil {
		m.waitRatios[pool] = prediction.NewRatios()
	}
	return m.waitRatios[pool]
}

// fields returns the log fields of the forecast.
func (f *forecast) fields() logrus.Fields {
	if !f.made {
		return nil
	}
	return logrus.Fields{"wait_ms": f.wait.Milliseconds(), "band_from_ms": f.from.Milliseconds(), "band_to_ms": f.to.Milliseconds()}
}

// observeFirstStart compares the predicted wait of a job with the actual one when the start of its first work item is
// ordered.
func (c *Core) observeFirstStart(j *job, now time.Duration) {
	if !j.forecast.made || j.started {
		return
	}
	wait := now - j.acceptedAt
	if m := c.runTimes; m != nil {
		m.waitRatiosOf(j.def.Queue.Pool).Add((wait + waitResolution).Seconds(), (j.forecast.wait + waitResolution).Seconds())
	}
	c.metrics.firstStart(j, wait)
}

// observeBand compares the time of a job that has been completed with its band, and returns the log field of the result.
func (c *Core) observeBand(j *job, now time.Duration) logrus.Fields {
	if !j.forecast.made {
		return nil
	}
	position := j.forecast.position(now - j.acceptedAt)
	c.metrics.jobInBand(j, position)
	return logrus.Fields{"band": position}
}

// position returns where the time that a job took is in relation to its band.
func (f *forecast) position(took time.Duration) string {
	switch {
	case took < f.from:
		return "below"
	case took > f.to:
		return "above"
	}
	return "within"
}

// accuracyMetrics tell how predictions come true, by kind of work.
type accuracyMetrics struct {
	predictedWait, wait *prometheus.HistogramVec
	jobs                *prometheus.CounterVec
	// mu protects kinds: the cores of two terms may share the metrics.
	mu    *sync.Mutex
	kinds map[string]bool
}

func newAccuracyMetrics(registry prometheus.Registerer) accuracyMetrics {
	waitBuckets := []float64{.05, .1, .25, .5, 1, 1.5, 2, 3, 4, 6, 10}
	m := accuracyMetrics{
		predictedWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "scheduler_predicted_wait_seconds", Buckets: waitBuckets,
			Help: "Predicted time from acceptance to the first start of a job, of started jobs by kind of work."}, []string{"kind"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "scheduler_first_start_wait_seconds", Buckets: waitBuckets,
			Help: "Actual time from acceptance to the first start of a job by kind of work."}, []string{"kind"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "scheduler_jobs_by_band_total",
			Help: "Completed jobs by kind of work and by position of the time that they took: below, within or above the predicted band."}, []string{"kind", "position"}),
		mu: &sync.Mutex{}, kinds: map[string]bool{},
	}
	registry.MustRegister(m.predictedWait, m.wait, m.jobs)
	return m
}

// label returns the label of the kind of the job's first step.
func (m *accuracyMetrics) label(j *job) string {
	kind := j.def.Queue.Name
	if len(j.def.Steps) > 0 {
		kind = kindOf(j.def, &j.def.Steps[0])
	}
	if len(kind) > maxKindLabelBytes || !utf8.ValidString(kind) {
		return otherKinds
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.kinds[kind] {
		if len(m.kinds) >= maxKindLabels {
			return otherKinds
		}
		m.kinds[kind] = true
	}
	return kind
}

// firstStart records the predicted and the actual wait of a job.
func (m *Metrics) firstStart(j *job, wait time.Duration) {
	if m != nil {
		label := m.accuracy.label(j)
		m.accuracy.predictedWait.WithLabelValues(label).Observe(j.forecast.wait.Seconds())
		m.accuracy.wait.WithLabelValues(label).Observe(wait.Seconds())
	}
}

// jobInBand records the position of a completed job in relation to its band.
func (m *Metrics) jobInBand(j *job, position string) {
	if m != nil {
		m.accuracy.jobs.WithLabelValues(m.accuracy.label(j), position).Inc()
	}
}
