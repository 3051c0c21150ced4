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

// Times and sizes of the relay between controllers.
const (
	relayInterval = time.Second
	// relayAfter is how long the log must have been silent; it exceeds a long poll.
	relayAfter = 4 * time.Second
	// staleAfter is the freshness beyond which a peer counts as cut off as well.
	staleAfter  = 10 * time.Second
	peerTimeout = 2 * time.Second
	// fetchTimeout allows for the encoding and transfer of a whole state.
	fetchTimeout = 10 * time.Second
	// askTogether is how many peers are asked for their status at a time.
	askTogether = 16
	// askAgain is how many peers are asked each second after a search found none that reaches the
	// log. Asking all costs 24 KB/s at 45 controllers; once one of them reaches the log, askers that
	// find it are found in turn, so that all know within a few seconds.
	askAgain = 2
	// maxPages bounds the pages of one pull, so that the loop gets back to its checks.
	maxPages = 64
)

// neverFresh is the freshness of a follower that never reached the log's head.
const neverFresh = math.MaxUint64

type peer struct{ Peer }

// orderPeers puts peers of the own zone first, and otherwise spreads the askers over the peers.
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

// relay follows a peer while the log is silent.
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
			f.searched = false
		}
	}
}

func (f *Follower) logSilent() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return time.Since(f.logReadAt) > relayAfter
}

// relayOnce pulls from the present source, and looks for another when that one fails or is cut off
// itself.
func (f *Follower) relayOnce(ctx context.Context) {
	if f.source != nil && f.pull(ctx, f.source) {
		f.searched = false
		return
	}
	f.source = f.chooseSource(ctx, f.candidates())
	f.searched = true
	if f.source != nil && !f.pull(ctx, f.source) {
		f.source = nil
	}
}

// candidates returns all peers for the first search, and a few for each one after it.
func (f *Follower) candidates() []*peer {
	if !f.searched || len(f.peers) <= askAgain {
		return f.peers
	}
	places := rand.Perm(len(f.peers))[:askAgain]
	slices.Sort(places)
	var few []*peer
	for _, place := range places {
		few = append(few, f.peers[place])
	}
	return few
}

// chooseSource returns the first peer, in order, that isn't cut off itself, else the one with the
// highest offset above the own.
func (f *Follower) chooseSource(ctx context.Context, peers []*peer) *peer {
	var best *peer
	highest := f.Offset()
	for group := range slices.Chunk(peers, askTogether) {
		statuses := askStatuses(ctx, group)
		for i, status := range statuses {
			if status == nil || status.GetOffset() < f.Offset() {
				continue
			}
			if status.GetFreshnessMs() < uint64(staleAfter.Milliseconds()) {
				return group[i]
			}
			if status.GetOffset() > highest {
				best, highest = group[i], status.GetOffset()
			}
		}
	}
	return best
}

func askStatuses(ctx context.Context, peers []*peer) []*v1.StatusResponse {
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

// pull folds what the peer has. It returns false when the peer fails or is cut off itself.
func (f *Follower) pull(ctx context.Context, p *peer) bool {
	for range maxPages {
		start := time.Now()
		response, err := f.tail(ctx, p)
		if err != nil {
			return false
		}
		if response.GetGap() {
			return f.fetchFrom(ctx, p, f.Offset()+1)
		}
		if !ingest(f, response.GetRecords()) {
			return false
		}
		f.compareHash(p.Name, response.GetHead(), response.GetStateHash())
		if f.Offset() >= response.GetHead() || len(response.GetRecords()) == 0 {
			return f.adoptFreshness(response, start)
		}
	}
	return true
}

func (f *Follower) tail(ctx context.Context, p *peer) (*v1.TailResponse, error) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.Client.Tail(call, &v1.TailRequest{AfterOffset: f.Offset(), MaxRecords: pageRecords})
}

// adoptFreshness takes over the peer's freshness, counted from the start of the call.
func (f *Follower) adoptFreshness(response *v1.TailResponse, start time.Time) bool {
	if response.GetFreshnessMs() > math.MaxInt64/uint64(time.Millisecond) {
		return false
	}
	age := time.Duration(response.GetFreshnessMs()) * time.Millisecond
	f.markFresh(response.GetHead(), start.Add(-age))
	return age < staleAfter
}

// fetchState loads the state of a peer whose offset is at least least.
func (f *Follower) fetchState(ctx context.Context, least int64) bool {
	for _, p := range f.peers {
		if ctx.Err() != nil {
			return false
		}
		if f.fetchFrom(ctx, p, least) {
			return true
		}
	}
	return false
}

func (f *Follower) fetchFrom(ctx context.Context, p *peer, least int64) bool {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := p.Client.FetchState(call, &v1.FetchStateRequest{})
	if err != nil || response.GetOffset() < least {
		return false
	}
	state, damaged := fold.DecodeSnapshot(response.GetState())
	if damaged != nil || state.Offset() < least {
		f.cfg.Logger.WithField("event", "peer_state_refused").WithField("peer", p.Name).WithField("offset", response.GetOffset()).Warn("state of peer refused")
		return false
	}
	return f.replace(state)
}
