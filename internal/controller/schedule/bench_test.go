package schedule

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/standin/workersvc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
)

// BenchmarkStep measures one step of the loop, including the passes over all tasks, without changes of the
// state or renewals. Each worker has ten running tasks, and this controller has rank 0 for all 25 pools.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{700, 1400, 2800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := &fakeFold{jobs: jobs.New(), limit: map[string]uint64{"a": 1 << 40}, reserved: map[string]uint64{}, doc: &structs.Document{Teams: []structs.Team{{Name: "a", Share: 1, UpperLimit: 1 << 40}}, Keys: []structs.Key{{ID: "ka", Team: "a"}}}}
			for i := range 25 {
				f.doc.Pools = append(f.doc.Pools, structs.Pool{Name: fmt.Sprintf("p%d", i)})
			}
			for i := range workers {
				f.doc.Hosts = append(f.doc.Hosts, structs.Host{Name: fmt.Sprintf("w%d", i), Pool: fmt.Sprintf("p%d", i%25), Capacity: structs.Resources{CPUMilli: 64000, MemoryMiB: 64000}})
				f.hosts = append(f.hosts, inventory.Host{Name: f.doc.Hosts[i].Name, Pool: f.doc.Hosts[i].Pool, Phase: inventory.PhaseServing})
			}
			now := time.Unix(1000, 0)
			rank := fixedRank(0)
			settings := DefaultSettings()
			settings.Lease = time.Hour
			l := New(Dependencies{Reader: f, Ranker: &rank, Proposer: f, Workers: workersvc.New(workersvc.DefaultSettings(), time.Now), Now: func() time.Time { return now }, Log: telemetry.NewLogger(io.Discard, "controller", "a")}, settings)
			for i := range 10 * workers {
				f.offset = int64(i + 1)
				f.jobs.Live[fmt.Sprintf("j%d", i)] = &jobs.Job{ID: fmt.Sprintf("j%d", i), Team: "a", Pool: fmt.Sprintf("p%d", i%25), Units: 1, Class: v1.JobClass_JOB_CLASS_BATCH, Phase: jobs.PhaseRunning, Attempt: 1, Worker: fmt.Sprintf("w%d", i%workers), Resources: structs.Resources{CPUMilli: 5000, MemoryMiB: 5000}}
			}
			l.sync(now)
			for _, pool := range l.pools {
				for _, t := range pool.tasks {
					t.confirmed = true
				}
			}
			calls := &errgroup.Group{}
			for b.Loop() {
				now = now.Add(settings.Tick)
				l.step(context.Background(), calls)
			}
		})
	}
}
