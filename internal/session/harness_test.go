package session

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// testWorkers are the workers of pool "p" and the directory that lists them.
type testWorkers interface {
	infra.Workers
	infra.Directory
}

// newTestConfig returns a configuration of sessions with an empty log, the workers and the queues. Its clock shows one hour
// at begin.
func newTestConfig(workers testWorkers, begin time.Time, queues ...work.Queue) Config {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return Config{Log: &infratest.Log{}, Workers: workers, Hosts: noHosts{}, NewDirectory: func() infra.Directory { return workers },
		Clock: func() time.Duration { return time.Hour + time.Since(begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
		Options: scheduler.Options{Lease: 5 * time.Second},
		ConfigureCore: func(core *scheduler.Core) {
			core.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{"p": {Name: "p"}}, Queues: queues})
		},
		AttachCore: func(*scheduler.Core) {}, DetachCore: func() {}}
}
