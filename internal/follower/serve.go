package follower

import (
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Limits of responses to peers.
const (
	maxTailRecords = 4096
	maxTailBytes   = 1 << 20
	// maxCacheAge is how long an encoded state is served to peers. They get the records after it by Tail.
	maxCacheAge = 10 * time.Second
)

// Tail returns raw records after an offset to a peer, with the running hash and the freshness of the state.
func (f *Follower) Tail(request *v1.TailRequest) (*v1.TailResponse, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.state == nil {
		return nil, fault.New(fault.NotReady, "no state yet")
	}
	response := &v1.TailResponse{
		Head: f.state.Offset(), StateHash: f.state.Hash(), FreshnessMs: f.freshnessMSLocked(),
	}
	if request.GetAfterOffset() >= f.state.Offset() {
		return response, nil
	}
	limit := min(int(request.GetMaxRecords()), maxTailRecords)
	records, kept := f.recentRecords.recordsAfter(request.GetAfterOffset(), limit, maxTailBytes)
	response.Records, response.Gap = records, !kept
	return response, nil
}

// freshnessMSLocked returns the freshness in milliseconds, or unknownFreshnessMS. f.mu must be held.
func (f *Follower) freshnessMSLocked() uint64 {
	age, known := f.freshnessLocked()
	if !known {
		return unknownFreshnessMS
	}
	return uint64(age.Milliseconds())
}

// Status returns the health and progress of the follower. The caller adds the status of its gateways.
func (f *Follower) Status() *v1.StatusResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := &v1.StatusResponse{
		Name: f.cfg.Name, Incarnation: f.cfg.Incarnation, Zone: f.cfg.Zone,
		FreshnessMs: f.freshnessMSLocked(), Ready: f.isReadyLocked(),
	}
	if f.state != nil {
		status.Offset, status.ConfigVersion, status.StateHash = f.state.Offset(), f.state.Version(), f.state.Hash()
	}
	switch {
	case f.stopErr != nil:
		status.FollowerError = string(f.stopErr.Kind)
	case f.recoverableErr != nil:
		status.FollowerError = string(f.recoverableErr.Kind)
	}
	return status
}

// encodedStateCache holds the last encoded state, since many peers may start at the same time and fetch it.
type encodedStateCache struct {
	mu        sync.Mutex
	encodedAt time.Time
	response  *v1.FetchStateResponse
}

// FetchState returns the whole state to a peer.
func (f *Follower) FetchState() (*v1.FetchStateResponse, error) {
	f.stateCache.mu.Lock()
	defer f.stateCache.mu.Unlock()
	if f.cacheValid() {
		return f.stateCache.response, nil
	}
	response, err := f.Snapshot()
	if err != nil {
		return nil, err
	}
	f.stateCache.response, f.stateCache.encodedAt = response, time.Now()
	return response, nil
}

// cacheValid reports whether the cached state is recent enough and peers can still get the records that
// follow it. f.stateCache.mu must be held.
func (f *Follower) cacheValid() bool {
	if f.stateCache.response == nil || time.Since(f.stateCache.encodedAt) > maxCacheAge {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	offset := f.stateCache.response.GetOffset()
	return offset == f.offsetLocked() || f.recentRecords.find(offset+1) != nil
}

// Snapshot returns the current state, encoded. It compresses the state without holding the lock.
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
