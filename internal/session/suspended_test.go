package session

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// straysWorker is a worker that lists a run of an item that the scheduler doesn't know, so that it orders a stop. It is
// also the directory that lists only this worker.
type straysWorker struct {
	infra.Workers
	stops atomic.Int64
	// suspend suspends the scheduler's host during the first stop.
	suspend func()
}

func (w *straysWorker) Poll(context.Context) (infra.WorkerUpdate, error) {
	entry := infra.WorkerEntry{ID: "w", Pool: "p", Address: "a:1", Capacity: work.Resources{CPUMilli: 1000}}
	return infra.WorkerUpdate{Full: true, Entries: []infra.WorkerEntry{entry}}, nil
}

func (w *straysWorker) RenewLease(context.Context, infra.WorkerRef, infra.LeaseRenewal) (infra.WorkerReport, error) {
	time.Sleep(10 * time.Millisecond)
	return infra.WorkerReport{ClockMs: 1000, Running: []infra.ActiveRun{{Item: work.ItemID{Job: "unknown"}, Run: 1}}}, nil
}

func (w *straysWorker) Stop(context.Context, infra.WorkerRef, work.ItemID, int64, int64) (int64, error) {
	if w.stops.Add(1) == 1 {
		w.suspend()
	}
	return 0, &infra.Error{Kind: infra.Unknown, Op: "stop"}
}

// Guards against a scheduler that was suspended or far behind for some seconds, and then repeats a stop although a later
// term may have begun and kept the run.
func TestNoStopsAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := &infratest.Log{}
		var suspended atomic.Int64
		worker := &straysWorker{suspend: func() {
			log.SetDown(true)
			suspended.Store(int64(10 * time.Second))
		}}
		begin := time.Now()
		config := Config{Log: log, Workers: worker, Hosts: noHosts{}, NewDirectory: func() infra.Directory { return worker },
			Clock: func() time.Duration { return time.Since(begin) + time.Duration(suspended.Load()) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
			Options:       scheduler.Options{Lease: 5 * time.Second},
			ConfigureCore: func(*scheduler.Core) {}, DetachCore: func() {}, AttachCore: func(*scheduler.Core) {}}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		Run(ctx, config, 1)
		assert.Equal(t, worker.stops.Load(), int64(1))
	})
}
