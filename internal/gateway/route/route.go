// Package route finds the pool of a request.
package route

import (
	"strings"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
)

// prefix precedes the name of the pool in the path.
const prefix = "/v1/pools/"

// Split parts a request URI /v1/pools/{pool}/rest into the pool and /rest, which is what the endpoint receives.
func Split(uri string) (pool, rest string, ok bool) {
	tail, ok := strings.CutPrefix(uri, prefix)
	if !ok {
		return "", "", false
	}
	end := strings.IndexAny(tail, "/?")
	if end < 0 {
		return tail, "/", tail != ""
	}
	pool, rest = tail[:end], tail[end:]
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return pool, rest, pool != ""
}

// Filter sets the pool of each request.
type Filter struct {
	store *fleet.Store
}

// New returns the filter.
func New(store *fleet.Store) *Filter { return &Filter{store: store} }

// Apply sets the pool, the share of the team, and whether the request is idempotent.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	snapshot := f.store.Current()
	pool, ok := snapshot.Pool(r.PoolName)
	if !ok {
		return fault.New(fault.PoolUnknown, "no pool %q: want /v1/pools/{pool}/...", r.PoolName)
	}
	team, ok := snapshot.Team(r.Team)
	if !ok {
		return fault.New(fault.KeyUnknown, "the team of the key isn't declared")
	}
	r.Pool = pool
	r.Share = max(team.Share, 1)
	if !r.Forwarded {
		r.Idempotent = idempotent(r)
	}
	return nil
}

// idempotent reports whether a second run of the request does no harm.
func idempotent(r *pipe.Request) bool {
	switch string(r.HTTPRequest.Header.Method()) {
	case "GET", "HEAD", "PUT", "DELETE":
		return true
	}
	return r.Pool.IdempotencyKeys && len(r.HTTPRequest.Header.Peek(pipe.HeaderIdempotencyKey)) > 0
}
