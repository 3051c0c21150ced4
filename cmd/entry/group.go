package main

import (
	"context"
	"sync"
	"time"

	"turmericyoke/internal/infra"
)

// leavableGroup is the group of entry processes. A stopping process leaves it at once, while its elector runs on to
// follow the claims.
type leavableGroup struct {
	infra.Group

	// mu is held shared by joins in progress: one that arrives after the leave would make this process a member
	// again.
	mu   sync.RWMutex
	left bool
}

// Join implements infra.Group. It fails once the process has left.
func (g *leavableGroup) Join(ctx context.Context, self infra.Member, leads bool, ttl time.Duration) error {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.left {
		return &infra.Error{Kind: infra.Refused, Op: "join", Detail: "the process has left the group"}
	}
	return g.Group.Join(ctx, self, leads, ttl)
}

// Leave implements infra.Group. Calls after the first one have no effect.
func (g *leavableGroup) Leave(ctx context.Context, self infra.Member) error {
	g.mu.Lock()
	left := g.left
	g.left = true
	g.mu.Unlock()
	if left {
		return nil
	}
	return g.Group.Leave(ctx, self)
}
