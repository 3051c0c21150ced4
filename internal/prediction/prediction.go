// Package prediction learns the run times of work items by kind of work, and the speeds of workers, from runs that have
// ended. It does no I/O and has no clock, and its memory is bounded. A Model must not be used concurrently.
package prediction

import (
	"container/list"
	"math"
	"time"
)

const (
	// maxKinds and maxWorkers bound the memory of a Model: callers choose the kinds of work. The least recently used ones
	// are evicted. The largest deployments have fewer workers; a kind takes about 4 KiB.
	maxKinds, maxWorkers = 2048, 4096
	// shortestRun and longestRun limit declared and actual run times, so that no single run outweighs the others of its kind.
	shortestRun, longestRun = time.Millisecond, 24 * time.Hour
	// speedMemory is the number of runs over which the speed of a worker is averaged. It has to show within seconds that a
	// worker has become slow, at about 10 runs a second on a busy worker.
	speedMemory = 40
	// speedPrior is the number of runs at the usual speed that a worker is assumed to have had. With run times that are off
	// by a log-normal factor with sigma 0.9, fewer would show healthy workers as slow by chance.
	speedPrior = 8
	// maxSpeedResidual limits the logarithm of the ratio that one run contributes to the speed of its worker: 3 of 100 work
	// items take seven times as long on any worker.
	maxSpeedResidual = 1.5
	// usualSpeedStep is the step by which the median of the workers' speeds follows one run, as a logarithm. It follows a
	// change by a factor of two within 140 runs.
	usualSpeedStep = 0.005
)

// Model predicts run times. The zero value isn't usable; call New.
type Model struct {
	kinds   lru[*kindModel]
	workers lru[*workerSpeed]
	// usualSpeed is the median over recent runs of the mean logarithm of the ratio on their workers. The speed of a worker
	// is relative to it: otherwise a change that affects all workers would count as theirs and not as that of the kinds.
	usualSpeed float64
}

// workerSpeed is the decayed sum of the logarithms of the ratios of actual to predicted run times on a worker.
type workerSpeed struct{ weight, sum float64 }

// mean returns the mean logarithm, as if speedPrior further runs had taken as long as predicted.
func (s *workerSpeed) mean() float64 { return s.sum / (s.weight + speedPrior) }

// New returns a Model that predicts the declared run times.
func New() *Model {
	return &Model{kinds: newLRU[*kindModel](maxKinds), workers: newLRU[*workerSpeed](maxWorkers)}
}

// Expected returns the mean run time of a work item of the kind, for sums of work: it includes the spread and the rare
// items that take many times as long as others. It is the declared run time while no runs of the kind are known.
func (m *Model) Expected(kind string, declared time.Duration) time.Duration {
	k, known := m.kinds.get(kind)
	if !known {
		return clampRun(declared)
	}
	return duration(k.typical(logSeconds(declared)) + math.Log(k.current().meanRatio))
}

// Quantile returns the run time that a work item of the kind doesn't exceed with probability q.
func (m *Model) Quantile(kind string, declared time.Duration, q float64) time.Duration {
	k, known := m.kinds.get(kind)
	if !known {
		return duration(logSeconds(declared) + priorQuantile(q))
	}
	return duration(k.typical(logSeconds(declared)) + k.current().quantile(q))
}

// Speed returns the speed of the worker relative to the usual one: runs take 1/Speed times as long as usual. It is 1 for a
// worker of which no runs are known.
func (m *Model) Speed(worker string) float64 {
	s, known := m.workers.get(worker)
	if !known {
		return 1
	}
	return math.Exp(-m.slowness(s))
}

// slowness returns the logarithm of the factor by which runs on the worker take longer than usual.
func (m *Model) slowness(s *workerSpeed) float64 {
	// A worker without recent runs has the usual speed, whatever that is.
	return s.mean() - m.usualSpeed*s.weight/(s.weight+speedPrior)
}

// Runs returns the weight of the runs that are known of the kind, at most runMemory.
func (m *Model) Runs(kind string) float64 {
	k, known := m.kinds.get(kind)
	if !known {
		return 0
	}
	return k.fit.weight
}

// Observe adds a run that has ended.
func (m *Model) Observe(kind, worker string, declared, actual time.Duration) {
	k := m.kinds.getOrAdd(kind, newKindModel)
	s := m.workers.getOrAdd(worker, func() *workerSpeed { return &workerSpeed{} })
	x, y := logSeconds(declared), logSeconds(actual)
	residual := y - k.fit.predict(x)
	// Without the speed of the worker as known before this run, the runs on a slow worker would count as runs of a slow kind.
	y -= m.slowness(s)
	k.observe(x, y)
	s.weight += 1 - s.weight/speedMemory
	s.sum += max(-maxSpeedResidual, min(maxSpeedResidual, residual)) - s.sum/speedMemory
	if mean := s.sum / s.weight; mean > m.usualSpeed {
		m.usualSpeed += usualSpeedStep
	} else {
		m.usualSpeed -= usualSpeedStep
	}
}

// DecaySpeeds multiplies the weight of the known runs of each worker by factor, so that a worker that was slow, and gets no
// work for that reason, is tried again.
func (m *Model) DecaySpeeds(factor float64) {
	for element := m.workers.order.Front(); element != nil; element = element.Next() {
		s := element.Value.(*lruEntry[*workerSpeed]).value
		s.weight *= factor
		s.sum *= factor
	}
}

func clampRun(d time.Duration) time.Duration { return max(shortestRun, min(longestRun, d)) }

func logSeconds(d time.Duration) float64 { return math.Log(clampRun(d).Seconds()) }

func duration(logSeconds float64) time.Duration {
	limit := math.Log(longestRun.Seconds())
	return clampRun(time.Duration(math.Exp(min(limit, logSeconds)) * float64(time.Second)))
}

// lru is a map of limited size from which the least recently used entries are evicted.
type lru[V any] struct {
	limit   int
	entries map[string]*list.Element
	// order holds a *lruEntry for each entry, the most recently used first.
	order *list.List
}

type lruEntry[V any] struct {
	key   string
	value V
}

func newLRU[V any](limit int) lru[V] {
	return lru[V]{limit: limit, entries: map[string]*list.Element{}, order: list.New()}
}

// get returns the value of the key.
func (l *lru[V]) get(key string) (value V, known bool) {
	element := l.entries[key]
	if element == nil {
		return value, false
	}
	l.order.MoveToFront(element)
	return element.Value.(*lruEntry[V]).value, true
}

// getOrAdd returns the value of the key, and adds it if there is none.
func (l *lru[V]) getOrAdd(key string, create func() V) V {
	if value, known := l.get(key); known {
		return value
	}
	if len(l.entries) >= l.limit {
		oldest := l.order.Back()
		delete(l.entries, oldest.Value.(*lruEntry[V]).key)
		l.order.Remove(oldest)
	}
	value := create()
	l.entries[key] = l.order.PushFront(&lruEntry[V]{key, value})
	return value
}
