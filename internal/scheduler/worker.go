package scheduler

import (
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/work"
)

// worker is what this term knows of a worker of the fleet.
type worker struct {
	entry infra.WorkerEntry
	rack  string
	// startedUnixMs is the start time of the worker process according to the last report or list entry,
	// in Unix milliseconds; 0 if unknown.
	startedUnixMs int64
	// host is the host that last listed the worker; empty if none has.
	host string
	// listed is set while the platform lists the worker.
	listed bool
	// recordedItems is set if an earlier term had placed items on the worker.
	recordedItems bool
	// leavesAt is when the worker may leave at the earliest, if it is draining.
	leavesAt time.Duration
	// hasReported is set once the worker has reported to this term. From then on the worker
	// refuses orders of earlier terms, so that all of its runs are known.
	hasReported bool
	// ended is set once the worker process is known to have ended. Another worker may then have its
	// address.
	ended bool
	// crashCounted is set once the end of the present process has been counted. An outdated entry of the list of workers
	// may show the worker again after that.
	crashCounted bool
	// mayReturn is set for an ended worker that may restart under its ID: neither its host nor its address is known to
	// belong to another worker.
	mayReturn bool
	// restarts is the number of restarts under the same ID that this term has seen.
	restarts int
	// lateStarts are the starts without a response whose items have been released.
	lateStarts []*lateStart

	items map[*item]struct{}
	used  work.Resources
	// strayNeed is what the runs need that the last report listed although their items aren't placed on the
	// worker, and unknownRuns is the number of listed runs of which the item isn't known either.
	strayNeed   work.Resources
	unknownRuns int
	// strayItems are the items of these runs that are known.
	strayItems []*item
	// unreportedItems is the number of items that no report has listed since they were placed.
	unreportedItems int
	// lastStartJob and lastStartAt are the job and the time of the last start that was ordered.
	lastStartJob *job
	lastStartAt  time.Duration
	// trial is the trial in progress on the worker, or nil.
	trial *trial
	// trialEndedAt is when the last trial on the worker ended that had begun; 0 if there was none.
	trialEndedAt time.Duration
	// reserved workers get no starts but those of trials; wasReserved is set if the worker was reserved in the cycle
	// before.
	reserved, wasReserved bool
	// lapsedItems are the items that were released because the lease lapsed while nothing was known of the worker,
	// without those that had survived a trial.
	lapsedItems []*item
	// lastingItems is the number of lasting items on the worker, and lastingCPUMilli the processor capacity that
	// they reserve, in thousandths of a core.
	lastingItems    int
	lastingCPUMilli int64

	// clockMs is the worker's clock in its last report, and clockReadAt is when that report arrived.
	clockMs     int64
	clockReadAt time.Duration
	// leaseEnd is when every lease granted to the worker has certainly lapsed, on the scheduler's clock.
	leaseEnd time.Duration
	// appliedEnd is the highest number of a reported run end that was applied to the state; durableEnd is
	// the highest one whose effect is durable.
	appliedEnd int64
	durableEnd int64
	// ackedEnd is the highest end that the process has confirmed to have forgotten, and sentAck the acknowledgement
	// that the renewal in progress carries; 0 if it carries none.
	ackedEnd, sentAck int64
	// ackUnansweredUntil is until when an acknowledgement without a response may still be carried out.
	ackUnansweredUntil time.Duration
	// restartSeenAt is when this term last found that the worker had restarted under the same ID; 0 if it didn't.
	restartSeenAt time.Duration
	// lastReportAt is when the last report arrived, or when the worker was added if there was none.
	lastReportAt time.Duration
	// reportSentAt is when the lease renewal was sent to which the last report is the response.
	reportSentAt time.Duration
	// unansweredAt is when a call to the worker last had no response; 0 if all had.
	unansweredAt time.Duration
	// unconfirmedPause is the length of the last pause for a start that wasn't confirmed; 0 after a confirmed one.
	unconfirmedPause time.Duration
	// failedRenewals is the number of lease renewals that failed since the last report.
	failedRenewals int
	// renewalRefused is set if no connection could be opened for the last failed renewal, or the worker refused it.
	renewalRefused bool
	// livedAt is when the process was certainly alive, by the clock in its last entry of the list; 0 if none tells.
	livedAt time.Duration
	// renewalInterrupted is set if a lease renewal since the last report may or may not have reached the worker, which
	// isn't to blame.
	renewalInterrupted bool
	// pausedUntil is when the worker may get new work again. Until probeUntil a suspect may start there on trial: a start
	// that wasn't confirmed is the only reason for the pause.
	pausedUntil, probeUntil time.Duration
	// slownessPenalty is the penalty in score of a worker on which runs take longer than elsewhere; 0 if run times are
	// predicted by pool.
	slownessPenalty float64
	// lastStragglerPause is the length of the last pause for stragglers; 0 after a successful run.
	lastStragglerPause time.Duration
	// consecutiveFailures is the number of failed runs since the last successful one.
	consecutiveFailures int
	// inLostZone is set from when the worker's zone is found to be lost until the worker reports.
	inLostZone bool
	// cordoned workers get no new work because their host is about to go down or to move.
	cordoned bool
	// evacuated workers get no new work because operators requested the evacuation of their availability zone.
	evacuated bool
	// warmAt is until when the worker is slow after its start; 0 if it isn't.
	warmAt time.Duration
	// vacating workers get no new work because their host is needed in another pool.
	vacating bool
	// lowLatencySince is since when the tail latencies of the serving items have been below raiseThreshold, or
	// when the pace was last raised during that time; 0 if they aren't.
	lowLatencySince time.Duration
	// addedAt is when this term first learned of the worker.
	addedAt time.Duration
	// startQueue is the start queue of the worker's availability zone.
	startQueue *startQueue
	// renewalAddress is the address to which the last lease renewal was sent.
	renewalAddress string
	// wake ends the pause before the worker's next lease renewal.
	wake chan struct{}
}

