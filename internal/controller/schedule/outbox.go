package schedule

import (
	"context"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/periodic"
)

// proposal is a record to propose.
type proposal struct {
	record *v1.Record
	job    string
	// start is set for the start of a job, which is planned anew when it can't be proposed in time.
	start bool
	// urgent proposals go first: a wave of ends must not delay urgent starts.
	urgent bool
	made   time.Time
}

// outbox holds proposals in two lines. A proposer has one append in flight, so they go one by one.
type outbox struct {
	mu     sync.Mutex
	urgent []proposal
	others []proposal
	filled chan struct{}
}

func newOutbox() *outbox { return &outbox{filled: make(chan struct{}, 1)} }

func (o *outbox) put(p proposal) {
	o.mu.Lock()
	if p.urgent {
		o.urgent = append(o.urgent, p)
	} else {
		o.others = append(o.others, p)
	}
	o.mu.Unlock()
	periodic.Wake(o.filled)
}

func (o *outbox) take() (proposal, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, line := range []*[]proposal{&o.urgent, &o.others} {
		if len(*line) > 0 {
			first := (*line)[0]
			*line = (*line)[1:]
			return first, true
		}
	}
	return proposal{}, false
}

// propose empties the outbox until ctx ends.
func (l *Loop) propose(ctx context.Context) error {
	for {
		p, found := l.outbox.take()
		if !found {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-l.outbox.filled:
			}
			continue
		}
		l.proposeOne(ctx, p)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (l *Loop) proposeOne(ctx context.Context, p proposal) {
	if p.start && l.Now().Sub(p.made) > l.settings.ProposeTimeout {
		l.abandon(p)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, l.settings.ProposeTimeout)
	defer cancel()
	err := l.Proposer.Propose(bounded, p.record)
	if err == nil || ctx.Err() != nil {
		return
	}
	kind := fault.KindOf(err)
	l.Log.WithFields(map[string]any{"event": "job_proposal_not_accepted", "job": p.job, "start": p.start, "kind": kind}).WithError(err).Debug("job proposal not accepted")
	l.abandon(p)
	if kind == fault.LogUnavailable {
		// Trying again at once wouldn't help.
		wait(ctx, retryEvery)
	}
}

// abandon lets the loop read the job again. It then plans anew or proposes the end once more; the
// fold accepts either only if it is still right.
func (l *Loop) abandon(p proposal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resync[p.job] = true
	if p.start {
		delete(l.starting, p.job)
		l.source.Health.ClearProbe(p.record.GetJobStart().GetWorker())
	}
	for _, pool := range l.pools {
		if t := pool.tasks[p.job]; t != nil && !p.start {
			t.proposed = false
			l.attend(t)
		}
	}
}

func wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
