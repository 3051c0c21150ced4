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

// peer is another controller.
type peer struct {
	slots uint64
	down  atomic.Bool
}

func (p *peer) Status(context.Context, *v1.StatusRequest) (*v1.StatusResponse, error) {
	if p.down.Load() {
		return nil, errors.New("down")
	}
	return &v1.StatusResponse{Demand: []*v1.PoolDemand{{Pool: "desk", Slots: p.slots}}}, nil
}

// Guards against moves that are planned from a part of the demand, when a controller or a gateway
// can't be heard.
func TestDemandIsKnownOnlyAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := &peer{slots: 7}
		table := New(map[string]Peer{"other": other}, time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- table.Run(ctx) }()
		report := func() { table.Report("g1", []*v1.PoolDemand{{Pool: "desk", Slots: 5}}) }
		synctest.Wait()

		_, known := table.Slots("desk")
		assert.Assert(t, !known, "no gateway has reported")
		report()
		slots, known := table.Slots("desk")
		assert.Assert(t, known && slots == 12)

		other.down.Store(true)
		time.Sleep(recent + 2*interval)
		report()
		_, known = table.Slots("desk")
		assert.Assert(t, !known, "the other controller is silent")
		cancel()
		<-done
	})
}
