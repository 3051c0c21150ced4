package placement

import (
	"cmp"
	"slices"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
)

const (
	// rampUpTime is the time after its start in which a job's usage may still grow. During it, the job is
	// allocated at least its estimate.
	rampUpTime = 30 * time.Second
	// peakHalfLife is the time between two reports after which the excess of the peak over the reported usage
	// is halved.
	peakHalfLife = time.Minute
	// maxReportInterval is the longest time between two reports for which rising usage is extrapolated.
	maxReportInterval = 10 * time.Second
)

// WorkerSpec describes a worker that accepts new jobs of a pool.
type WorkerSpec struct {
	Name     string
	Pool     string
	Capacity Vector
}

// Task is a job that runs on a worker, or whose start on it is proposed, with what is known of its usage.
type Task struct {
	Job         string
	Attempt     uint32
	Team        string
	Pool        string
	Worker      string
	Class       v1.JobClass
	Declared    Vector
	StartOffset int64
	Preemptions uint32
	// Terminating and Throttled are as in RunningJob.
	Terminating bool
	Throttled   bool

	addedAt time.Time
	// reportedAt and lastUsage are the time and the content of the last usage report.
	reportedAt time.Time
	lastUsage  Vector
	// peakUsage is the highest reported usage; it decays towards the current usage.
	peakUsage Vector
	// size is the allocated size without the effect of throttling.
	size Vector
	// ratioUpdated is set once the team's usage ratio has been updated with the job's peak usage.
	ratioUpdated bool
}

// Cache holds the workers, the running jobs, and the usage ratios learned from them. Allocated sizes are
// recomputed when a report or change arrives, not in each planning cycle.
type Cache struct {
	workers map[string]*worker
	tasks   map[string]*Task
	// used is the sum of the effective sizes of each team's tasks in a pool.
	used   map[poolTeam]Vector
	ratios map[poolTeam]*UsageRatio
	// byPool lists the serving workers of each pool by name; it is rebuilt when the workers change.
	byPool map[string][]*worker
}

// poolTeam is a key for what is kept per pool and team.
type poolTeam struct{ pool, team string }

// worker is a worker with its tasks.
type worker struct {
	WorkerSpec
	// serving is set while the worker accepts new jobs.
	serving bool
	// used is the sum of the effective sizes of the tasks.
	used  Vector
	tasks []*Task
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		workers: map[string]*worker{}, tasks: map[string]*Task{}, used: map[poolTeam]Vector{},
		ratios: map[poolTeam]*UsageRatio{}, byPool: map[string][]*worker{},
	}
}

// SetWorkers replaces the workers that accept new jobs. The tasks of other workers remain in the cache and still
// count towards the usage of their teams.
func (c *Cache) SetWorkers(specs []WorkerSpec) {
	for _, w := range c.workers {
		w.serving = false
	}
	for _, spec := range specs {
		w := c.worker(spec.Name)
		w.WorkerSpec = spec
		w.serving = true
	}
	c.byPool = map[string][]*worker{}
	for name, w := range c.workers {
		if !w.serving && len(w.tasks) == 0 {
			delete(c.workers, name)
			continue
		}
		if w.serving {
			c.byPool[w.Pool] = append(c.byPool[w.Pool], w)
		}
	}
	for _, workers := range c.byPool {
		slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// worker returns the worker of the name, which it adds without a pool or capacity if it is unknown.
func (c *Cache) worker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{WorkerSpec: WorkerSpec{Name: name}}
		c.workers[name] = w
	}
	return w
}

// AddTask adds a running job. If the attempt is already known on the worker, only its state is updated.
func (c *Cache) AddTask(task Task, now time.Time) {
	if old := c.tasks[task.Job]; old != nil {
		if old.Attempt == task.Attempt && old.Worker == task.Worker {
			old.Terminating = old.Terminating || task.Terminating
			old.StartOffset = task.StartOffset
			return
		}
		c.RemoveTask(task.Job)
	}
	task.addedAt = now
	task.size = c.ratio(task.Pool, task.Team).Estimate(task.Declared)
	w := c.worker(task.Worker)
	if w.Capacity != (Vector{}) {
		task.size = task.size.Min(w.Capacity)
	}
	c.tasks[task.Job] = &task
	w.tasks = append(slices.Clip(w.tasks), &task)
	c.addUsage(&task, task.size)
}

// RemoveTask removes a job. It does nothing if the job is unknown.
func (c *Cache) RemoveTask(job string) {
	task := c.tasks[job]
	if task == nil {
		return
	}
	c.addUsage(task, Vector{}.Minus(task.effectiveSize()))
	delete(c.tasks, job)
	w := c.workers[task.Worker]
	w.tasks = slices.DeleteFunc(slices.Clone(w.tasks), func(t *Task) bool { return t == task })
}

