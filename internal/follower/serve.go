package follower

import (
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Bounds of what is served to peers.
const (
	maxTailRecords = 4096
	maxTailBytes   = 1 << 20
	// cacheAge is how long an encoded state is served again; what follows it is in the ring.
	cacheAge = 10 * time.Second
)

// Tail serves raw records to peers.
func (f *Follower) Tail(request *v1.TailRequest) (*v1.TailResponse, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.state == nil {
		return nil, fault.New(fault.NotReady, "no state yet")
	}
	response := &v1.TailResponse{
		Head: f.state.Offset(), StateHash: f.state.Hash(), FreshnessMs: f.freshnessMS(),
	}
	if request.GetAfterOffset() >= f.state.Offset() {
		return response, nil
	}
	limit := min(int(request.GetMaxRecords()), maxTailRecords)
	records, kept := f.ring.after(request.GetAfterOffset(), limit, maxTailBytes)
	response.Records, response.Gap = records, !kept
	return response, nil
}

// freshnessMS needs the lock.
func (f *Follower) freshnessMS() uint64 {
	age, known := f.freshness()
	if !known {
		return neverFresh
	}
	return uint64(age.Milliseconds())
}

// Status returns health and progress. The caller adds its gateways.
func (f *Follower) Status() *v1.StatusResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := &v1.StatusResponse{
		Name: f.cfg.Name, Incarnation: f.cfg.Incarnation, Zone: f.cfg.Zone,
		FreshnessMs: f.freshnessMS(), Ready: f.isReady(),
	}
	if f.state != nil {
		status.Offset, status.ConfigVersion, status.StateHash = f.state.Offset(), f.state.Version(), f.state.Hash()
	}
	switch {
	case f.stopped != nil:
		status.FollowerError = string(f.stopped.Kind)
	case f.problem != nil:
		status.FollowerError = string(f.problem.Kind)
	}
	return status
}

// snapshotCache holds the last encoded state, since many peers may start at the same time.
type snapshotCache struct {
	mu       sync.Mutex
	encoded  time.Time
	response *v1.FetchStateResponse
}

// FetchState serves the whole state to peers.
func (f *Follower) FetchState() (*v1.FetchStateResponse, error) {
	f.cache.mu.Lock()
	defer f.cache.mu.Unlock()
	if f.cacheUsable() {
		return f.cache.response, nil
	}
	response, err := f.Snapshot()
	if err != nil {
		return nil, err
	}
	f.cache.response, f.cache.encoded = response, time.Now()
	return response, nil
}

// cacheUsable needs the cache's lock. The tail after the cached state must be in the ring.
func (f *Follower) cacheUsable() bool {
	if f.cache.response == nil || time.Since(f.cache.encoded) > cacheAge {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	offset := f.cache.response.GetOffset()
	return offset == f.offset() || f.ring.at(offset+1) != nil
}

// Snapshot returns the present state, encoded. It compresses outside the lock.
func (f *Follower) Snapshot() (*v1.FetchStateResponse, error) {
	response := &v1.FetchStateResponse{}
	var canonical []byte
	var err error
	loaded := f.Read(func(state *fold.State) {
		response.Offset, response.StateHash = state.Offset(), state.Hash()
		canonical, err = state.EncodeCanonical()
	})
	if !loaded {
		return nil, fault.New(fault.NotReady, "no state yet")
	}
	if err != nil {
		return nil, err
	}
	response.State, err = fold.PackSnapshot(canonical)
	return response, err
}
