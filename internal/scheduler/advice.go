package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

// The policy of some queues allows only some workers to run a step. The advice service knows which: it answers for a
// list of workers, and grants a ticket for each that may run the step. Work items are placed only on workers whose ticket
// is valid. A step asks once room is found for its items, about several workers at a time, and again only about workers
// that are new or whose answer has expired.

const (
	// maxAdvisedWorkers is the number of workers in a request. The service takes a time for each of them, and the users
	// count one request for 30 workers in the time that a step needs.
	maxAdvisedWorkers = 30
	// denialTime is how long a denial holds. The policy doesn't change, so that this only bounds how often the service is
	// asked about a worker that it didn't know yet.
	denialTime = 10 * time.Second
	// rejectedTicketTime is how long a worker that has rejected its ticket isn't asked about.
	rejectedTicketTime = time.Second
	// ticketMargin is the time for which a ticket must be valid when a work item is placed: the start is on its way then.
	ticketMargin = 200 * time.Millisecond
	// minAdviceRetry is the pause of a step after a failed request. It doubles with each further failure, up to
	// maxAdviceRetry.
	minAdviceRetry = 200 * time.Millisecond
	maxAdviceRetry = 2 * time.Second
)

// AdviceRequest asks the advice service which of the workers may run a step.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string

	step *stepInstance
	// processes are the processes of Workers, in the same order.
	processes []workerProcess
}

// workerProcess is one process of a worker. number is worker.restarts: tickets end with the process.
type workerProcess struct {
	worker *worker
	number int
}

func (w *worker) process() workerProcess { return workerProcess{w, w.restarts} }

// stepAdvice is what the advice service has answered for a step.
type stepAdvice struct {
	answers map[workerProcess]adviceAnswer
	// requested is set while a request for the step is in progress.
	requested bool
	// retryAt is when the step may ask again after failed requests, and retryPause the last pause; 0 after a success.
	retryAt, retryPause time.Duration
	// denialLogged is set once it was logged that no worker is granted.
	denialLogged bool
}

// adviceAnswer is the answer for one worker; ticket is empty if the worker isn't granted.
type adviceAnswer struct {
	ticket     string
	validUntil time.Duration
}

// applyAdvicePolicy makes the items of the job start only with tickets if its queue has an advice service.
func (c *Core) applyAdvicePolicy(j *job) {
	j.needsAdvice = c.options.Advice && j.def.Queue.NeedsAdvice
	for _, step := range j.steps {
		if j.needsAdvice {
			step.needAdvice()
		}
	}
}

// adviceFor returns the answer for the worker's present process, and false if there is none that is still valid.
func (s *stepInstance) adviceFor(w *worker, now time.Duration) (adviceAnswer, bool) {
	answer, known := s.advice.answers[w.process()]
	if answer.ticket != "" {
		now += ticketMargin
	}
	return answer, known && now < answer.validUntil
}

// granted reports whether the step may start on the worker: it needs no advice, or has a valid ticket.
func (s *stepInstance) granted(w *worker, now time.Duration) bool {
	if s.advice == nil {
		return true
	}
	answer, valid := s.adviceFor(w, now)
	return valid && answer.ticket != ""
}

// requestAdvice adds a request about the workers of the pool that have room for the waiting item and about which nothing
// is known, the best ones first. Without such workers the item waits for room on the granted ones, or for new workers.
func (c *Core) requestAdvice(i *item, pool *candidatePool, now time.Duration) {
	step := i.step
	need := step.reservation()
	var unknown []*worker
	anyGranted := false
	for _, w := range slices.Concat(pool.workers, pool.probes) {
		answer, known := step.adviceFor(w, now)
		anyGranted = anyGranted || known && answer.ticket != ""
		if !known && need.Fits(w.freeCapacity()) && w.satisfies(step) {
			unknown = append(unknown, w)
		}
	}
	waiting := step.countInState(itemWaiting)
	if len(unknown) == 0 {
		if !anyGranted {
			c.startsWithoutGrant += waiting
			c.logDenied(step, len(pool.workers))
		}
		return
	}
	c.startsAwaitingAdvice += waiting
	if step.advice.requested || now < step.advice.retryAt {
		return
	}
	slices.SortStableFunc(unknown, func(a, b *worker) int { return cmp.Compare(c.score(i, a, now), c.score(i, b, now)) })
	request := AdviceRequest{Job: step.job.def.ID, Occurrence: step.occurrence, Step: step.number, step: step}
	for _, w := range unknown[:min(len(unknown), maxAdvisedWorkers)] {
		request.Workers = append(request.Workers, w.entry.ID)
		request.processes = append(request.processes, w.process())
	}
	c.adviceRequests = append(c.adviceRequests, request)
}

