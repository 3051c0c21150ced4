package scheduler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// Guards against a warning for each worker that ends by a move or a wave: on a day without a fault, 3,025 of them hid
// the losses. Any other end must still be logged as a loss, also that of a worker whose host was ordered before.
func TestEndsByOrderAreNoLosses(t *testing.T) {
	const id = "worker-0"
	wave := func(core *Core) *wave {
		w := core.waveByID(7)
		w.orderedWorker["host-0"] = id
		return w
	}
	for _, test := range []struct {
		name  string
		order func(core *Core)
		lost  bool
	}{
		{"no order", func(*Core) {}, true},
		{"move in flight", func(core *Core) { core.fleet.moves["host-0"] = &moveOrder{worker: id, inFlight: true} }, false},
		{"moved", func(core *Core) { core.fleet.moves["host-0"] = &moveOrder{worker: id, succeededAt: core.clock()} }, false},
		{"move of another worker of the host", func(core *Core) { core.fleet.moves["host-0"] = &moveOrder{worker: "other", inFlight: true} }, true},
		{"move of an earlier process", func(core *Core) { core.fleet.moves["host-0"] = &moveOrder{worker: id, process: -1} }, true},
		{"maintenance in flight", func(core *Core) { wave(core).inFlight["host-0"] = true }, false},
		{"maintenance without response", func(core *Core) { wave(core).outcomeUnknown["host-0"] = true }, false},
		{"down for maintenance", func(core *Core) { wave(core).orderedAt["host-0"] = core.clock() }, false},
		{"back from maintenance", func(core *Core) { wave(core).orderedAt["host-0"] = core.clock() - 2*assumedDownTime }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			output := &bytes.Buffer{}
			logger := logrus.New()
			logger.SetOutput(output)
			tc := newTestCore(1)
			tc.logger = logrus.NewEntry(logger)
			tc.addWorker(0, 8)
			tc.SetHosts([]infra.Host{{ID: "host-0", Pool: simPool, State: infra.HostUp, WorkerID: id}}, tc.now)
			test.order(tc.Core)
			output.Reset()
			for range 3 {
				tc.RenewalFailed(id, &infra.Error{Kind: infra.Unknown, Op: "hold"})
				tc.now += time.Millisecond
			}
			assert.Equal(t, strings.Count(output.String(), "event=worker_lost"), map[bool]int{true: 1}[test.lost], output.String())
			assert.Equal(t, strings.Contains(output.String(), "level=warning"), test.lost)
			assert.Equal(t, strings.Count(output.String(), "event=worker_ended_by_order"), map[bool]int{false: 1}[test.lost])
		})
	}
}
