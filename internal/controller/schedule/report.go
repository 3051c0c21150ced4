package schedule

import (
	"context"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/placement"
)

// pollReports reads the reports of the workers that run tasks of the pools in which this controller has an
// acting rank.
func (l *Loop) pollReports(ctx context.Context) {
	workers := l.workersToPoll()
	if len(workers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout)
	defer cancel()
	sentAt := l.Now()
	response, err := l.Workers.Report(ctx, &v1.ReportRequest{Workers: workers})
	if err != nil {
		return
	}
	l.update(func(now time.Time) {
		l.recordPoll(workers, sentAt)
		for _, report := range response.GetTasks() {
			l.applyReport(report, now)
		}
	})
}

// recordPoll records a poll that was sent at the given time for all tasks of the workers. The tasks that it lists
// are applied afterwards.
func (l *Loop) recordPoll(workers []string, sentAt time.Time) {
	polled := make(map[string]bool, len(workers))
	for _, worker := range workers {
		polled[worker] = true
	}
	for _, pool := range l.pools {
		for _, t := range pool.tasks {
			if polled[t.job.Worker] {
				t.recordPoll(sentAt)
			}
		}
	}
}

// workersToPoll returns the workers whose reports are to be polled.
func (l *Loop) workersToPoll() []string {
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

// applyReport applies the report of one attempt. Reports of attempts that aren't running according to the
// fold are ignored.
func (l *Loop) applyReport(report *v1.TaskReport, now time.Time) {
	t := l.findTask(report.GetJob())
	if t == nil || t.job.Attempt != report.GetAttempt() || t.job.Worker != report.GetWorker() {
		return
	}
	if report.GetEnded() {
		t.markEnded(report.GetOutcome(), now)
		l.markBusy(t)
		return
	}
	t.recordListed()
	if report.GetUsage() == nil {
		return
	}
	if !t.successRecorded {
		t.successRecorded = true
		l.source.Health.RecordSuccess(t.job.Worker, now)
	}
	l.source.Cache.RecordUsage(t.job.ID, t.job.Attempt, placement.VectorOf(jobs.ResourcesOf(report.GetUsage())), now)
}

// findTask returns the task of the job, or nil if there is none.
func (l *Loop) findTask(job string) *task {
	cached, found := l.source.Cache.Task(job)
	if !found || l.pools[cached.Pool] == nil {
		return nil
	}
	return l.pools[cached.Pool].tasks[job]
}
