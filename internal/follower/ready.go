package follower

import (
	"context"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// peerStatusTimeout is how long a starting controller waits for the status of its peers. After that, a state
// that has reached the head of the log is sufficient to be ready.
const peerStatusTimeout = 5 * time.Second

// startupReadiness decides when a starting controller may serve: once its state is at least as new as the
// newest offset reported to it. The zero value isn't ready.
type startupReadiness struct {
	// peersAsked is set once all peers have answered or peerStatusTimeout has passed.
	peersAsked bool
	// peerReported is set once a peer that has a state has reported its offset.
	peerReported bool
	// reachedLogHead is set once the state has included the head of the log.
	reachedLogHead bool
	// requiredOffset is the highest offset reported by peers or by the log's first response.
	requiredOffset int64
	// logReported is set once the log has responded.
	logReported bool
	// ready is never reset: a controller that was ready once stays ready.
	ready bool
}

// Ready reports whether, since the start, the state has become at least as new as every offset that peers
// and the log's first response reported.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isReadyLocked()
}

// isReadyLocked implements Ready. f.mu must be held.
func (f *Follower) isReadyLocked() bool {
	r := &f.readiness
	if !r.ready && f.state != nil && r.peersAsked && (r.peerReported || r.reachedLogHead) && f.state.Offset() >= r.requiredOffset {
		r.ready = true
	}
	return r.ready
}

// collectPeerOffsets repeatedly asks all peers for their offset, with pauses, until a peer that has a state has answered
// or the state has reached the head of the log.
func (f *Follower) collectPeerOffsets(ctx context.Context) error {
	for ctx.Err() == nil {
		f.askAllPeers(ctx)
		f.mu.Lock()
		f.readiness.peersAsked = true
		done := f.readiness.peerReported || f.readiness.reachedLogHead || len(f.peers) == 0
		f.notify()
		f.mu.Unlock()
		if done {
			return nil
		}
		if err := sleepWithJitter(ctx, minBackoff); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// askAllPeers asks all peers for their status. It returns once each has answered or peerStatusTimeout has
// passed.
func (f *Follower) askAllPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerStatusTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range f.peers {
		group.Go(func() { f.askPeer(ctx, p) })
	}
	group.Wait()
}

// askPeer asks one peer for its status until it answers or ctx ends.
func (f *Follower) askPeer(ctx context.Context, p *peer) {
	for {
		status, err := p.Client.Status(ctx, &v1.StatusRequest{})
		if err == nil {
			f.recordPeerStatus(status)
			return
		}
		if sleepWithJitter(ctx, minBackoff) != nil {
			return
		}
	}
}

// recordPeerStatus records the offset of a peer. A peer without a state is itself starting, so it doesn't set
// peerReported.
func (f *Follower) recordPeerStatus(status *v1.StatusResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readiness.peerReported = f.readiness.peerReported || len(status.GetStateHash()) > 0
	f.readiness.requiredOffset = max(f.readiness.requiredOffset, status.GetOffset())
}

// recordLogHead records the head offset in a response of the log. The first one is a lower bound for
// readiness.
func (f *Follower) recordLogHead(head int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logAnsweredAt, f.logHead = time.Now(), head
	if !f.readiness.logReported {
		f.readiness.logReported = true
		f.readiness.requiredOffset = max(f.readiness.requiredOffset, head)
	}
}

// recordHeadReached records that the state included the head of the log.
func (f *Follower) recordHeadReached() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readiness.reachedLogHead {
		f.readiness.reachedLogHead = true
		f.notify()
	}
}
