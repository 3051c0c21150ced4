package telemetry

import (
	"bytes"
	"context"
	"math"
	"runtime/metrics"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// Guards against a line that shows totals instead of what was added since the last line, and against stages that are
// missing from the line or the metrics.
func TestUsageIsLoggedByStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &bytes.Buffer{}
		usage := NewUsage(prometheus.NewRegistry())
		plan := usage.Stage("plan")
		record := func(passes int, elapsed time.Duration) {
			for range passes {
				begin := time.Now()
				time.Sleep(elapsed)
				plan.Since(begin)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*usageLogInterval+time.Second)
		defer cancel()
		record(1, time.Second)
		go usage.Log(ctx, NewLogger(output, "entry", "z"))
		synctest.Wait()
		record(3, 10*time.Millisecond)
		time.Sleep(usageLogInterval)
		record(1, 20*time.Millisecond)
		<-ctx.Done()
		synctest.Wait()
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		assert.Equal(t, len(lines), 2)
		for n, want := range []string{"plan_ms=30 plan_passes=3", "plan_ms=20 plan_passes=1"} {
			assert.Assert(t, strings.Contains(lines[n], want) && strings.Contains(lines[n], "event=process_usage") && strings.Contains(lines[n], "cpu_ms="), "%s", lines[n])
		}
		assert.NilError(t, testutil.CollectAndCompare(usage, strings.NewReader(`
# HELP process_stage_passes_total Passes through a stage of the process.
# TYPE process_stage_passes_total counter
process_stage_passes_total{stage="plan"} 5
`), "process_stage_passes_total"))
	})
}

// Guards against a quantile of all values instead of those since the last reading, and against an infinite one.
func TestQuantileOfNewValues(t *testing.T) {
	buckets := []float64{0, 0.001, 0.01, math.Inf(1)}
	before := &metrics.Float64Histogram{Counts: []uint64{0, 1000, 0}, Buckets: buckets}
	for want, counts := range map[time.Duration][]uint64{0: {0, 1000, 0}, time.Millisecond: {100, 1000, 0}, 10 * time.Millisecond: {50, 1050, 0}} {
		assert.Equal(t, quantile(before, &metrics.Float64Histogram{Counts: counts, Buckets: buckets}, latencyQuantile), want)
	}
	assert.Equal(t, quantile(before, &metrics.Float64Histogram{Counts: []uint64{0, 1000, 5}, Buckets: buckets}, latencyQuantile), 10*time.Millisecond)
	assert.Equal(t, quantile(nil, before, latencyQuantile), time.Duration(0))
}

// Guards against a crash of processes that measure no usage.
func TestNilUsageRecordsNothing(t *testing.T) {
	var usage *Usage
	usage.Stage("plan").Since(time.Now())
	usage.Log(t.Context(), nil)
}
