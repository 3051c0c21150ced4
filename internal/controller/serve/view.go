package serve

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/viewdelta"
)

const (
	// maxViewWait bounds one long poll, so that a gateway without news soon learns how old the state has
	// become.
	maxViewWait = 10 * time.Second
	// minViewInterval is the shortest time between two new views: comparing a view of 2,800 hosts with the one
	// before takes about 3 ms, and with 45 gateways the log receives about 45 records a second.
	minViewInterval = 500 * time.Millisecond
)

// View implements the ControllerService. It waits until the state is newer than the gateway's view, and
// returns the new view or a delta to it. If the state doesn't change in time, the response holds only the
// offset, document version and freshness of the state.
func (s *Service) View(ctx context.Context, request *v1.ViewRequest) (*v1.ViewResponse, error) {
	if !s.cfg.Follower.Ready() {
		return nil, connectError(fault.New(fault.NotReady, "the controller hasn't caught up with the log yet"))
	}
	if s.cfg.Demand != nil && request.GetGateway() != "" {
		s.cfg.Demand.RecordGatewayDemand(request.GetGateway(), request.GetDemand())
	}
	now := time.Now()
	s.gateways.recordRequest(request.GetGateway(), request.GetAfterOffset(), now)
	s.cfg.Metrics.rollout.recordLowestVersion(s.gateways.lowestVersion(now), now)
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxViewWait)
	pollCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	offset, _ := s.cfg.Follower.Wait(pollCtx, request.GetAfterOffset())
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	status := s.cfg.Follower.Status()
	response := &v1.ViewResponse{
		Offset: status.GetOffset(), ConfigVersion: status.GetConfigVersion(), FreshnessMs: status.GetFreshnessMs(),
	}
	if offset <= request.GetAfterOffset() {
		return response, nil
	}
	update, err := s.views.newerView(ctx, s.cfg.Follower, request)
	if err != nil {
		return nil, connectError(err)
	}
	response.Offset, response.ConfigVersion = update.offset, update.version
	response.View, response.Delta = update.view, update.delta
	if update.offset < status.GetOffset() {
		// The state was current later than the view, which doesn't have its last records.
		response.FreshnessMs = update.freshnessMS
	}
	s.gateways.recordSent(request.GetGateway(), update.offset, update.version)
	s.cfg.Metrics.viewBytes.Add(float64(len(update.view) + len(update.delta)))
	return response, nil
}

// viewUpdate is an update for a gateway: the whole view or a delta, with the view's offset, document version and
// freshness.
type viewUpdate struct {
	offset      int64
	version     uint64
	freshnessMS uint64
	view        []byte
	delta       []byte
}

// viewCache derives a view from the state at most once in minViewInterval, and encodes the view and each
// delta to it at most once. All gateways share them.
type viewCache struct {
	mu sync.Mutex
	// tracker computes the deltas between recent views.
	tracker viewdelta.Tracker
	view    *structs.View
	builtAt time.Time
	// builtFreshnessMS is the freshness of the state when the view was taken.
	builtFreshnessMS uint64
	// encodedView is the whole view, and encodedDeltas holds the deltas to it by their base offset. Both are
	// encoded when they are first requested.
	encodedView   []byte
	encodedDeltas map[int64][]byte
}

// newerView returns a view with a higher offset than the gateway's, as a delta if the gateway accepts one and
// the changes since its view are known.
func (c *viewCache) newerView(ctx context.Context, follower Follower, request *v1.ViewRequest) (viewUpdate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refresh(ctx, follower, request.GetAfterOffset()); err != nil {
		return viewUpdate{}, err
	}
	update := viewUpdate{offset: c.view.Offset, version: c.view.ConfigVersion, freshnessMS: c.freshnessMS()}
	var err error
	if request.GetAcceptDelta() && request.GetAfterOffset() > 0 {
		update.delta, err = c.encodeDelta(request.GetAfterOffset())
	}
	if err == nil && update.delta == nil {
		update.view, err = c.encodeView()
	}
	return update, err
}

