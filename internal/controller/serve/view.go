package serve

import (
	"cmp"
	"context"
	"encoding/json"
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
	// maxViewWait bounds one long poll, so that a gateway soon learns that the freshness grows.
	maxViewWait = 10 * time.Second
	// minViewInterval bounds how often a view is made: comparing a view of 2,800 hosts with the one
	// before takes about 3 ms, and at 45 holders the log carries about 45 records a second.
	minViewInterval = 500 * time.Millisecond
)

// View implements the ControllerService.
func (s *Service) View(ctx context.Context, request *v1.ViewRequest) (*v1.ViewResponse, error) {
	if !s.cfg.Follower.Ready() {
		return nil, connectError(fault.New(fault.NotReady, "the controller hasn't caught up with the log yet"))
	}
	if s.cfg.Demand != nil && request.GetGateway() != "" {
		s.cfg.Demand.Report(request.GetGateway(), request.GetDemand())
	}
	now := time.Now()
	s.gateways.recordRequest(request.GetGateway(), request.GetAfterOffset(), now)
	s.cfg.Metrics.rollout.recordLowestVersion(s.gateways.lowestVersion(now), now)
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxViewWait)
	poll, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	offset, _ := s.cfg.Follower.Wait(poll, request.GetAfterOffset())
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
	answer, err := s.views.newerView(ctx, s.cfg.Follower, request)
	if err != nil {
		return nil, connectError(err)
	}
	response.Offset, response.ConfigVersion = answer.offset, answer.version
	response.View, response.Delta = answer.view, answer.delta
	s.gateways.recordSent(request.GetGateway(), answer.offset, answer.version)
	s.cfg.Metrics.viewBytes.Add(float64(len(answer.view) + len(answer.delta)))
	return response, nil
}

// encodedAnswer is a whole view or a delta to it.
type encodedAnswer struct {
	offset  int64
	version uint64
	view    []byte
	delta   []byte
}

// viewCache derives views and deltas at most once in viewInterval; gateways share them.
type viewCache struct {
	mu      sync.Mutex
	tracker viewdelta.Tracker
	view    *structs.View
	builtAt time.Time
	// encodedView is the encoded view, and deltas the encoded deltas to it by their base; both are made
	// when they are first asked for.
	encodedView   []byte
	encodedDeltas map[int64][]byte
}

// newerView answers with a view above the one that the gateway has.
func (c *viewCache) newerView(ctx context.Context, follower Follower, request *v1.ViewRequest) (encodedAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refresh(ctx, follower, request.GetAfterOffset()); err != nil {
		return encodedAnswer{}, err
	}
	answer := encodedAnswer{offset: c.view.Offset, version: c.view.ConfigVersion}
	var err error
	if request.GetAcceptDelta() && request.GetAfterOffset() > 0 {
		answer.delta, err = c.encodeDelta(request.GetAfterOffset())
	}
	if err == nil && answer.delta == nil {
		answer.view, err = c.encodeView()
	}
	return answer, err
}

// refresh takes a new view from the state, once viewInterval has passed since the last one.
func (c *viewCache) refresh(ctx context.Context, follower Follower, after int64) error {
	if c.view != nil && c.view.Offset > after && time.Since(c.builtAt) < minViewInterval {
		return nil
	}
	if err := periodic.Pause(ctx, minViewInterval-time.Since(c.builtAt)); err != nil {
		return err
	}
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
	c.view, c.builtAt = view, time.Now()
	c.tracker.Update(view)
	c.encodedView, c.encodedDeltas = nil, map[int64][]byte{}
	return nil
}

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

// encodeDelta returns nil when the tracker doesn't know what changed since base.
func (c *viewCache) encodeDelta(base int64) ([]byte, error) {
	if data, made := c.encodedDeltas[base]; made {
		return data, nil
	}
	delta, known := c.tracker.Delta(base)
	if !known {
		return nil, nil
	}
	data, err := json.Marshal(delta)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "delta can't be encoded")
	}
	c.encodedDeltas[base] = data
	return data, nil
}

const (
	// gatewayExpiry drops gateways from the report that no longer ask this controller.
	gatewayExpiry = time.Minute
	// maxGateways bounds the report.
	maxGateways = 256
)

// gatewayProgress is what one gateway has taken.
type gatewayProgress struct {
	offset, sentOffset   int64
	version, sentVersion uint64
	lastRequestAt        time.Time
}

// gatewayTable keeps the progress of the gateways that ask this controller.
type gatewayTable struct {
	mu      sync.Mutex
	entries map[string]*gatewayProgress
}

// recordRequest notes that the gateway has the view at offset: its next request names what it has.
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

func (t *gatewayTable) recordSent(name string, offset int64, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.entries[name]; entry != nil {
		entry.sentOffset, entry.sentVersion = offset, version
	}
}

// lowestVersion returns the lowest version among the gateways that asked lately, or 0.
func (t *gatewayTable) lowestVersion(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	least, found := uint64(0), false
	for _, entry := range t.entries {
		if now.Sub(entry.lastRequestAt) > gatewayExpiry {
			continue
		}
		if !found || entry.version < least {
			least, found = entry.version, true
		}
	}
	return least
}

// statuses returns the gateways that asked lately, in order of name.
func (t *gatewayTable) statuses(now time.Time) []*v1.GatewayStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*v1.GatewayStatus
	for name, entry := range t.entries {
		if now.Sub(entry.lastRequestAt) > gatewayExpiry {
			delete(t.entries, name)
			continue
		}
		list = append(list, &v1.GatewayStatus{Name: name, Offset: entry.offset, ConfigVersion: entry.version})
	}
	slices.SortFunc(list, func(a, b *v1.GatewayStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return list
}
