package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// recordOrders returns the orders that the schedulers of a simulated fleet send in a scenario, with their times.
func recordOrders(t *testing.T, seed uint64, scenario func(s *sim)) []string {
	s := newSim(t, seed, 12)
	var sent []string
	s.onOrder = func(order *Order) {
		sent = append(sent, fmt.Sprintf("%s: kind %d, %s run %d on %s", s.now, order.Kind, order.Item, order.Run, order.Worker.ID))
	}
	scenario(s)
	return sent
}

// Guards against plans that depend on the order of a map: with the same events, another placement, another item given up
// after a crash, or another order of orders. A failure of a simulated fleet could then not be repeated by its seed.
func TestPlansDontDependOnTheOrderOfMaps(t *testing.T) {
	for _, seed := range []uint64{1, 5, 18, 138, 486} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			scenario := func(s *sim) {
				o := newCrashObserver(s)
				s.lostResponseShare, s.delayedOrderShare, s.failedRunShare = 0.05, 0.1, 0.05
				s.advance(time.Second)
				s.submit(s.lastingJob(1))
				for n := range 48 {
					job := s.wideJob(n)
					if n%5 == s.rng.IntN(5) {
						o.submitDeadly(job)
					} else {
						s.submit(job)
					}
					if n == 24 {
						s.leader().ended = true
						s.takeOver()
					}
					o.run(250 * time.Millisecond)
				}
			}
			first := recordOrders(t, seed, scenario)
			for range 2 {
				assert.DeepEqual(t, recordOrders(t, seed, scenario), first)
			}
		})
	}
}
