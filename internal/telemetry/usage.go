package telemetry

import (
	"context"
	"maps"
	"runtime/metrics"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/periodic"
)

const (
	// usageLogInterval is the interval at which Usage.Log logs.
	usageLogInterval = 5 * time.Second
	// latencyQuantile is the share of the waits of goroutines for a processor that aren't above the logged one.
	latencyQuantile = 0.99
	// Metrics of the runtime: the processor time of garbage collection, and the waits of goroutines that are ready to run.
	garbageMetric, latencyMetric = "/cpu/classes/gc/total:cpu-seconds", "/sched/latencies:seconds"
)

// Usage measures where the time of a process goes. A nil Usage records nothing.
type Usage struct {
	mu     sync.Mutex
	stages map[string]*Stage

	seconds, passes *prometheus.Desc
}

// NewUsage creates a Usage and registers its metrics.
func NewUsage(registry prometheus.Registerer) *Usage {
	u := &Usage{stages: map[string]*Stage{},
		seconds: prometheus.NewDesc("process_stage_seconds_total", "Time that passed in a stage of the process, including waits for locks and for a processor.", []string{"stage"}, nil),
		passes:  prometheus.NewDesc("process_stage_passes_total", "Passes through a stage of the process.", []string{"stage"}, nil)}
	registry.MustRegister(u)
	return u
}

// Stage is the work of one kind that a process does. A nil Stage records nothing.
type Stage struct{ passes, elapsed atomic.Int64 }

// Stage returns the stage with the name, and adds it if there is none.
func (u *Usage) Stage(name string) *Stage {
	if u == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	stage := u.stages[name]
	if stage == nil {
		stage = &Stage{}
		u.stages[name] = stage
	}
	return stage
}

// Since counts a pass through the stage that began at the given time.
func (s *Stage) Since(begin time.Time) {
	if s != nil {
		s.passes.Add(1)
		s.elapsed.Add(int64(time.Since(begin)))
	}
}

// Passes returns the number of passes through the stage.
func (s *Stage) Passes() int64 { return s.passes.Load() }

// Describe implements prometheus.Collector.
func (u *Usage) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- u.seconds
	descriptions <- u.passes
}

// Collect implements prometheus.Collector.
func (u *Usage) Collect(collected chan<- prometheus.Metric) {
	for name, stage := range u.snapshot() {
		collected <- prometheus.MustNewConstMetric(u.seconds, prometheus.CounterValue, stage.elapsed.Seconds(), name)
		collected <- prometheus.MustNewConstMetric(u.passes, prometheus.CounterValue, float64(stage.passes), name)
	}
}

// stageTotals are the totals of a stage.
type stageTotals struct {
	passes  int64
	elapsed time.Duration
}

func (u *Usage) snapshot() map[string]stageTotals {
	u.mu.Lock()
	defer u.mu.Unlock()
	totals := make(map[string]stageTotals, len(u.stages))
	for name, stage := range u.stages {
		totals[name] = stageTotals{stage.passes.Load(), time.Duration(stage.elapsed.Load())}
	}
	return totals
}

// Log logs every usageLogInterval, until ctx ends, the processor time of the process, that of garbage collection, how
// long goroutines waited for a processor, and the passes and time of each stage.
func (u *Usage) Log(ctx context.Context, logger *logrus.Entry) {
	if u == nil {
		return
	}
	before, stagesBefore := readProcessor(), u.snapshot()
	for periodic.Pause(ctx, usageLogInterval) == nil {
		now, stages := readProcessor(), u.snapshot()
		fields := logrus.Fields{"event": "process_usage", "cpu_ms": (now.used - before.used).Milliseconds(), "gc_cpu_ms": (now.garbage - before.garbage).Milliseconds(),
			"p99_ready_us": quantile(before.latencies, now.latencies, latencyQuantile).Microseconds()}
		for _, name := range slices.Sorted(maps.Keys(stages)) {
			fields[name+"_passes"] = stages[name].passes - stagesBefore[name].passes
			fields[name+"_ms"] = (stages[name].elapsed - stagesBefore[name].elapsed).Milliseconds()
		}
		logger.WithFields(fields).Info("processor time of the process, and time by stage, since the last such line")
		before, stagesBefore = now, stages
	}
}

// processorReading holds totals since the start of the process.
type processorReading struct {
	// used is the processor time of the process, and garbage the runtime's estimate of what garbage collection took.
	used, garbage time.Duration
	// latencies are the waits of goroutines that were ready to run.
	latencies *metrics.Float64Histogram
}

func readProcessor() processorReading {
	var reading processorReading
	var usage syscall.Rusage
	// The call fails only for invalid arguments.
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		reading.used = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	samples := []metrics.Sample{{Name: garbageMetric}, {Name: latencyMetric}}
	metrics.Read(samples)
	if samples[0].Value.Kind() == metrics.KindFloat64 {
		reading.garbage = time.Duration(samples[0].Value.Float64() * float64(time.Second))
	}
	if samples[1].Value.Kind() == metrics.KindFloat64Histogram {
		reading.latencies = samples[1].Value.Float64Histogram()
	}
	return reading
}

// quantile returns the upper bound of the bucket with the quantile of the values that were added to the histogram between
// two readings, or 0 if there are none.
func quantile(before, now *metrics.Float64Histogram, share float64) time.Duration {
	if before == nil || now == nil || len(before.Counts) != len(now.Counts) {
		return 0
	}
	total := uint64(0)
	for n := range now.Counts {
		total += now.Counts[n] - before.Counts[n]
	}
	if total == 0 {
		return 0
	}
	reached := uint64(0)
	for n := range now.Counts {
		if reached += now.Counts[n] - before.Counts[n]; float64(reached) >= share*float64(total) {
			// The last bucket has no upper bound.
			return time.Duration(now.Buckets[min(n+1, len(now.Buckets)-2)] * float64(time.Second))
		}
	}
	return 0
}
