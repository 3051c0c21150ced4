// Package admit refuses requests that may not enter the queue, and sets the deadlines of the others.
package admit

import (
	"strconv"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/rights"
)

// Limits bounds the body of a request and its time in the queue.
type Limits struct {
	// BodyBytes is the largest permitted body.
	BodyBytes int
	// QueueWait is the longest wait for a right and a slot.
	QueueWait time.Duration
}

// Filter is the admission filter. It checks the size and the deadline of a request, the lease of the gateway
// and the upper limit of the team.
type Filter struct {
	limits   Limits
	store    *fleet.Store
	rights   rights.Source
	refusing func() bool
	now      func() time.Time
}

// New returns the filter. refusing reports whether the gateway refuses all new requests because it shuts down.
func New(limits Limits, store *fleet.Store, source rights.Source, refusing func() bool, now func() time.Time) *Filter {
	return &Filter{limits: limits, store: store, rights: source, refusing: refusing, now: now}
}

// Apply implements pipe.Filter.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	if f.refusing() {
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

// checkRights refuses r if the gateway has no valid lease, or if the upper limit of the team is 0.
func (f *Filter) checkRights(r *pipe.Request) *fault.Error {
	// A gateway without a lease could still forward requests to peers, but the other gateways don't know its
	// load. It refuses the request, so that the caller tries another gateway.
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

// setDeadlines sets the deadline of the run from the caller's X-Deadline-Ms header and the longest run that the
// pool permits, and the deadline of the wait in the queue, which is never later. For a forwarded request, the
// deadlines of the gateway that accepted it apply if they are earlier.
func (f *Filter) setDeadlines(r *pipe.Request) *fault.Error {
	now := f.now()
	if !r.Forwarded {
		runTime, err := f.requestedRunTime(r)
		if err != nil {
			return err
		}
		r.Deadline = now.Add(runTime)
	}
	if limit := now.Add(r.Pool.EffectiveMaxRunTime()); r.Deadline.After(limit) {
		r.Deadline = limit
	}
	if !r.Deadline.After(now) {
		return fault.New(fault.QueueTimeout, "the deadline of the request has passed")
	}
	latest := now.Add(f.limits.QueueWait)
	if !r.Forwarded || r.QueueDeadline.After(latest) {
		r.QueueDeadline = latest
	}
	if r.QueueDeadline.After(r.Deadline) {
		r.QueueDeadline = r.Deadline
	}
	return nil
}

// requestedRunTime returns the run time in the X-Deadline-Ms header, or the longest run that the pool permits
// if the header is absent.
func (f *Filter) requestedRunTime(r *pipe.Request) (time.Duration, *fault.Error) {
	header := r.HTTPRequest.Header.Peek(pipe.HeaderDeadline)
	if len(header) == 0 {
		return r.Pool.EffectiveMaxRunTime(), nil
	}
	ms, err := strconv.ParseUint(string(header), 10, 31)
	if err != nil || ms == 0 {
		return 0, fault.New(fault.RequestInvalid, "%s %q: want milliseconds above 0", pipe.HeaderDeadline, header)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
