// Package admit checks whether a request may be queued at all.
package admit

import (
	"strconv"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/rights"
)

// Limits bound what a request may ask for.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int
	// QueueWait is the longest wait for a right and a slot.
	QueueWait time.Duration
}

// Filter checks size, deadline, lease and limit.
type Filter struct {
	limits   Limits
	store    *fleet.Store
	rights   rights.Source
	draining func() bool
	now      func() time.Time
}

// New returns the filter. draining reports whether the gateway takes no new work.
func New(limits Limits, store *fleet.Store, source rights.Source, draining func() bool, now func() time.Time) *Filter {
	return &Filter{limits: limits, store: store, rights: source, draining: draining, now: now}
}

// Apply sets the deadlines of r, or refuses it.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	if f.draining() {
		return fault.New(fault.ShuttingDown, "the gateway takes no new work")
	}
	if size := len(r.HTTPRequest.Body()); size > f.limits.BodyBytes {
		return fault.New(fault.RequestTooLarge, "body of %d bytes: want at most %d", size, f.limits.BodyBytes)
	}
	if err := f.setDeadlines(r); err != nil {
		return err
	}
	return f.checkRights(r)
}

func (f *Filter) checkRights(r *pipe.Request) *fault.Error {
	// A gateway without a lease can still pass requests on to peers, but nobody would know its load;
	// it refuses, so that the caller tries another gateway.
	if !r.RightHeld && !f.rights.LeaseHeld() {
		return fault.New(fault.LeaseLapsed, "the lease of the gateway isn't valid")
	}
	team, ok := f.store.Current().Team(r.Team)
	if ok && team.UpperLimit == 0 {
		r.Shortage = pipe.Shortage{Free: 0, Needed: 1}
		return fault.New(fault.TeamLimit, "the upper limit of team %s is 0", r.Team)
	}
	return nil
}

// setDeadlines bounds the run by the caller's X-Deadline-Ms and by the longest permitted run.
func (f *Filter) setDeadlines(r *pipe.Request) *fault.Error {
	now := f.now()
	if !r.Forwarded {
		span, err := f.span(r)
		if err != nil {
			return err
		}
		r.Deadline = now.Add(span)
	}
	if limit := now.Add(r.Pool.RunTime()); r.Deadline.After(limit) {
		r.Deadline = limit
	}
	if !r.Deadline.After(now) {
		return fault.New(fault.QueueTimeout, "the deadline of the request has passed")
	}
	wait := now.Add(f.limits.QueueWait)
	if !r.Forwarded || r.QueueDeadline.After(wait) {
		r.QueueDeadline = wait
	}
	if r.QueueDeadline.After(r.Deadline) {
		r.QueueDeadline = r.Deadline
	}
	return nil
}

func (f *Filter) span(r *pipe.Request) (time.Duration, *fault.Error) {
	text := r.HTTPRequest.Header.Peek(pipe.HeaderDeadline)
	if len(text) == 0 {
		return r.Pool.RunTime(), nil
	}
	ms, err := strconv.ParseUint(string(text), 10, 31)
	if err != nil || ms == 0 {
		return 0, fault.New(fault.RequestInvalid, "%s %q: want milliseconds above 0", pipe.HeaderDeadline, text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
