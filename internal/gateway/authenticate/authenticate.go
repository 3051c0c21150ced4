// Package authenticate sets the team of a request from its key.
package authenticate

import (
	"bytes"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
)

// bearerPrefix is the authentication scheme that precedes the key in the Authorization header.
var bearerPrefix = []byte("Bearer ")

// Filter is the authentication filter.
type Filter struct {
	store *fleet.Store
	now   func() time.Time
}

// New returns the filter.
func New(store *fleet.Store, now func() time.Time) *Filter {
	return &Filter{store: store, now: now}
}

// Apply implements pipe.Filter. A request without a key belongs to the open team of its pool, if the pool has
// one. The team of a forwarded request was set by the gateway that accepted it and checked its key. A key
// with FailClosedAfter is refused if the view isn't known to have been current within that time, because the
// key may have been withdrawn in the meantime.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	if r.Forwarded {
		return nil
	}
	snapshot := f.store.Current()
	r.ConfigVersion = snapshot.View.ConfigVersion
	header := r.HTTPRequest.Header.PeekBytes([]byte("Authorization"))
	if len(header) == 0 {
		return f.setOpenTeam(r, snapshot)
	}
	secret, ok := bytes.CutPrefix(header, bearerPrefix)
	if !ok {
		return fault.New(fault.KeyUnknown, "Authorization header: want the scheme Bearer")
	}
	key, ok := snapshot.Key(secret)
	if !ok {
		return f.notInView(snapshot, "the key isn't known")
	}
	r.Team = key.Team
	r.KeyID = key.ID
	maxAge := key.FailClosedAfter.Duration()
	if maxAge > 0 && !snapshot.Fresh(f.now(), maxAge) {
		return fault.New(fault.KeyFreshnessUnknown, "the configuration isn't known to be current within %s", maxAge)
	}
	return nil
}

// setOpenTeam sets the team of a request without a key, and refuses the request if its pool has no open team.
func (f *Filter) setOpenTeam(r *pipe.Request, snapshot *fleet.Snapshot) *fault.Error {
	if r.PoolName == "" {
		return fault.New(fault.KeyUnknown, "the request has neither a key nor a pool")
	}
	pool, ok := snapshot.Pool(r.PoolName)
	if !ok || pool.OpenTeam == "" {
		return f.notInView(snapshot, "the request has no key")
	}
	r.Team = pool.OpenTeam
	return nil
}

// notInView returns the refusal of a request whose key or open pool the view doesn't have.
func (f *Filter) notInView(snapshot *fleet.Snapshot, detail string) *fault.Error {
	if !snapshot.ProvesAbsence(f.now()) {
		return fault.New(fault.KeyFreshnessUnknown, "%s in a configuration that may be out of date", detail)
	}
	return fault.New(fault.KeyUnknown, "%s", detail)
}
