package session

import (
	"time"

	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/telemetry"
)

// stages are the stages of a session that use its core.
type stages struct {
	// plan collects batches, commit applies those that are durable, and start decides whether a start may still be sent
	// and applies its outcome.
	plan, commit, start *telemetry.Stage
	// renewal plans the lease renewals of workers, and report applies the responses.
	renewal, report *telemetry.Stage
	// workers applies changes of the list of workers, and hosts applies the list of hosts and plans orders to them.
	workers, hosts *telemetry.Stage
}

func newStages(usage *telemetry.Usage) stages {
	return stages{plan: usage.Stage("plan"), commit: usage.Stage("commit"), start: usage.Stage("start"), renewal: usage.Stage("renewal"), report: usage.Stage("report"),
		workers: usage.Stage("workers"), hosts: usage.Stage("hosts")}
}

// collect collects a batch from the core.
func (s *session) collect() scheduler.Batch {
	defer s.stages.plan.Since(time.Now())
	return s.core.Collect()
}
