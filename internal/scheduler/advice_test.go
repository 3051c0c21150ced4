package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// testTicketLife is how long the tickets of answerAdvice are valid.
const testTicketLife = 3 * time.Second

// newAdvisedCore returns a core with an advice service and the given number of workers of 8 cores.
func newAdvisedCore(workers int) *testCore {
	tc := newTestCore(1)
	tc.options.Advice = true
	for n := range workers {
		tc.addWorker(n, 8)
	}
	return tc
}

// submitAdvised submits a job of one step to a queue with advice, and commits until its items are ready.
func (tc *testCore) submitAdvised(step work.Step) {
	queue := tc.config.Queues[0]
	queue.NeedsAdvice = true
	tc.Submit(&work.Job{ID: "advised", Queue: queue, Steps: []work.Step{step}}, make(chan Outcome, 1))
	tc.commit()
}

// answerAdvice answers all requests that are due, and grants the given workers. It returns the workers that the requests
// named.
func (tc *testCore) answerAdvice(granted ...string) []string {
	var asked []string
	for request, due := tc.NextAdviceRequest(); due; request, due = tc.NextAdviceRequest() {
		tickets := map[string]string{}
		for _, id := range request.Workers {
			if slices.Contains(granted, id) {
				tickets[id] = "ticket-" + id
			}
		}
		asked = append(asked, request.Workers...)
		tc.ApplyAdvice(request, tickets, testTicketLife, tc.now, nil)
	}
	slices.Sort(asked)
	return asked
}

// startedOn returns the workers of the starts among the orders, sorted.
func startedOn(orders []Order) []string {
	var ids []string
	for _, order := range orders {
		if order.Kind == OrderStart {
			ids = append(ids, order.Worker.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against a step that doesn't start on a worker that came after the advice service was asked, and against
// requests about workers of which the answer is known.
func TestNewWorkersAreAskedAbout(t *testing.T) {
	tc := newAdvisedCore(2)
	tc.submitAdvised(work.Step{Count: 1, Need: work.Resources{CPUMilli: 8000}})
	assert.DeepEqual(t, tc.answerAdvice(), []string{"worker-0", "worker-1"})
	tc.now += time.Second
	tc.commit()
	assert.Equal(t, len(tc.answerAdvice()), 0, "workers were asked about again")
	tc.addWorker(2, 8)
	tc.commit()
	assert.DeepEqual(t, tc.answerAdvice("worker-2"), []string{"worker-2"})
	assert.DeepEqual(t, startedOn(tc.commit()), []string{"worker-2"})
}

// Guards against a ticket that is used for the next process of a worker that has restarted under its ID: it ends with the
// process.
func TestTicketsEndWithTheProcessOfTheWorker(t *testing.T) {
	tc := newAdvisedCore(1)
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1000, StartUnixMs: 1}, tc.now)
	tc.submitAdvised(work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}})
	assert.DeepEqual(t, tc.answerAdvice("worker-0"), []string{"worker-0"})
	tc.now += time.Millisecond
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1, StartUnixMs: 2}, tc.now)
	tc.now += time.Millisecond
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 2, StartUnixMs: 2}, tc.now)
	assert.Equal(t, len(startedOn(tc.commit())), 0, "the ticket of the earlier process was used")
	assert.DeepEqual(t, tc.answerAdvice("worker-0"), []string{"worker-0"})
	assert.DeepEqual(t, startedOn(tc.commit()), []string{"worker-0"})
}

// Guards against a start that is sent with a ticket that expired while it waited for its turn.
func TestExpiredTicketIsNotSent(t *testing.T) {
	tc := newAdvisedCore(1)
	tc.submitAdvised(work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}})
	tc.answerAdvice("worker-0")
	orders := tc.collectOrders()
	assert.DeepEqual(t, startedOn(orders), []string{"worker-0"})
	tc.now += testTicketLife
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 5000}, tc.now)
	order := &orders[0]
	assert.Equal(t, tc.LeaseForStart(order, tc.now), int64(0), "the start was sent with an expired ticket")
	tc.StartNotSent(order)
	tc.commit()
	assert.DeepEqual(t, tc.answerAdvice("worker-0"), []string{"worker-0"})
	assert.DeepEqual(t, startedOn(tc.commit()), []string{"worker-0"})
}

// Guards against starts that are sent again and again to a worker that rejects its ticket, and against work of other queues
// that is kept from that worker.
func TestRejectedTicketIsNotSentAgain(t *testing.T) {
	tc := newAdvisedCore(1)
	tc.submitAdvised(work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}})
	tc.answerAdvice("worker-0")
	orders := tc.commit()
	assert.Equal(t, len(orders), 1)
	tc.ApplyStartResult(&orders[0], &infra.Error{Kind: infra.NotGranted, Op: "start"}, false)
	assert.Equal(t, len(startedOn(tc.commit())), 0)
	assert.Equal(t, len(tc.answerAdvice("worker-0")), 0, "the worker was asked about at once")
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: "plain", Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1000}}}}, waiter)
	assert.DeepEqual(t, startedOn(tc.commit()), []string{"worker-0"})
	tc.now += rejectedTicketTime
	tc.commit()
	assert.DeepEqual(t, tc.answerAdvice("worker-0"), []string{"worker-0"})
	assert.DeepEqual(t, startedOn(tc.commit()), []string{"worker-0"})
}

// Guards against a gang that starts in part because only some of the workers are granted.
func TestGangStartsOnGrantedWorkersOrNotAtAll(t *testing.T) {
	tc := newAdvisedCore(3)
	tc.submitAdvised(work.Step{Count: 2, Need: work.Resources{CPUMilli: 8000}, Gang: true})
	assert.DeepEqual(t, tc.answerAdvice("worker-1"), []string{"worker-0", "worker-1", "worker-2"})
	assert.Equal(t, len(startedOn(tc.commit())), 0, "a part of the gang was started")
	tc.addWorker(3, 8)
	tc.commit()
	assert.DeepEqual(t, tc.answerAdvice("worker-1", "worker-3"), []string{"worker-3"})
	assert.DeepEqual(t, startedOn(tc.commit()), []string{"worker-1", "worker-3"})
}

// Guards against a request that names more workers than the service takes, and against workers beyond the first request
// that are never asked about.
func TestAdviceRequestsAreBounded(t *testing.T) {
	const workers = 2*maxAdvisedWorkers + 5
	tc := newAdvisedCore(workers)
	tc.submitAdvised(work.Step{Count: 1, Need: work.Resources{CPUMilli: 8000}})
	for _, want := range []int{maxAdvisedWorkers, maxAdvisedWorkers, workers - 2*maxAdvisedWorkers, 0} {
		assert.Equal(t, len(tc.answerAdvice()), want)
		tc.commit()
	}
}
