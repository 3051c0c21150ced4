package session

import (
	"bytes"
	"context"
	"strings"
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

// panickingParts are dependencies of a session of which one panics, a second after the start.
type panickingParts struct {
	slowStarts
	part  string
	begin time.Time
}

func (p *panickingParts) panicIn(part string) {
	if p.part == part && time.Since(p.begin) >= time.Second {
		panic("unexpected value")
	}
}

func (p *panickingParts) RenewLease(ctx context.Context, worker infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	p.panicIn("renewal")
	return p.slowStarts.RenewLease(ctx, worker, request)
}

func (p *panickingParts) Start(ctx context.Context, worker infra.WorkerRef, order infra.StartOrder) (int64, error) {
	p.panicIn("start")
	return p.slowStarts.Start(ctx, worker, order)
}

func (p *panickingParts) Poll(ctx context.Context) (infra.WorkerUpdate, error) {
	p.panicIn("list of workers")
	return p.slowStarts.Poll(ctx)
}

// panickingLog is a log whose appends panic a second after the start, if that is the part of panickingParts.
type panickingLog struct {
	infratest.Log
	parts *panickingParts
}

func (l *panickingLog) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	l.parts.panicIn("append")
	return l.Log.Append(ctx, topic, records, options)
}

// panickingHosts is the list of hosts of panickingParts.
type panickingHosts struct {
	infra.Hosts
	parts *panickingParts
}

func (h panickingHosts) List(context.Context) ([]infra.Host, error) {
	h.parts.panicIn("list of hosts")
	return nil, nil
}

// Guards against a process that ends, with all requests of callers, because a part of the scheduler panics: the term
// ends, callers that wait for it get an outcome, and requests aren't passed to it any more.
func TestPanicEndsTheTermOnly(t *testing.T) {
	for _, part := range []string{"renewal", "start", "list of workers", "list of hosts", "append", "configuration"} {
		t.Run(part, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lines bytes.Buffer
				logger := logrus.New()
				logger.SetOutput(&lines)
				parts := &panickingParts{part: part, begin: time.Now()}
				queue := work.Queue{Name: "q", Pool: "p"}
				step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1}}
				var attached *scheduler.Core
				detached := false
				submittedAt, waiting := 1500*time.Millisecond, make(chan scheduler.Outcome, 1)
				if part == "append" {
					// The append that panics contains the job.
					submittedAt = time.Second
				}
				config := Config{Log: &panickingLog{parts: parts}, Workers: parts, Hosts: panickingHosts{parts: parts}, NewDirectory: func() infra.Directory { return parts },
					Clock: func() time.Duration { return time.Hour + time.Since(parts.begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
					Options: scheduler.Options{Lease: 5 * time.Second},
					ConfigureCore: func(core *scheduler.Core) {
						core.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{"p": {Name: "p"}}, Queues: []work.Queue{queue}})
						if part == "configuration" {
							panic("unexpected value")
						}
					},
					AttachCore: func(core *scheduler.Core) {
						attached = core
						time.AfterFunc(submittedAt, func() {
							core.Submit(&work.Job{ID: "j", Queue: queue, Steps: []work.Step{step}}, waiting)
						})
					},
					DetachCore: func() { detached = true }}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				Run(ctx, config, 1)
				assert.NilError(t, ctx.Err(), "the term went on")
				assert.Assert(t, strings.Contains(lines.String(), "event=term_panicked"))
				time.Sleep(3 * time.Second)
				if attached != nil {
					assert.Assert(t, detached)
					assert.Equal(t, len(waiting), 1, "the caller got no outcome")
					outcome := make(chan scheduler.Outcome, 1)
					attached.Submit(&work.Job{ID: "late", Queue: queue, Steps: []work.Step{step}}, outcome)
					assert.Equal(t, (<-outcome).Kind, scheduler.OutcomeTermOver)
				}
			})
		})
	}
}
