package schedule

import (
	"context"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/periodic"
)

// proposal is a record to propose for a job.
type proposal struct {
	record *v1.Record
	job    string
	// isStart is set for the start of a job. A start that can't be proposed within ProposeTimeout is
	// discarded, and the job is planned again.
	isStart bool
	// urgent proposals are sent first, so that many ends at once don't delay urgent starts.
	urgent    bool
	createdAt time.Time
}

// outbox queues proposals by urgency. They are sent one by one, since a proposer has only one append in
// flight.
type outbox struct {
	mu     sync.Mutex
	urgent []proposal
	normal []proposal
	// notEmpty wakes the sender after an add.
	notEmpty chan struct{}
}

func newOutbox() *outbox { return &outbox{notEmpty: make(chan struct{}, 1)} }

func (o *outbox) add(p proposal) {
	o.mu.Lock()
	if p.urgent {
		o.urgent = append(o.urgent, p)
	} else {
		o.normal = append(o.normal, p)
	}
	o.mu.Unlock()
	periodic.Wake(o.notEmpty)
}

// pop removes and returns the next proposal. It returns false if there is none.
func (o *outbox) pop() (proposal, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, queue := range []*[]proposal{&o.urgent, &o.normal} {
		if len(*queue) > 0 {
			first := (*queue)[0]
			*queue = (*queue)[1:]
			return first, true
		}
	}
	return proposal{}, false
}

// proposeQueued sends the proposals of the outbox until ctx ends.
func (l *Loop) proposeQueued(ctx context.Context) error {
	for {
		p, found := l.outbox.pop()
		if !found {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-l.outbox.notEmpty:
			}
			continue
		}
		l.proposeOne(ctx, p)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// proposeOne sends one proposal. If it isn't accepted, the loop reads the job again.
func (l *Loop) proposeOne(ctx context.Context, p proposal) {
	if p.isStart && l.Now().Sub(p.createdAt) > l.settings.ProposeTimeout {
		l.discardProposal(p)
		return
	}
	proposeCtx, cancel := context.WithTimeout(ctx, l.settings.ProposeTimeout)
	defer cancel()
	err := l.Proposer.Propose(proposeCtx, p.record)
	if err == nil || ctx.Err() != nil {
		return
	}
	kind := fault.KindOf(err)
	l.Log.WithFields(map[string]any{"event": "job_proposal_not_accepted", "job": p.job, "start": p.isStart, "kind": kind}).WithError(err).Debug("job proposal not accepted")
	l.discardProposal(p)
	if kind == fault.LogUnavailable {
		// An immediate retry would most likely fail as well.
		sleep(ctx, retryInterval)
	}
}

// discardProposal lets the loop read the job again, so that it plans the job or proposes its end again. If the
// discarded record was accepted after all, the fold rejects the repeated one.
func (l *Loop) discardProposal(p proposal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobsToResync[p.job] = true
	if p.isStart {
		delete(l.pendingStarts, p.job)
		l.source.Health.ClearRetry(p.record.GetJobStart().GetWorker())
	}
	for _, pool := range l.pools {
		if t := pool.tasks[p.job]; t != nil && !p.isStart {
			t.endProposed = false
			l.markBusy(t)
		}
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
