package demand

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// fakePeer is another controller, which reports a fixed demand for the pool "desk" or fails.
type fakePeer struct {
	slots       uint64
	unavailable atomic.Bool
}

func (p *fakePeer) Status(context.Context, *v1.StatusRequest) (*v1.StatusResponse, error) {
	if p.unavailable.Load() {
		return nil, errors.New("controller is unavailable")
	}
	return &v1.StatusResponse{Demand: []*v1.PoolDemand{{Pool: "desk", Slots: p.slots}}}, nil
}

// Guards against moves planned from a partial demand while a controller or a gateway doesn't report.
func TestDemandKnownOnlyFromAllReporters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := &fakePeer{slots: 7}
		table := New(map[string]Peer{"other": other}, time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- table.Run(ctx) }()
		report := func() { table.RecordGatewayDemand("g1", []*v1.PoolDemand{{Pool: "desk", Slots: 5}}) }
		synctest.Wait()

		_, known := table.Slots("desk")
		assert.Assert(t, !known, "no gateway has reported")
		report()
		slots, known := table.Slots("desk")
		assert.Assert(t, known && slots == 12)

		other.unavailable.Store(true)
		time.Sleep(maxReportAge + 2*pollInterval)
		report()
		_, known = table.Slots("desk")
		assert.Assert(t, !known, "the other controller doesn't report")
		cancel()
		<-done
	})
}
