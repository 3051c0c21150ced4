package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/overload"
	"turmericyoke/internal/policy"
)

// playOverload replays the overload of the factor with three seeds.
func playOverload(factor float64, set func(r *overloadReplay)) *overloadResult {
	result := &overloadResult{}
	for seed := range uint64(3) {
		r := newOverloadReplay(seed+1, factor)
		set(r)
		r.play(result)
	}
	return result
}

// Guards, at two to five times the capacity, against an order by cost that serves fewer jobs than least slack first or smallest
// first, against one that leaves a customer or a zone worse off than the order by slack, and against
// one that starves large jobs.
func TestCostOrderInReplayedOverload(t *testing.T) {
	for _, factor := range []float64{2, 5} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			t.Parallel()
			cost, current := playOverload(factor, (*overloadReplay).byCost), playOverload(factor, func(*overloadReplay) {})
			for name, set := range map[string]func(r *overloadReplay){"least slack": (*overloadReplay).leastSlack, "smallest": (*overloadReplay).smallest} {
				other, sameAdmission := playOverload(factor, set), playOverload(factor, func(r *overloadReplay) {
					r.core.options.Policy.Overload.Order = policy.OrderByCost
					set(r)
				})
				t.Logf("on time, %s: %v, with admission by cost %v, order by cost %v, by slack %v of %v", name, other.all.served, sameAdmission.all.served, cost.all.served, current.all.served, cost.all.offered)
				assert.Assert(t, cost.all.served >= other.all.served, name)
				// At twice the capacity, smallest first with the same admission serves as many within 1%: more with some seeds,
				// fewer with others. It starves large jobs.
				assert.Assert(t, factor < 3 || cost.all.served >= sameAdmission.all.served, name)
			}
			t.Logf("worst customer %.3f (by slack %.3f), worst zone %.3f (%.3f), large jobs %.2f (%.2f)", cost.worstCustomer(), current.worstCustomer(), cost.worstZone(), current.worstZone(), cost.leastServedLarge(), current.leastServedLarge())
			assert.Assert(t, cost.worstCustomer() >= current.worstCustomer())
			assert.Assert(t, cost.worstZone() >= current.worstZone())
			assert.Assert(t, cost.leastServedLarge() >= 0.5)
		})
	}
}

// BenchmarkRankingOf4000Jobs measures the ranking of 4,000 waiting jobs of one pool with 1,100 workers, as each planning cycle
// does it: by slack, by cost with a kept selection, and by cost with a new selection, which is due every costOrderInterval.
func BenchmarkRankingOf4000Jobs(b *testing.B) {
	for _, bench := range []struct {
		name   string
		byCost bool
		step   time.Duration
	}{{"slack", false, 5 * time.Millisecond}, {"cost/kept", true, 0}, {"cost/selection", true, costOrderInterval}, {"cost/200-a-second", true, 5 * time.Millisecond}} {
		b.Run(bench.name, func(b *testing.B) {
			r := newOverloadReplay(1, 5)
			if bench.byCost {
				r.byCost()
			}
			for n := range 1100 - overloadWorkers {
				r.addIdleWorker(n)
			}
			for len(r.core.activeJobs) < maxActiveJobs {
				r.now += time.Millisecond
				r.offer()
			}
			for j := range r.core.activeJobs {
				j.durable = true
			}
			r.core.rankWaiting(r.now)
			b.ReportAllocs()
			for b.Loop() {
				r.now += bench.step
				r.core.rankWaiting(r.now)
			}
			b.ReportMetric(float64(len(r.core.waiting["vaal"].ranked)), "jobs")
		})
	}
}

// Guards against rejected and delayed jobs of which no line says why and whom they gave way to: five times the capacity for
// five seconds.
func TestDecisionsUnderOverloadAreExplained(t *testing.T) {
	r := newOverloadReplay(1, 5)
	r.byCost()
	logger, lines := test.NewNullLogger()
	r.core.logger = logrus.NewEntry(logger)
	for end := r.now + 5*time.Second; r.now < end; r.now += overloadTick {
		r.offer()
		r.returnRejected()
		r.endRuns()
		r.commit()
	}
	causes := map[any]int{}
	for _, line := range lines.AllEntries() {
		switch line.Data["event"] {
		case "job_rejected":
			causes[line.Data["reason"]]++
		case "job_delayed":
			causes[line.Data["cause"]]++
		default:
			continue
		}
		assert.Assert(t, line.Data["gives_way_to"] != "" || line.Data["jobs_ahead"] == 0, "%v", line.Data)
	}
	assert.Assert(t, causes[overload.CauseBeyondShare] > 0 && causes[overload.CauseOverload] > 0 && causes["late"] > 0, "%v", causes)
}
