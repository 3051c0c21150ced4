// Package route sets the pool of a request.
package route

import (
	"strings"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
)

// poolsPrefix is the part of the path before the name of the pool.
const poolsPrefix = "/v1/pools/"

// Split splits a request URI /v1/pools/{pool}/rest into the pool and /rest, which is the URI that the endpoint
// receives.
func Split(uri string) (pool, rest string, ok bool) {
	path, ok := strings.CutPrefix(uri, poolsPrefix)
	if !ok {
		return "", "", false
	}
	end := strings.IndexAny(path, "/?")
	if end < 0 {
		return path, "/", path != ""
	}
	pool, rest = path[:end], path[end:]
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return pool, rest, pool != ""
}

// Filter is the routing filter.
type Filter struct {
	store *fleet.Store
	now   func() time.Time
}

// New returns the filter.
func New(store *fleet.Store, now func() time.Time) *Filter { return &Filter{store: store, now: now} }

// Apply implements pipe.Filter. It sets the pool, the share of the team, and whether the request is
// idempotent. Whether a forwarded request is idempotent was determined by the gateway that accepted it.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	snapshot := f.store.Current()
	pool, ok := snapshot.Pool(r.PoolName)
	if !ok {
		unknown := fault.New(fault.PoolUnknown, "no pool %q: want /v1/pools/{pool}/...", r.PoolName)
		if r.PoolName == "" {
			return unknown
		}
		return f.notInView(snapshot, unknown)
	}
	team, ok := snapshot.Team(r.Team)
	if !ok {
		return f.notInView(snapshot, fault.New(fault.KeyUnknown, "the team of the key isn't declared"))
	}
	r.Pool = pool
	r.Share = max(team.Share, 1)
	if !r.Forwarded {
		r.Idempotent = isIdempotent(r)
	}
	return nil
}

// notInView returns the refusal of a request whose pool or team the view doesn't have.
func (f *Filter) notInView(snapshot *fleet.Snapshot, unknown *fault.Error) *fault.Error {
	if !snapshot.ProvesAbsence(f.now()) {
		return fault.Wrap(fault.NotReady, unknown, "%s; the configuration may be out of date", unknown.Detail)
	}
	return unknown
}

// isIdempotent reports whether the request may run twice: by its method, or by an Idempotency-Key header if
// the pool permits that.
func isIdempotent(r *pipe.Request) bool {
	switch string(r.HTTPRequest.Header.Method()) {
	case "GET", "HEAD", "PUT", "DELETE":
		return true
	}
	return r.Pool.IdempotencyKeys && len(r.HTTPRequest.Header.Peek(pipe.HeaderIdempotencyKey)) > 0
}
