package session

import (
	"context"
	"io"
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

// fencedWorker is a worker that refuses lease renewals because it has seen a higher fencing token. It is also
// the directory that lists only this worker.
type fencedWorker struct{ infra.Workers }

func (fencedWorker) RenewLease(context.Context, infra.WorkerRef, infra.LeaseRenewal) (infra.WorkerReport, error) {
	return infra.WorkerReport{}, &infra.Error{Kind: infra.Fenced, Op: "hold"}
}

func (fencedWorker) Poll(context.Context) (infra.WorkerUpdate, error) {
	// Lists the worker only after the append to the log, which is down by then, has begun.
	time.Sleep(200 * time.Millisecond)
	entry := infra.WorkerEntry{ID: "w", Pool: "p", Address: "a:1", Capacity: work.Resources{CPUMilli: 1000}}
	return infra.WorkerUpdate{Full: true, Entries: []infra.WorkerEntry{entry}}, nil
}

// noHosts is a fleet without hosts.
type noHosts struct{ infra.Hosts }

func (noHosts) List(context.Context) ([]infra.Host, error) { return nil, nil }

// Guards against a term that continues after a worker has refused its fencing token, because its append still
// waits for a log that doesn't respond (incident 0002).
func TestFencedTermEndsWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := &infratest.Log{}
		start := time.Now()
		config := Config{Log: log, Workers: fencedWorker{}, Hosts: noHosts{}, NewDirectory: func() infra.Directory { return fencedWorker{} },
			Clock: func() time.Duration { return time.Since(start) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
			Options:       scheduler.Options{Lease: 5 * time.Second},
			ConfigureCore: func(*scheduler.Core) {}, DetachCore: func() {},
			AttachCore: func(core *scheduler.Core) {
				log.SetDown(true)
				core.Submit(&work.Job{ID: "j", Steps: []work.Step{{Count: 1}}}, make(chan scheduler.Outcome, 1))
			}}
		Run(t.Context(), config, 1)
		assert.Assert(t, time.Since(start) < time.Second, "the fenced term ended only after %s", time.Since(start))
	})
}
