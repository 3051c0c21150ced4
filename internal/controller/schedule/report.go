package schedule

import (
	"context"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/placement"
)

// report asks for the reports of the workers that run tasks of this controller's pools.
func (l *Loop) report(ctx context.Context) {
	workers := l.reportedWorkers()
	if len(workers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout)
	defer cancel()
	response, err := l.Workers.Report(ctx, &v1.ReportRequest{Workers: workers})
	if err != nil {
		return
	}
	l.note(func(now time.Time) {
		for _, report := range response.GetTasks() {
			l.takeReport(report, now)
		}
	})
}

func (l *Loop) reportedWorkers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := map[string]bool{}
	var workers []string
	for _, pool := range l.pools {
		if !pool.joined || pool.rank >= actingRanks {
			continue
		}
		for _, t := range pool.tasks {
			if !seen[t.job.Worker] {
				seen[t.job.Worker] = true
				workers = append(workers, t.job.Worker)
			}
		}
	}
	return workers
}

// takeReport takes the report of one attempt. An attempt that the fold knows no more is ignored.
func (l *Loop) takeReport(report *v1.TaskReport, now time.Time) {
	t := l.findTask(report.GetJob())
	if t == nil || t.job.Attempt != report.GetAttempt() || t.job.Worker != report.GetWorker() {
		return
	}
	if report.GetEnded() {
		t.end(report.GetOutcome(), now)
		l.attend(t)
		return
	}
	if report.GetUsage() == nil {
		return
	}
	if !t.healthy {
		t.healthy = true
		l.source.Health.RecordSuccess(t.job.Worker, now)
	}
	l.source.Cache.RecordUsage(t.job.ID, t.job.Attempt, placement.VectorOf(jobs.ResourcesOf(report.GetUsage())), now)
}

func (l *Loop) findTask(job string) *task {
	known, found := l.source.Cache.Task(job)
	if !found || l.pools[known.Pool] == nil {
		return nil
	}
	return l.pools[known.Pool].tasks[job]
}