// refresh takes a new view from the state, unless a recent view is newer than the gateway's. It waits until
// minViewInterval has passed since the last view.
func (c *viewCache) refresh(ctx context.Context, follower Follower, afterOffset int64) error {
	if c.view != nil && c.view.Offset > afterOffset && time.Since(c.builtAt) < minViewInterval {
		return nil
	}
	if err := periodic.Pause(ctx, minViewInterval-time.Since(c.builtAt)); err != nil {
		return err
	}
	// The freshness is read first: the view is at least as new as the state that it belongs to.
	freshnessMS := follower.Status().GetFreshnessMs()
	var view *structs.View
	follower.Read(func(state *fold.State) {
		if c.view == nil || state.Offset() > c.view.Offset {
			view = state.View()
		}
	})
	if view == nil && c.view == nil {
		return fault.New(fault.NotReady, "no state yet")
	}
	if view == nil {
		return nil
	}
	c.view, c.builtAt, c.builtFreshnessMS = view, time.Now(), freshnessMS
	c.tracker.Update(view)
	c.encodedView, c.encodedDeltas = nil, map[int64][]byte{}
	return nil
}

// freshnessMS returns the freshness of the view, in milliseconds.
func (c *viewCache) freshnessMS() uint64 {
	// Adding to the freshness of a state that was never current must not overflow.
	age := uint64(time.Since(c.builtAt).Milliseconds()) + 1
	return c.builtFreshnessMS + min(age, math.MaxUint64-c.builtFreshnessMS)
}

// encodeView returns the whole view as JSON.
func (c *viewCache) encodeView() ([]byte, error) {
	if c.encodedView != nil {
		return c.encodedView, nil
	}
	data, err := json.Marshal(c.view)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "view can't be encoded")
	}
	c.encodedView = data
	return data, nil
}

// encodeDelta returns the changes since the view at the base offset as JSON, or nil if they aren't known any
// more.
func (c *viewCache) encodeDelta(baseOffset int64) ([]byte, error) {
	if data, cached := c.encodedDeltas[baseOffset]; cached {
		return data, nil
	}
	delta, known := c.tracker.Delta(baseOffset)
	if !known {
		return nil, nil
	}
	data, err := json.Marshal(delta)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "delta can't be encoded")
	}
	c.encodedDeltas[baseOffset] = data
	return data, nil
}

const (
	// gatewayExpiry is the time after its last request when a gateway no longer counts as polling this
	// controller.
	gatewayExpiry = time.Minute
	// maxGateways bounds the gateways that are tracked and reported.
	maxGateways = 256
)

// gatewayProgress is the progress of one gateway: the offset of the view that it has, with the document
// version, and the same for the view that was last sent to it.
type gatewayProgress struct {
	offset, sentOffset   int64
	version, sentVersion uint64
	lastRequestAt        time.Time
}

// gatewayTable tracks the progress of the gateways that poll this controller.
type gatewayTable struct {
	mu      sync.Mutex
	entries map[string]*gatewayProgress
}

// recordRequest records a request of the gateway, which carries the offset of the view that it has. If that
// is the view that was last sent, or a newer one, the gateway has at least the document version of the sent view.
func (t *gatewayTable) recordRequest(name string, offset int64, now time.Time) {
	if name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[name]
	if entry == nil {
		if len(t.entries) >= maxGateways {
			return
		}
		entry = &gatewayProgress{}
		t.entries[name] = entry
	}
	entry.offset, entry.lastRequestAt = offset, now
	if entry.sentOffset > 0 && offset >= entry.sentOffset {
		entry.version = entry.sentVersion
	}
}

// recordSent records the offset and the document version of the view that is sent to the gateway.
func (t *gatewayTable) recordSent(name string, offset int64, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.entries[name]; entry != nil {
		entry.sentOffset, entry.sentVersion = offset, version
	}
}

// lowestVersion returns the lowest document version that a recently polling gateway has, or 0 if there is none.
func (t *gatewayTable) lowestVersion(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	lowest, found := uint64(0), false
	for _, entry := range t.entries {
		if now.Sub(entry.lastRequestAt) > gatewayExpiry {
			continue
		}
		if !found || entry.version < lowest {
			lowest, found = entry.version, true
		}
	}
	return lowest
}

// statuses returns the progress of the gateways that polled recently, in order of name, and removes the others.
func (t *gatewayTable) statuses(now time.Time) []*v1.GatewayStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gateways []*v1.GatewayStatus
	for name, entry := range t.entries {
		if now.Sub(entry.lastRequestAt) > gatewayExpiry {
			delete(t.entries, name)
			continue
		}
		gateways = append(gateways, &v1.GatewayStatus{Name: name, Offset: entry.offset, ConfigVersion: entry.version})
	}
	slices.SortFunc(gateways, func(a, b *v1.GatewayStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return gateways
}