// logDenied logs once for a step that it waits although there is room.
func (c *Core) logDenied(step *stepInstance, workers int) {
	if step.advice.denialLogged {
		return
	}
	step.advice.denialLogged = true
	c.logger.WithFields(logrus.Fields{"event": "not_granted", "job": step.job.def.ID, "occurrence": step.occurrence, "step": step.number, "workers": workers,
		"waiting": step.countInState(itemWaiting)}).Warn("the advice service grants none of the workers with room; the work items wait for other workers")
}

// publishAdviceRequests wakes the sender of the requests that a planning cycle has found.
func (c *Core) publishAdviceRequests() {
	c.metrics.startsAwaitAdvice(c.startsAwaitingAdvice, c.startsWithoutGrant)
	if len(c.adviceRequests) > 0 {
		periodic.Wake(c.adviceWake)
	}
}

// AdviceWakeups returns a channel that receives a value when NextAdviceRequest may return a request.
func (c *Core) AdviceWakeups() <-chan struct{} { return c.adviceWake }

// NextAdviceRequest returns the most urgent request to the advice service, and false if there is none. ApplyAdvice must
// be called with its result.
func (c *Core) NextAdviceRequest() (AdviceRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.adviceRequests) == 0 {
		return AdviceRequest{}, false
	}
	request := c.adviceRequests[0]
	c.adviceRequests = c.adviceRequests[1:]
	request.step.advice.requested = true
	if len(c.adviceRequests) > 0 {
		periodic.Wake(c.adviceWake)
	}
	return request, true
}

// ApplyAdvice applies the response to a request that was sent at sentAt: the tickets by worker ID, and how long they are
// valid.
func (c *Core) ApplyAdvice(request AdviceRequest, tickets map[string]string, validFor, sentAt time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, advice := c.clock(), request.step.advice
	advice.requested = false
	c.metrics.adviceAnswered(infra.KindOf(err))
	if err != nil {
		advice.retryPause = min(max(2*advice.retryPause, minAdviceRetry), maxAdviceRetry)
		advice.retryAt = now + advice.retryPause
		return
	}
	advice.retryAt, advice.retryPause = 0, 0
	for _, process := range request.processes {
		answer := adviceAnswer{ticket: tickets[process.worker.entry.ID], validUntil: sentAt + validFor}
		if answer.ticket == "" {
			answer.validUntil = now + denialTime
		}
		advice.answers[process] = answer
	}
	c.metrics.workersAdvised(len(tickets), len(request.Workers)-len(tickets))
	c.wakeUp()
}

// rejectTicket notes that the worker has rejected the ticket of the item's start, or that it wants one.
func (c *Core) rejectTicket(i *item, w *worker, now time.Duration) {
	if !c.options.Advice {
		w.pauseUntil(now + refusedStartPause)
		return
	}
	// The operators may have changed the policy of the queue since the job was accepted.
	i.step.job.needsAdvice = true
	i.step.needAdvice()
	i.step.advice.answers[w.process()] = adviceAnswer{validUntil: now + rejectedTicketTime}
}

// needAdvice makes the items of the step start only with a ticket.
func (s *stepInstance) needAdvice() {
	if s.advice == nil {
		s.advice = &stepAdvice{answers: map[workerProcess]adviceAnswer{}}
	}
}