func newWorker(entry infra.WorkerEntry) *worker {
	return &worker{entry: entry, renewalAddress: entry.Address, startedUnixMs: entry.StartUnixMs, rack: rackOf(entry.Labels), items: map[*item]struct{}{}, wake: make(chan struct{}, 1)}
}

// rackOf returns the last label, which is the rack: a worker's labels are its kind and its rack.
func rackOf(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

func (w *worker) ref() infra.WorkerRef {
	return infra.WorkerRef{ID: w.entry.ID, Address: w.entry.Address, Zone: w.entry.Zone}
}

// freeCapacity returns the capacity that neither placed items nor stray runs reserve. It is negative if the
// capacity shrank below that.
func (w *worker) freeCapacity() work.Resources {
	return w.entry.Capacity.Minus(w.used).Minus(w.strayNeed)
}

// hasLasting reports whether a lasting item is placed on the worker.
func (w *worker) hasLasting() bool { return w.lastingItems > 0 }

// add adds a placed item and reserves its resources.
func (w *worker) add(i *item) {
	w.items[i] = struct{}{}
	w.used = w.used.Plus(i.step.reservation())
	w.unreportedItems++
	if i.step.def.Lasting {
		w.lastingItems++
		w.lastingCPUMilli += i.step.reservation().CPUMilli
	}
}

// remove removes an item and frees its resources.
func (w *worker) remove(i *item, now time.Duration) {
	delete(w.items, i)
	w.used = w.used.Minus(i.step.reservation())
	if !i.reported {
		w.unreportedItems--
	}
	w.endTrial(i, now)
	if i.step.def.Lasting {
		w.lastingItems--
		w.lastingCPUMilli -= i.step.reservation().CPUMilli
	}
}

// reservation returns the resources that each item of the step reserves on its worker. Filling items use
// idle processor time and reserve none.
func (s *stepInstance) reservation() work.Resources {
	reserved := s.def.Need
	if s.def.Filling {
		reserved.CPUMilli = 0
	}
	return reserved
}

func (w *worker) wakeRenewalLoop() {
	periodic.Wake(w.wake)
}
