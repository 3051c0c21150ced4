package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/policy"
	"turmericyoke/internal/work"
)

// overloadKind is a kind of work of the overload: jobs of two steps. Its values are means.
type overloadKind struct {
	width   int
	cores   float64
	runTime time.Duration
}

// overloadKinds peak in turn in one pool. A job of typical size takes 1.6 to 32 core-seconds.
var overloadKinds = [4]overloadKind{{2, 1, 400 * time.Millisecond}, {4, 2, 600 * time.Millisecond}, {8, 2, 800 * time.Millisecond}, {8, 2, time.Second}}

const (
	overloadWorkers, overloadCustomers = 8, 20
	// overloadPeak is the factor by which a kind that peaks exceeds the rate of the others.
	overloadPeak = 6.0
	// declaredSigma is that of the log-normal factor by which declared run times are off, sizeSigma that of the jobs' sizes.
	declaredSigma, sizeSigma = 0.9, 0.6
	overloadTime             = 25 * time.Second
	overloadTick             = 10 * time.Millisecond
)

// overloadJob is a job of the overload, and what became of it.
type overloadJob struct {
	def                   *work.Job
	kind, customer, zone  int
	size                  float64
	offeredAt, deadline   time.Duration
	uselessAt, resubmitAt time.Duration
	waiter                chan Outcome
	accepted, onTime      bool
	late                  bool
}

// overloadReplay offers several times the capacity of a pool with workers and callers in three zones to a core. Customer 0
// sends six times its share. Rejected callers return after their retry delay while the job is of use.
type overloadReplay struct {
	*replay
	jobs map[string]*overloadJob
	all  []*overloadJob
	open []*overloadJob
	due  float64
	rate float64
}

// newOverloadReplay returns a replay of the given multiple of the capacity.
func newOverloadReplay(seed uint64, factor float64) *overloadReplay {
	r := &overloadReplay{replay: newReplay(seed, []replayQueue{{pool: "vaal", hosts: overloadWorkers}}), jobs: map[string]*overloadJob{}}
	r.rng = rand.New(rand.NewPCG(seed, 9))
	config := *r.config
	config.Version, config.Queues = 2, nil
	meanWork := 0.0
	for n, kind := range overloadKinds {
		config.Queues = append(config.Queues, work.Queue{Name: fmt.Sprint("kind-", n), Pool: "vaal", MaxAttempts: 3, Slack: 1.5, Target: 600 * time.Millisecond})
		meanWork += 2 * float64(kind.width) * kind.cores * kind.runTime.Seconds() * math.Exp(sizeSigma*sizeSigma/2) / float64(len(overloadKinds))
	}
	r.rate = factor * overloadWorkers * 64 / meanWork
	config.Customers = map[string]work.Customer{}
	for n := range overloadCustomers {
		name := fmt.Sprint("customer-", n)
		// One customer sends six shares, and each of the others one.
		config.Customers[name] = work.Customer{Name: name, Share: r.rate / (overloadCustomers + 5)}
	}
	r.core.SetConfig(&config)
	r.config = &config
	var update infra.WorkerUpdate
	for n, id := range slices.Sorted(maps.Keys(r.workers)) {
		r.workers[id].entry.Labels = []string{[...]string{"a", "b", "c"}[n%3], "rack"}
		update.Entries = append(update.Entries, r.workers[id].entry)
	}
	r.core.UpdateWorkers(update)
	return r
}

// byCost activates the order by cost.
func (r *overloadReplay) byCost() {
	r.core.options.Policy.Overload.Order, r.core.reorder = policy.OrderByCost, r.core.rankByCost
}

// orderBy sorts the waiting jobs by a key only.
func (r *overloadReplay) orderBy(key func(p jobPrediction, j *job) time.Duration) {
	r.core.reorder = func(waiting *waitingJobs, _ time.Duration) {
		for n := range waiting.ranked {
			ranked := &waiting.ranked[n]
			ranked.tier, ranked.started, ranked.overuseLevel, ranked.slack = 0, false, 0, key(r.core.predict(ranked.job), ranked.job)
		}
	}
}

// leastSlack and smallest are the orders with which the order by cost is compared.
func (r *overloadReplay) leastSlack() {
	r.orderBy(func(p jobPrediction, j *job) time.Duration { return j.offeredAt + p.relativeDeadline - p.remainingPath })
}

func (r *overloadReplay) smallest() {
	r.orderBy(func(p jobPrediction, _ *job) time.Duration {
		return time.Duration(p.coreSeconds * float64(time.Second))
	})
}

