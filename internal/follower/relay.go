package follower

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/rank"
	"turmericyoke/internal/fold"
)

// Timing and size limits of relaying, which is to pull records from peers while the log is silent.
const (
	relayInterval = time.Second
	// maxLogSilence is the time without a response of the log after which records are pulled from peers. It
	// is longer than a long poll.
	maxLogSilence = 4 * time.Second
	// maxSourceFreshness is the freshness at which a peer counts as cut off from the log itself; a higher
	// freshness means an older state.
	maxSourceFreshness = 10 * time.Second
	peerTimeout        = 2 * time.Second
	// fetchStateTimeout allows for encoding and transferring a whole state.
	fetchStateTimeout = 10 * time.Second
	// statusBatchSize is how many peers are asked for their status at once.
	statusBatchSize = 16
	// peersPerRepeatedSearch is how many random peers are asked each second after a search of all peers found
	// none that reaches the log. Asking all of them would cost 24 KB/s at 45 controllers. Once one controller
	// reaches the log again, each controller that finds it becomes a source for others, so all have a source
	// within a few seconds.
	peersPerRepeatedSearch = 2
	// maxPagesPerPull limits the pages of one pull, so that the relay loop soon checks the log again.
	maxPagesPerPull = 64
)

// unknownFreshnessMS is the freshness reported by a follower whose state never included the head of the log.
const unknownFreshnessMS = math.MaxUint64

// peer is another controller that the follower calls.
type peer struct{ Peer }

// orderPeers returns the other controllers, those in the same zone first. Within and outside of the zone, the
// order depends on the name of the asking controller, to distribute the load over the peers.
func orderPeers(cfg Config) []*peer {
	var peers []*peer
	for _, p := range cfg.Peers {
		if p.Name != cfg.Name {
			peers = append(peers, &peer{p})
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int {
		if (a.Zone == cfg.Zone) != (b.Zone == cfg.Zone) {
			return map[bool]int{true: -1, false: 1}[a.Zone == cfg.Zone]
		}
		return cmp.Or(cmp.Compare(rank.Score(cfg.Name, b.Name), rank.Score(cfg.Name, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return peers
}

// relay pulls records from peers while the log is silent.
func (f *Follower) relay(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if f.logSilent() && !f.Stopped() {
			f.relayOnce(ctx)
		} else {
			f.searchedAllPeers = false
		}
	}
}

// logSilent reports whether the log hasn't responded for maxLogSilence.
func (f *Follower) logSilent() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return time.Since(f.logAnsweredAt) > maxLogSilence
}

// relayOnce pulls records from the current source, and searches for another one if there is none or it fails
// or is cut off from the log itself.
func (f *Follower) relayOnce(ctx context.Context) {
	if f.relaySource != nil && f.pullRecords(ctx, f.relaySource) {
		f.searchedAllPeers = false
		return
	}
	f.relaySource = f.chooseSource(ctx, f.sourceCandidates())
	f.searchedAllPeers = true
	if f.relaySource != nil && !f.pullRecords(ctx, f.relaySource) {
		f.relaySource = nil
	}
}

// sourceCandidates returns all peers for the first search, and peersPerRepeatedSearch random ones for each
// later search.
func (f *Follower) sourceCandidates() []*peer {
	if !f.searchedAllPeers || len(f.peers) <= peersPerRepeatedSearch {
		return f.peers
	}
	indexes := rand.Perm(len(f.peers))[:peersPerRepeatedSearch]
	slices.Sort(indexes)
	var selected []*peer
	for _, index := range indexes {
		selected = append(selected, f.peers[index])
	}
	return selected
}

// chooseSource returns the first peer that isn't cut off from the log, or else the one with the highest
// offset above the follower's own, or nil.
func (f *Follower) chooseSource(ctx context.Context, peers []*peer) *peer {
	var best *peer
	highestOffset := f.Offset()
	for batch := range slices.Chunk(peers, statusBatchSize) {
		statuses := requestStatuses(ctx, batch)
		for i, status := range statuses {
			if status == nil || status.GetOffset() < f.Offset() {
				continue
			}
			if status.GetFreshnessMs() < uint64(maxSourceFreshness.Milliseconds()) {
				return batch[i]
			}
			if status.GetOffset() > highestOffset {
				best, highestOffset = batch[i], status.GetOffset()
			}
		}
	}
	return best
}

// requestStatuses asks the peers for their status. The result has nil for each peer that didn't answer.
func requestStatuses(ctx context.Context, peers []*peer) []*v1.StatusResponse {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	statuses := make([]*v1.StatusResponse, len(peers))
	var group sync.WaitGroup
	for i, p := range peers {
		group.Go(func() {
			if status, err := p.Client.Status(ctx, &v1.StatusRequest{}); err == nil {
				statuses[i] = status
			}
		})
	}
	group.Wait()
	return statuses
}

// pullRecords folds new records of the peer, or loads its state if it no longer keeps the next record. It
// returns false if the peer fails or is cut off from the log itself.
func (f *Follower) pullRecords(ctx context.Context, p *peer) bool {
	for range maxPagesPerPull {
		startedAt := f.clock()
		response, err := f.requestTail(ctx, p)
		if err != nil {
			return false
		}
		if response.GetGap() {
			return f.loadFromPeer(ctx, p, f.Offset()+1)
		}
		if !ingest(f, response.GetRecords()) {
			return false
		}
		f.checkPeerHash(p.Name, response.GetHead(), response.GetStateHash())
		if f.Offset() >= response.GetHead() || len(response.GetRecords()) == 0 {
			return f.adoptFreshness(response, startedAt)
		}
	}
	return true
}

func (f *Follower) requestTail(ctx context.Context, p *peer) (*v1.TailResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.Client.Tail(callCtx, &v1.TailRequest{AfterOffset: f.Offset(), MaxRecords: maxPageRecords})
}

// adoptFreshness updates the follower's freshness by the peer's, as of the start of the call. It returns
// false if the peer is cut off from the log.
func (f *Follower) adoptFreshness(response *v1.TailResponse, startedAt time.Duration) bool {
	if response.GetFreshnessMs() > math.MaxInt64/uint64(time.Millisecond) {
		return false
	}
	age := time.Duration(response.GetFreshnessMs()) * time.Millisecond
	f.updateFreshness(response.GetHead(), startedAt-age)
	return age < maxSourceFreshness
}

// loadFromAnyPeer loads the state of the first peer whose offset is at least minOffset.
func (f *Follower) loadFromAnyPeer(ctx context.Context, minOffset int64) bool {
	for _, p := range f.peers {
		if ctx.Err() != nil {
			return false
		}
		if f.loadFromPeer(ctx, p, minOffset) {
			return true
		}
	}
	return false
}

// loadFromPeer loads the state of the peer. It returns false if the peer fails, the state is damaged or below
// minOffset, or the follower's own state is at least as new.
func (f *Follower) loadFromPeer(ctx context.Context, p *peer, minOffset int64) bool {
	callCtx, cancel := context.WithTimeout(ctx, fetchStateTimeout)
	defer cancel()
	response, err := p.Client.FetchState(callCtx, &v1.FetchStateRequest{})
	if err != nil || response.GetOffset() < minOffset {
		return false
	}
	state, decodeErr := fold.DecodeSnapshot(response.GetState())
	if decodeErr != nil || state.Offset() < minOffset {
		f.cfg.Logger.WithField("event", "peer_state_refused").WithField("peer", p.Name).WithField("offset", response.GetOffset()).Warn("state of peer refused")
		return false
	}
	return f.replaceState(state)
}
