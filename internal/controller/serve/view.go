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
	"turmericyoke/internal/structs"
)

const (
	// maxViewWait bounds one long poll, so that a gateway soon learns that the freshness grows.
	maxViewWait = 10 * time.Second
	// viewInterval bounds how often a view is encoded: at 45 holders the log carries about 45
	// records a second, and a view of 2,800 hosts has about 500 KB.
	viewInterval = 200 * time.Millisecond
)

// View implements the ControllerService.
func (s *Service) View(ctx context.Context, request *v1.ViewRequest) (*v1.ViewResponse, error) {
	if !s.cfg.Follower.Ready() {
		return nil, connectError(fault.New(fault.NotReady, "the controller hasn't caught up with the log yet"))
	}
	s.gateways.took(request.GetGateway(), request.GetAfterOffset(), time.Now())
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
	view, err := s.views.get(ctx, s.cfg.Follower, request.GetAfterOffset())
	if err != nil {
		return nil, connectError(err)
	}
	response.Offset, response.ConfigVersion, response.View = view.offset, view.version, view.data
	s.gateways.sent(request.GetGateway(), view.offset, view.version)
	s.cfg.Metrics.viewBytes.Add(float64(len(view.data)))
	return response, nil
}

// encodedView is one view, shared by all gateways.
type encodedView struct {
	offset  int64
	version uint64
	data    []byte
	made    time.Time
}

// viewCache encodes a view at most once in viewInterval.
type viewCache struct {
	mu   sync.Mutex
	last encodedView
}

// get returns a view above after. It waits until viewInterval has passed since the last encoding.
func (c *viewCache) get(ctx context.Context, follower Follower, after int64) (encodedView, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.offset > after && time.Since(c.last.made) < viewInterval {
		return c.last, nil
	}
	if err := pause(ctx, viewInterval-time.Since(c.last.made)); err != nil {
		return encodedView{}, err
	}
	var view *structs.View
	follower.Read(func(state *fold.State) {
		if state.Offset() != c.last.offset {
			view = state.View()
		}
	})
	if view == nil {
		return c.last, nil
	}
	data, err := json.Marshal(view)
	if err != nil {
		return encodedView{}, fault.Wrap(fault.Internal, err, "view can't be encoded")
	}
	c.last = encodedView{offset: view.Offset, version: view.ConfigVersion, data: data, made: time.Now()}
	return c.last, nil
}

func pause(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

const (
	// gatewayAge drops gateways from the report that no longer ask this controller.
	gatewayAge = time.Minute
	// maxGateways bounds the report.
	maxGateways = 256
)

// gatewayProgress is what one gateway has taken.
type gatewayProgress struct {
	offset, sentOffset   int64
	version, sentVersion uint64
	asked                time.Time
}

// gatewayTable keeps the progress of the gateways that ask this controller.
type gatewayTable struct {
	mu      sync.Mutex
	entries map[string]*gatewayProgress
}

// took notes that the gateway has the view at offset: its next request names what it has.
func (t *gatewayTable) took(name string, offset int64, now time.Time) {
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
	entry.offset, entry.asked = offset, now
	if entry.sentOffset > 0 && offset >= entry.sentOffset {
		entry.version = entry.sentVersion
	}
}

func (t *gatewayTable) sent(name string, offset int64, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.entries[name]; entry != nil {
		entry.sentOffset, entry.sentVersion = offset, version
	}
}

// list returns the gateways that asked lately, in order of name.
func (t *gatewayTable) list(now time.Time) []*v1.GatewayStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*v1.GatewayStatus
	for name, entry := range t.entries {
		if now.Sub(entry.asked) > gatewayAge {
			delete(t.entries, name)
			continue
		}
		list = append(list, &v1.GatewayStatus{Name: name, Offset: entry.offset, ConfigVersion: entry.version})
	}
	slices.SortFunc(list, func(a, b *v1.GatewayStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return list
}
