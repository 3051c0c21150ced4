package follower

import (
	"context"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// hearTimeout is how long a starting controller waits for peers before the log's head suffices.
const hearTimeout = 5 * time.Second

// readiness decides when a starting controller may serve: its state must not be older than any
// that it has heard of. The zero value isn't ready.
type readiness struct {
	// asked is set once all peers have answered or hearTimeout has passed.
	asked bool
	// heard is set once a peer with state has told its offset.
	heard bool
	// logHead is set once the state has included the log's head.
	logHead bool
	// target is the highest offset heard, from peers or from the log's first answer.
	target int64
	// logTold is set once the log has told its head.
	logTold bool
	// done stays set: a ready controller remains ready.
	done bool
}

// Ready reports whether the state is at least as new as every one that the follower heard of at
// its start.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isReady()
}

// isReady needs the lock.
func (f *Follower) isReady() bool {
	r := &f.ready
	if !r.done && f.state != nil && r.asked && (r.heard || r.logHead) && f.state.Offset() >= r.target {
		r.done = true
	}
	return r.done
}

// hearPeers asks all peers for their offset, again and again until one or the log has answered.
func (f *Follower) hearPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		f.hearOnce(ctx)
		f.mu.Lock()
		f.ready.asked = true
		enough := f.ready.heard || f.ready.logHead || len(f.peers) == 0
		f.notify()
		f.mu.Unlock()
		if enough {
			return nil
		}
	}
	return ctx.Err()
}

// hearOnce returns once each peer has answered or hearTimeout has passed.
func (f *Follower) hearOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hearTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range f.peers {
		group.Go(func() { f.hear(ctx, p) })
	}
	group.Wait()
}

// hear asks one peer until it answers or ctx ends.
func (f *Follower) hear(ctx context.Context, p *peer) {
	for {
		status, err := p.Client.Status(ctx, &v1.StatusRequest{})
		if err == nil {
			f.heardStatus(status)
			return
		}
		if pause(ctx, minBackoff) != nil {
			return
		}
	}
}

// heardStatus counts a peer only if it has state: one that is starting itself proves nothing.
func (f *Follower) heardStatus(status *v1.StatusResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready.heard = f.ready.heard || len(status.GetStateHash()) > 0
	f.ready.target = max(f.ready.target, status.GetOffset())
}

func (f *Follower) logAnswered(head int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logReadAt, f.logHead = time.Now(), head
	if !f.ready.logTold {
		f.ready.logTold = true
		f.ready.target = max(f.ready.target, head)
	}
}

func (f *Follower) reachedLogHead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ready.logHead {
		f.ready.logHead = true
		f.notify()
	}
}