// offer creates the jobs that are due within the tick.
func (r *overloadReplay) offer() {
	for r.due += r.rate * overloadTick.Seconds(); r.due >= 1; r.due-- {
		peak := int(r.now/replayPeakTime) % len(overloadKinds)
		kind := r.rng.IntN(len(overloadKinds))
		if r.rng.Float64() < (overloadPeak-1)/(overloadPeak+float64(len(overloadKinds)-1)) {
			kind = peak
		}
		customer := max(0, r.rng.IntN(overloadCustomers+5)-5)
		size := math.Exp(sizeSigma * r.rng.NormFloat64())
		runTime := time.Duration(float64(overloadKinds[kind].runTime) * math.Sqrt(size))
		width := max(1, int(math.Round(float64(overloadKinds[kind].width)*math.Sqrt(size))))
		def := &work.Job{ID: fmt.Sprintf("%016x", len(r.all)), Queue: r.config.Queues[kind], Customer: fmt.Sprint("customer-", customer), Spec: "spec"}
		for step := range 2 {
			declared := time.Duration(float64(runTime) * math.Exp(declaredSigma*r.rng.NormFloat64()))
			def.Steps = append(def.Steps, work.Step{Count: width, Need: work.Resources{CPUMilli: int64(overloadKinds[kind].cores * 1000), MemoryMiB: 10}, Estimate: declared})
			if step > 0 {
				def.Steps[step].After = []int{0}
			}
		}
		limit := 3*runTime + def.Queue.Target
		j := &overloadJob{def: def, kind: kind, customer: customer, zone: [...]int{0, 0, 0, 0, 0, 1, 1, 1, 2, 2}[r.rng.IntN(10)], size: float64(width) * runTime.Seconds(),
			offeredAt: r.now, deadline: r.now + limit, uselessAt: r.now + latenessCutoff*limit, waiter: make(chan Outcome, 1)}
		r.runTimes[def.ID], r.jobs[def.ID] = runTime, j
		r.all, r.open = append(r.all, j), append(r.open, j)
		r.core.Submit(def, j.waiter)
	}
}

// returnRejected submits rejected jobs again whose retry delay is over.
func (r *overloadReplay) returnRejected() {
	r.open = slices.DeleteFunc(r.open, func(j *overloadJob) bool {
		if j.resubmitAt > 0 && r.now >= j.resubmitAt {
			j.resubmitAt = 0
			r.core.Submit(j.def, j.waiter)
		}
		select {
		case outcome := <-j.waiter:
			if outcome.Kind != OutcomeRejected {
				j.accepted = outcome.Kind == OutcomeDone
				return true
			}
			j.resubmitAt = r.now + time.Duration(math.Ceil(outcome.RetryAfter.Seconds()))*time.Second
		default:
		}
		return r.now >= j.uselessAt
	})
}

// play replays the overload and adds its result.
func (r *overloadReplay) play(result *overloadResult) {
	for end := r.now + overloadTime; r.now < end; {
		r.now += overloadTick
		r.offer()
		r.returnRejected()
		r.endRuns()
		r.commit()
		for id, j := range r.jobs {
			if kept := r.core.jobs[id]; kept != nil && kept.completed {
				j.onTime, j.late = r.now <= j.deadline, r.now > j.deadline && r.now <= j.uselessAt
				delete(r.jobs, id)
			}
		}
	}
	result.add(r.all)
}

// servedShare counts jobs, and those that were served.
type servedShare struct{ offered, served float64 }

func (s *servedShare) add(served bool) {
	s.offered++
	if served {
		s.served++
	}
}

func (s servedShare) share() float64 { return s.served / max(1, s.offered) }

// overloadResult is what became of the jobs of some replays. Jobs on time count as served; by size, late ones do too.
type overloadResult struct {
	all       servedShare
	late      int
	customers [overloadCustomers]servedShare
	zones     [3]servedShare
	// bySize holds the largest tenth, the fifth below it, and all jobs of each kind.
	bySize [len(overloadKinds)][3]servedShare
}

// add counts the jobs of a replay.
func (o *overloadResult) add(jobs []*overloadJob) {
	var byKind [len(overloadKinds)][]*overloadJob
	for _, j := range jobs {
		o.all.add(j.onTime)
		o.customers[j.customer].add(j.onTime)
		o.zones[j.zone].add(j.onTime)
		byKind[j.kind] = append(byKind[j.kind], j)
		if j.late {
			o.late++
		}
	}
	for kind, ofKind := range byKind {
		slices.SortFunc(ofKind, func(a, b *overloadJob) int { return cmp.Compare(b.size, a.size) })
		for n, j := range ofKind {
			served := j.onTime || j.late
			o.bySize[kind][2].add(served)
			if class := 10 * n / len(ofKind); class < 3 {
				o.bySize[kind][min(class, 1)].add(served)
			}
		}
	}
}

// worstCustomer and worstZone return the lowest share of jobs on time of any customer and zone. What customer 0 sends beyond
// its share doesn't count as unserved.
func (o *overloadResult) worstCustomer() float64 {
	customers := o.customers
	customers[0].offered /= 6
	return lowestShare(customers[:])
}

func (o *overloadResult) worstZone() float64 { return lowestShare(o.zones[:]) }

func lowestShare(list []servedShare) float64 {
	return slices.MinFunc(list, func(a, b servedShare) int { return cmp.Compare(a.share(), b.share()) }).share()
}

// leastServedLarge returns the lowest share of the largest or large jobs of a kind that were served, relative to the kind.
func (o *overloadResult) leastServedLarge() float64 {
	lowest := math.Inf(1)
	for _, kind := range o.bySize {
		lowest = min(lowest, kind[0].share()/kind[2].share(), kind[1].share()/kind[2].share())
	}
	return lowest
}

// addIdleWorker adds a worker to the pool.
func (r *overloadReplay) addIdleWorker(n int) {
	id := fmt.Sprintf("idle-%04d", n)
	w := &replayWorker{entry: infra.WorkerEntry{ID: id, Pool: "vaal", Address: id + ":1", Capacity: work.Resources{CPUMilli: 64000, MemoryMiB: 131072}, Labels: []string{"a", "rack"}}}
	r.workers[id] = w
	r.core.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{w.entry}})
	r.report(w)
}
