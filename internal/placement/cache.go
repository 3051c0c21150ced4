package placement

import (
	"cmp"
	"slices"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
)

const (
	// rampUpTime is the time in which a job may still be growing; its usage counts as at least the estimate.
	rampUpTime = 30 * time.Second
	// peakHalfLife halves the excess of an old peak over the current usage.
	peakHalfLife = time.Minute
	// maxReportInterval bounds the age that a report is taken to have, in the extrapolation of rising usage.
	maxReportInterval = 10 * time.Second
)

// WorkerSpec is a worker that takes new work in a pool.
type WorkerSpec struct {
	Name     string
	Pool     string
	Capacity Vector
}

// Task is a job that runs, or that is about to start, on a worker.
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
	// Terminating and Throttled are as in Running.
	Terminating bool
	Throttled   bool

	addedAt      time.Time
	reportedAt   time.Time
	lastUsage    Vector
	peakUsage    Vector
	size         Vector
	ratioUpdated bool
}

// Cache holds workers, running jobs and what their usage teaches. Sizes are recomputed when a
// report or a change comes, not in each cycle.
type Cache struct {
	workers map[string]*worker
	tasks   map[string]*Task
	used    map[poolTeam]Vector
	ratios  map[poolTeam]*UsageRatio
	// byPool lists workers in order of name; it is rebuilt when the workers change.
	byPool map[string][]*worker
}

type poolTeam struct{ pool, team string }

type worker struct {
	WorkerSpec
	serving bool
	used    Vector
	tasks   []*Task
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		workers: map[string]*worker{}, tasks: map[string]*Task{}, used: map[poolTeam]Vector{},
		ratios: map[poolTeam]*UsageRatio{}, byPool: map[string][]*worker{},
	}
}

// SetWorkers replaces the workers that take new work. Tasks on other workers go on being counted.
func (c *Cache) SetWorkers(list []WorkerSpec) {
	for _, w := range c.workers {
		w.serving = false
	}
	for _, spec := range list {
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

func (c *Cache) worker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{WorkerSpec: WorkerSpec{Name: name}}
		c.workers[name] = w
	}
	return w
}

// AddTask adds a running job, or updates it when the attempt is known.
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

// RemoveTask removes a job; an unknown one is ignored.
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

// SetTerminating marks a job that is about to end.
func (c *Cache) SetTerminating(job string, leaving bool) {
	if task := c.tasks[job]; task != nil {
		task.Terminating = leaving
	}
}

// SetThrottled marks a job that gets only ThrottledPart of its processor usage.
func (c *Cache) SetThrottled(job string, throttled bool) {
	task := c.tasks[job]
	if task == nil {
		return
	}
	c.addUsage(task, Vector{}.Minus(task.effectiveSize()))
	task.Throttled = throttled
	c.addUsage(task, task.effectiveSize())
}

// RecordUsage takes the usage of a job, which is as old as the platform's lag. A report of a throttled
// job says nothing about what it will use later.
func (c *Cache) RecordUsage(job string, attempt uint32, used Vector, now time.Time) {
	task := c.tasks[job]
	if task == nil || task.Attempt != attempt || task.Throttled {
		return
	}
	before := task.effectiveSize()
	task.updatePeak(used, now)
	if !task.ratioUpdated && now.Sub(task.addedAt) >= rampUpTime {
		task.ratioUpdated = true
		c.ratio(task.Pool, task.Team).observe(task.Declared, task.peakUsage)
	}
	task.updateSize(c.ratio(task.Pool, task.Team).Estimate(task.Declared), used, now)
	c.addUsage(task, task.effectiveSize().Minus(before))
	task.reportedAt = now
	task.lastUsage = used
}

// updatePeak raises the peak, or lets it decay towards the usage.
func (t *Task) updatePeak(used Vector, now time.Time) {
	if !t.reportedAt.IsZero() {
		part := float64(now.Sub(t.reportedAt)) / float64(peakHalfLife+now.Sub(t.reportedAt))
		for i := range t.peakUsage {
			t.peakUsage[i] -= int64(part * float64(max(0, t.peakUsage[i]-used[i])))
		}
	}
	t.peakUsage = t.peakUsage.Max(used)
}

// updateSize decides the size: the peak with the margin and the rise that the lag hides, at least the
// estimate while the job may still grow, and always the declared accelerators.
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

// extrapolatedRise extrapolates rising usage over the time between two reports.
func (t *Task) extrapolatedRise(i int, used Vector, now time.Time) int64 {
	if t.reportedAt.IsZero() || used[i] <= t.lastUsage[i] || now.Sub(t.reportedAt) > maxReportInterval {
		return 0
	}
	return used[i] - t.lastUsage[i]
}

// effectiveSize returns the size that the worker has to have for the job.
func (t *Task) effectiveSize() Vector {
	size := t.size
	if t.Throttled {
		size[CPU] = int64(float64(size[CPU]) * ThrottledCPUFraction)
	}
	return size
}

// addUsage adds a change of size to the worker and the team.
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

func (c *Cache) ratio(pool, team string) *UsageRatio {
	key := poolTeam{pool, team}
	if c.ratios[key] == nil {
		initial := initialUsageRatio()
		c.ratios[key] = &initial
	}
	return c.ratios[key]
}

// Task returns a copy of a running job.
func (c *Cache) Task(job string) (Task, bool) {
	task := c.tasks[job]
	if task == nil {
		return Task{}, false
	}
	return *task, true
}
