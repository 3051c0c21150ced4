package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against requests without an outcome, and against second outcomes, for which the core would wait with its lock held:
// the channels of its callers take one.
func TestEachRequestGetsOneOutcome(t *testing.T) {
	for seed := range uint64(300) {
		checkOutcomes(t, seed)
	}
}

func checkOutcomes(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	tc := newTestCore(1)
	tc.options.EndedJobRetention = 3 * time.Second
	tc.addWorker(0, 8)
	type request struct {
		name     string
		outcomes chan Outcome
	}
	var requests []request
	waiter := func(name string) chan<- Outcome {
		requests = append(requests, request{name, make(chan Outcome, 8)})
		return requests[len(requests)-1].outcomes
	}
	var inProgress *Batch
	finish := func() {
		var rejected []infra.Record
		for _, record := range inProgress.Records {
			// The log refuses records because of their sizes, and never a deletion.
			if record.Value != nil && random.IntN(12) == 0 {
				rejected = append(rejected, record)
			}
		}
		tc.Committed(inProgress, rejected...)
		inProgress = nil
	}
	for step := range 200 {
		id := fmt.Sprint("job-", random.IntN(5))
		switch random.IntN(9) {
		case 0, 1:
			job := &work.Job{ID: id, Queue: tc.config.Queues[0], Customer: "big", Steps: []work.Step{{Count: 1 + random.IntN(2)*80, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Duration(1+random.IntN(100)) * time.Second}}}
			tc.Submit(job, waiter(fmt.Sprintf("submission of %s in step %d", id, step)))
		case 2, 3:
			tc.Cancel(id, "big", waiter(fmt.Sprintf("cancellation of %s in step %d", id, step)))
		case 4:
			tc.QueryState(id, waiter(fmt.Sprintf("query of %s in step %d", id, step)))
			tc.QueryPending("review", waiter(fmt.Sprintf("count in step %d", step)))
		case 5:
			tc.now += time.Duration(random.IntN(500)) * time.Millisecond
		case 6:
			tc.ObserveDelay(time.Duration(random.IntN(600)) * time.Millisecond)
			tc.ExpireWaitingRequests()
		default:
			if inProgress != nil {
				finish()
				break
			}
			batch := tc.Collect()
			if len(batch.Records) == 0 && tc.AwaitsConfirmation() {
				batch.Records = []infra.Record{{Key: "term"}}
				tc.AppendStarted()
			}
			inProgress = &batch
		}
	}
	if inProgress == nil {
		inProgress = &Batch{}
	} else if random.IntN(2) == 0 {
		finish()
		inProgress = &Batch{}
	}
	tc.Abandon(inProgress)
	tc.Abandon(&Batch{})
	for _, r := range requests {
		assert.Check(t, len(r.outcomes) == 1, "seed %d: the %s got %d outcomes", seed, r.name, len(r.outcomes))
	}
}
