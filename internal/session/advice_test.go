package session

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

const (
	advisedWorkerCount = 6
	// ticketLife is how long a ticket of advisedFleet is valid, and adviceTime how long it takes to answer for each worker.
	ticketLife = 3 * time.Second
	adviceTime = time.Millisecond
)

// advisedFleet is a fleet whose workers take a start only with a valid ticket, the directory that lists them, and the
// advice service that grants about half of the workers to each step.
type advisedFleet struct {
	infra.Workers
	// denyAll makes the service grant nothing, and failing makes it unavailable.
	denyAll, failing bool

	mu sync.Mutex
	// calls counts the requests to the service, and asked how often it was asked about a worker for a step.
	calls int
	asked map[string]int
	// issuedAt holds when the newest ticket was issued, by ticket.
	issuedAt map[string]time.Time
	// started holds the runs by worker, and rejected the starts without a valid ticket.
	started  map[string]map[work.ItemID]int64
	rejected []string
}

func newAdvisedFleet() *advisedFleet {
	return &advisedFleet{asked: map[string]int{}, issuedAt: map[string]time.Time{}, started: map[string]map[work.ItemID]int64{}}
}

func ticketOf(job string, occurrence, step int, worker string) string {
	return fmt.Sprintf("%s.%d.%d/%s", job, occurrence, step, worker)
}

func (f *advisedFleet) allows(ticket string) bool {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, ticket)
	return !f.denyAll && hash.Sum32()/7919%2 == 0
}

func (f *advisedFleet) RequestTickets(_ context.Context, job string, occurrence, step int, workers []string) (map[string]string, time.Duration, error) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	time.Sleep(time.Duration(len(workers)) * adviceTime)
	if f.failing {
		return nil, 0, &infra.Error{Kind: infra.Refused, Op: "advise"}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	tickets := map[string]string{}
	for _, worker := range workers {
		ticket := ticketOf(job, occurrence, step, worker)
		f.asked[ticket]++
		if f.allows(ticket) {
			tickets[worker], f.issuedAt[ticket] = ticket, time.Now()
		}
	}
	return tickets, ticketLife, nil
}

func (f *advisedFleet) Start(_ context.Context, worker infra.WorkerRef, order infra.StartOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ticket := ticketOf(order.Item.Job, order.Item.Occurrence, order.Item.Step, worker.ID)
	issuedAt, known := f.issuedAt[ticket]
	if advised := order.Item.Job != "plain"; advised && (order.Ticket != ticket || !known || time.Since(issuedAt) > ticketLife) {
		f.rejected = append(f.rejected, order.Item.String()+" on "+worker.ID)
		return 0, &infra.Error{Kind: infra.NotGranted, Op: "start"}
	}
	if f.started[worker.ID] == nil {
		f.started[worker.ID] = map[work.ItemID]int64{}
	}
	f.started[worker.ID][order.Item] = order.Run
	return 0, nil
}

func (f *advisedFleet) Stop(context.Context, infra.WorkerRef, work.ItemID, int64, int64) (int64, error) {
	return 0, nil
}

func (f *advisedFleet) RenewLease(_ context.Context, worker infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	time.Sleep(max(request.Wait, time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	report := infra.WorkerReport{ClockMs: time.Now().UnixMilli()}
	for item, run := range f.started[worker.ID] {
		report.Running = append(report.Running, infra.ActiveRun{Item: item, Run: run})
	}
	return report, nil
}

func (f *advisedFleet) Poll(context.Context) (infra.WorkerUpdate, error) {
	update := infra.WorkerUpdate{Full: true}
	for n := range advisedWorkerCount {
		update.Entries = append(update.Entries, infra.WorkerEntry{ID: fmt.Sprint("w-", n), Pool: "p", Zone: "z", Address: "a:1", Capacity: work.Resources{CPUMilli: 64000}})
	}
	return update, nil
}

// startedItems returns the number of work items that run.
func (f *advisedFleet) startedItems() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, runs := range f.started {
		n += len(runs)
	}
	return n
}

// schedule runs a term for the given time, in which the jobs are submitted to a queue with advice, and the job with the
// ID "plain" to one without.
func (f *advisedFleet) schedule(t *testing.T, jobs []string, items int, duration time.Duration) {
	begin := time.Now()
	advised, plain := work.Queue{Name: "advised", Pool: "p", NeedsAdvice: true}, work.Queue{Name: "plain", Pool: "p"}
	config := newTestConfig(f, begin, advised, plain)
	config.Advice = f
	config.AttachCore = func(core *scheduler.Core) {
		for _, id := range jobs {
			queue := advised
			if id == "plain" {
				queue = plain
			}
			core.Submit(&work.Job{ID: id, Queue: queue, Steps: []work.Step{{Count: items, Need: work.Resources{CPUMilli: 3500}, Estimate: time.Minute}}}, make(chan scheduler.Outcome, 1))
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	Run(ctx, config, 1)
}

// Guards against work items that never start on a queue with advice, since the scheduler places them again and again on a
// worker that the service doesn't grant (incident 0009).
func TestItemsStartOnTheWorkersThatTheAdviceServiceGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newAdvisedFleet()
		var jobs []string
		for n := range 10 {
			jobs = append(jobs, fmt.Sprint("job-", n))
		}
		const items = 6
		fleet.schedule(t, jobs, items, 10*time.Second)
		assert.Equal(t, fleet.startedItems(), len(jobs)*items, "not all work items were started")
		assert.Equal(t, len(fleet.rejected), 0, "starts without a valid ticket: %v", fleet.rejected)
		for ticket, times := range fleet.asked {
			assert.Assert(t, times <= 1, "the service was asked %d times about %s", times, ticket)
		}
	})
}

// Guards against a job that asks the advice service thousands of times because no worker is granted to it.
func TestStepWithoutGrantedWorkersAsksAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newAdvisedFleet()
		fleet.denyAll = true
		const duration = time.Minute
		fleet.schedule(t, []string{"job"}, 6, duration)
		assert.Equal(t, fleet.startedItems(), 0)
		assert.Assert(t, fleet.calls >= 2 && fleet.calls <= int(duration/time.Second), "%d calls in %s", fleet.calls, duration)
	})
}

// Guards against an advice service that is away and is called without a pause, or that holds up the queues without advice.
func TestUnavailableAdviceServiceDelaysOnlyItsOwnQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newAdvisedFleet()
		fleet.failing = true
		const duration, items = 20 * time.Second, 6
		fleet.schedule(t, []string{"job-1", "job-2", "plain"}, items, duration)
		assert.Equal(t, fleet.startedItems(), items, "the job without advice wasn't started")
		assert.Assert(t, fleet.calls >= 3 && fleet.calls <= 10*int(duration/time.Second), "%d calls in %s", fleet.calls, duration)
	})
}