// SetTerminating sets whether a job is being preempted or cancelled.
func (c *Cache) SetTerminating(job string, terminating bool) {
	if task := c.tasks[job]; task != nil {
		task.Terminating = terminating
	}
}

// SetThrottled sets whether a job is limited to ThrottledCPUFraction of its CPU usage.
func (c *Cache) SetThrottled(job string, throttled bool) {
	task := c.tasks[job]
	if task == nil {
		return
	}
	c.addUsage(task, Vector{}.Minus(task.effectiveSize()))
	task.Throttled = throttled
	c.addUsage(task, task.effectiveSize())
}

// RecordUsage updates the size of a job from a usage report, which is as old as the platform's reporting lag.
// Reports of throttled jobs are ignored, since they say nothing about the usage without throttling.
func (c *Cache) RecordUsage(job string, attempt uint32, used Vector, now time.Time) {
	task := c.tasks[job]
	if task == nil || task.Attempt != attempt || task.Throttled {
		return
	}
	previousSize := task.effectiveSize()
	task.updatePeak(used, now)
	if !task.ratioUpdated && now.Sub(task.addedAt) >= rampUpTime {
		task.ratioUpdated = true
		c.ratio(task.Pool, task.Team).observe(task.Declared, task.peakUsage)
	}
	task.updateSize(c.ratio(task.Pool, task.Team).Estimate(task.Declared), used, now)
	c.addUsage(task, task.effectiveSize().Minus(previousSize))
	task.reportedAt = now
	task.lastUsage = used
}

// updatePeak raises the peak to the reported usage, or lets it decay towards that.
func (t *Task) updatePeak(used Vector, now time.Time) {
	if !t.reportedAt.IsZero() {
		decay := float64(now.Sub(t.reportedAt)) / float64(peakHalfLife+now.Sub(t.reportedAt))
		for i := range t.peakUsage {
			t.peakUsage[i] -= int64(decay * float64(max(0, t.peakUsage[i]-used[i])))
		}
	}
	t.peakUsage = t.peakUsage.Max(used)
}

// updateSize sets the allocated size: the peak with the safety margin and an extrapolated rise, at least the
// estimate during rampUpTime, and never fewer accelerators than declared. The rise is added because a report is
// as old as the platform's reporting lag, during which rising usage has probably risen further.
func (t *Task) updateSize(estimate, used Vector, now time.Time) {
	size := t.peakUsage
	for i := CPU; i <= Memory; i++ {
		size[i] += int64(SafetyMargin*float64(size[i])) + t.extrapolatedRise(i, used, now)
	}
	if now.Sub(t.addedAt) < rampUpTime {
		size = size.Max(estimate)
	}
	size[Accelerators] = max(t.Declared[Accelerators], used[Accelerators])
	t.size = size
}

// extrapolatedRise returns the rise of a resource between the last two reports. The usage is assumed to rise by
// as much again by the time of the next report.
func (t *Task) extrapolatedRise(i int, used Vector, now time.Time) int64 {
	if t.reportedAt.IsZero() || used[i] <= t.lastUsage[i] || now.Sub(t.reportedAt) > maxReportInterval {
		return 0
	}
	return used[i] - t.lastUsage[i]
}

// effectiveSize returns the capacity that the job takes on its worker, which is less while it is throttled.
func (t *Task) effectiveSize() Vector {
	size := t.size
	if t.Throttled {
		size[CPU] = int64(float64(size[CPU]) * ThrottledCPUFraction)
	}
	return size
}

// addUsage adds a change of the task's effective size to the usage of its worker and team.
func (c *Cache) addUsage(task *Task, change Vector) {
	w := c.worker(task.Worker)
	w.used = w.used.Plus(change)
	key := poolTeam{task.Pool, task.Team}
	total := c.used[key].Plus(change)
	if total == (Vector{}) {
		delete(c.used, key)
		return
	}
	c.used[key] = total
}

// ratio returns the usage ratio of the team in the pool, which it creates if needed.
func (c *Cache) ratio(pool, team string) *UsageRatio {
	key := poolTeam{pool, team}
	if c.ratios[key] == nil {
		initial := initialUsageRatio()
		c.ratios[key] = &initial
	}
	return c.ratios[key]
}

// Task returns a copy of the task of a running job, if it is known.
func (c *Cache) Task(job string) (Task, bool) {
	task := c.tasks[job]
	if task == nil {
		return Task{}, false
	}
	return *task, true
}
