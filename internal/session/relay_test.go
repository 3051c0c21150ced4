package session

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// lostRelay is a worker whose first calls of each kind fail with their relay. The starts carry a send limit.
type lostRelay struct {
	slowStarts
	lostStarts, lostRenewals, unlimited, leases atomic.Int64

	runsMu sync.Mutex
	runs   []infra.ActiveRun
}

func relayFailed() error {
	time.Sleep(20 * time.Millisecond)
	return &infra.Error{Kind: infra.RelayFailed, Op: "relay"}
}

func (w *lostRelay) Start(ctx context.Context, _ infra.WorkerRef, order infra.StartOrder) (int64, error) {
	if limit, limited := infra.SendLimit(ctx); !limited || limit > scheduler.LeaderLease {
		w.unlimited.Add(1)
	}
	if w.lostStarts.Add(1)%2 == 1 {
		return 0, relayFailed()
	}
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	w.runs = append(w.runs, infra.ActiveRun{Item: order.Item, Run: order.Run})
	return 0, nil
}

func (w *lostRelay) RenewLease(_ context.Context, _ infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	if w.lostRenewals.Add(1)%2 == 1 {
		return infra.WorkerReport{}, relayFailed()
	}
	if request.LeaseEndMs > 0 {
		w.leases.Add(1)
	}
	time.Sleep(request.Wait)
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	return infra.WorkerReport{ClockMs: time.Now().UnixMilli(), Running: append([]infra.ActiveRun(nil), w.runs...)}, nil
}

// Guards against a worker that counts as silent because a relay failed: its starts would be given up, and its leases lapse.
func TestFailedRelayIsNoSilenceOfTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		worker := &lostRelay{}
		var core *scheduler.Core
		config := newTestConfig(worker, begin, work.Queue{Name: "q", Pool: "p"})
		config.AttachCore = func(attached *scheduler.Core) {
			core = attached
			core.Submit(&work.Job{ID: "j", Queue: work.Queue{Name: "q", Pool: "p"}, Steps: []work.Step{{Count: 10, Need: work.Resources{CPUMilli: 1}, Estimate: time.Minute}}}, make(chan scheduler.Outcome, 1))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		Run(ctx, config, 1)
		assert.Equal(t, len(worker.runs), 10)
		assert.Equal(t, worker.unlimited.Load(), int64(0), "starts without a limit by the last confirmed append")
		assert.Assert(t, worker.leases.Load() > 0)
		assert.Assert(t, !core.Unresponsive("w"))
	})
}
