// Package authenticate maps the key of a request to its team.
package authenticate

import (
	"bytes"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
)

// scheme precedes the key in the Authorization header.
var scheme = []byte("Bearer ")

// Filter sets the team of each request.
type Filter struct {
	store *fleet.Store
	now   func() time.Time
}

// New returns the filter.
func New(store *fleet.Store, now func() time.Time) *Filter {
	return &Filter{store: store, now: now}
}

// Apply sets the team from the key. Without a key the team is the open team of the pool. The team
// of a forwarded request was set by the gateway that checked its key.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	if r.Forwarded {
		return nil
	}
	snapshot := f.store.Current()
	r.ConfigVersion = snapshot.View.ConfigVersion
	header := r.HTTPRequest.Header.PeekBytes([]byte("Authorization"))
	if len(header) == 0 {
		return openTeam(r, snapshot)
	}
	secret, ok := bytes.CutPrefix(header, scheme)
	if !ok {
		return fault.New(fault.KeyUnknown, "Authorization header: want the scheme Bearer")
	}
	key, ok := snapshot.Key(secret)
	if !ok {
		return fault.New(fault.KeyUnknown, "the key isn't known")
	}
	r.Team = key.Team
	r.KeyID = key.ID
	span := key.FailClosedAfter.Duration()
	if span > 0 && !snapshot.Fresh(f.now(), span) {
		return fault.New(fault.KeyFreshnessUnknown, "the configuration isn't known to be current within %s", span)
	}
	return nil
}

func openTeam(r *pipe.Request, snapshot *fleet.Snapshot) *fault.Error {
	pool, ok := snapshot.Pool(r.PoolName)
	if !ok || pool.OpenTeam == "" {
		return fault.New(fault.KeyUnknown, "the request has no key")
	}
	r.Team = pool.OpenTeam
	return nil
}
