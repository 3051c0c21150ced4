package scheduler

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// simTick is the step of the simulated fleet.
const simTick = 10 * time.Millisecond

// simBase is the wall time at which simulations begin.
var simBase = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func quietLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// simRun is a run on a simulated worker.
type simRun struct {
	run     int64
	began   time.Duration
	ends    time.Duration
	fails   bool
	lasting bool
}

// simWorker carries out orders as the platform says: it fences, keeps leases on its own clock, and
// lists ends until they are confirmed.
type simWorker struct {
	sim     *sim
	entry   infra.WorkerEntry
	host    string
	up      bool
	cut     bool
	token   int64
	until   int64
	bornAt  time.Duration
	running map[work.ItemID]*simRun
	highest map[work.ItemID]int64
	ended   []infra.EndedRun
	// endedAt is when the run of a listed end was over, by its number.
	endedAt map[int64]time.Duration
	lastN   int64
	failAll bool
	// unlisted workers are missing from the list of workers.
	unlisted bool
}

// clockMs is the worker's clock, which is 2% slow.
func (w *simWorker) clockMs() int64 {
	return int64(float64((w.sim.now - w.bornAt).Milliseconds()) * 0.98)
}

func (w *simWorker) finish(id work.ItemID, r *simRun, cause infra.EndCause) {
	delete(w.running, id)
	w.lastN++
	w.highest[id] = max(w.highest[id], r.run)
	w.ended = append(w.ended, infra.EndedRun{Sequence: w.lastN, Item: id, Run: r.run, Cause: cause})
	w.endedAt[w.lastN] = w.sim.now
	if cause == infra.EndDone {
		w.sim.done[id] = true
	}
}

func (w *simWorker) tick() {
	if !w.up {
		return
	}
	for id, r := range w.running {
		switch {
		case w.clockMs() >= w.until:
			w.finish(id, r, infra.EndLeaseExpired)
		case !r.lasting && w.sim.now >= r.ends && r.fails:
			w.finish(id, r, infra.EndFailed)
		case !r.lasting && w.sim.now >= r.ends:
			w.finish(id, r, infra.EndDone)
		}
	}
}

// start carries out a start and checks what must never happen.
func (w *simWorker) start(order *Order, until, token int64) error {
	refuse := func(kind infra.ErrorKind) error { return &infra.Error{Kind: kind, Op: "start"} }
	if token < w.token {
		return refuse(infra.Fenced)
	}
	w.token = token
	if r := w.running[order.Item]; r != nil && r.run == order.Run {
		w.until = max(w.until, until)
		return nil
	}
	if w.highest[order.Item] >= order.Run {
		return refuse(infra.Superseded)
	}
	if until <= w.clockMs() {
		return refuse(infra.LeaseExpired)
	}
	w.sim.checkStart(w, order)
	w.until = max(w.until, until)
	step := w.sim.stepOf(order.Item)
	w.running[order.Item] = &simRun{run: order.Run, began: w.sim.now, lasting: step.Lasting, ends: w.sim.now + w.sim.duration(step),
		fails: w.failAll || w.sim.rng.Float64() < w.sim.failShare}
	return nil
}

func (w *simWorker) stop(order *Order, token int64) error {
	if token < w.token {
		return &infra.Error{Kind: infra.Fenced, Op: "stop"}
	}
	w.token = token
	if r := w.running[order.Item]; r != nil && r.run <= order.Run {
		w.sim.endedByOrder(order.Item, r, "a stop")
		w.finish(order.Item, r, infra.EndStopped)
	}
	w.highest[order.Item] = max(w.highest[order.Item], order.Run)
	return nil
}

func (w *simWorker) hold(request infra.LeaseRenewal) (infra.WorkerReport, error) {
	if request.FencingToken < w.token {
		return infra.WorkerReport{}, &infra.Error{Kind: infra.Fenced, Op: "hold"}
	}
	w.token = request.FencingToken
	w.until = max(w.until, request.LeaseEndMs)
	w.ended = slices.DeleteFunc(w.ended, func(e infra.EndedRun) bool {
		if e.Sequence <= request.AckedEnd && e.Cause == infra.EndDone {
			w.sim.noted[e.Item] = true
		}
		if e.Sequence <= request.AckedEnd && e.Cause == infra.EndFailed {
			w.sim.noteFailure(e.Item, w.endedAt[e.Sequence])
		}
		return e.Sequence <= request.AckedEnd
	})
	report := infra.WorkerReport{ClockMs: w.clockMs(), StartUnixMs: w.entry.StartUnixMs, Ended: slices.Clone(w.ended)}
	for id, r := range w.running {
		report.Running = append(report.Running, infra.ActiveRun{Item: id, Run: r.run, ProgressPercent: atWorkPercent})
	}
	return report, nil
}

// simOrder is an order on its way.
type simOrder struct {
	at     time.Duration
	order  Order
	until  int64
	token  int64
	from   *simScheduler
	silent bool
}

// simScheduler is one term.
type simScheduler struct {
	core     *Core
	term     int64
	frozen   bool
	over     bool
	batch    *Batch
	commitAt time.Duration
	// confirmed is when the last append that succeeded was sent.
	confirmed, sent time.Duration
}

// sim is a simulated fleet with a log, workers and successive schedulers, on a clock of its own.
type sim struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Duration
	log        map[string][]byte
	term       int64
	schedulers []*simScheduler
	workers    []*simWorker
	jobs       map[string]*work.Job
	cancelled  map[string]bool
	accepted   map[string]bool
	// done are items that a run has done, noted those whose end a scheduler has confirmed.
	done, noted map[work.ItemID]bool
	// failures are the times of confirmed failures, began those of starts.
	failures, began map[work.ItemID][]time.Duration
	// hosts and waves are those of upkeep, lasting what is seen of lasting items.
	hosts   map[string]*simHost
	waves   []infra.Wave
	lasting map[work.ItemID]*simLasting
	orders  []simOrder
	config  *work.Config
	waiters map[string]chan Outcome
	// Shares of orders without an answer, of orders carried out late, and of runs that fail.
	lostShare, lateShare, failShare float64
	logDown                         bool
	bornCount                       int64
	starts                          int
}

func simOptions() Options {
	return Options{Lease: 5 * time.Second, KeepEnded: time.Minute, HostOrderDelay: 4 * time.Second, MoveTime: time.Second}
}

const simPool = "counting"

func newSim(t *testing.T, seed uint64, workers int) *sim {
	s := &sim{t: t, hosts: map[string]*simHost{}, lasting: map[work.ItemID]*simLasting{}, rng: rand.New(rand.NewPCG(seed, 1)), log: map[string][]byte{}, jobs: map[string]*work.Job{}, cancelled: map[string]bool{},
		accepted: map[string]bool{}, done: map[work.ItemID]bool{}, noted: map[work.ItemID]bool{},
		failures: map[work.ItemID][]time.Duration{}, began: map[work.ItemID][]time.Duration{}, waiters: map[string]chan Outcome{}, now: time.Hour}
	s.config = &work.Config{Version: 1, Pools: map[string]work.Pool{simPool: {Name: simPool, AdmissionControl: true}},
		Customers: map[string]work.Customer{"clips": {Name: "clips", Share: 1}},
		Queues:    []work.Queue{{Name: "review", Pool: simPool, MaxAttempts: 3, Slack: 2, Target: time.Second}}}
	for n := range workers {
		s.addWorker(fmt.Sprintf("host-%d", n))
	}
	s.takeOver()
	return s
}

func (s *sim) addWorker(host string) *simWorker {
	s.bornCount++
	w := &simWorker{sim: s, host: host, up: true, bornAt: s.now, running: map[work.ItemID]*simRun{}, highest: map[work.ItemID]int64{}, endedAt: map[int64]time.Duration{},
		entry: infra.WorkerEntry{ID: fmt.Sprintf("worker-%d", s.bornCount), Pool: simPool, Address: fmt.Sprintf("10.0.0.%d:1", s.bornCount),
			Capacity: work.Resources{CPUMilli: 8000, MemoryMiB: 8192}, Labels: []string{"a", "rack-" + host}, StartUnixMs: s.wall().UnixMilli()}}
	s.workers = append(s.workers, w)
	return w
}

func (s *sim) clock() time.Duration { return s.now }
func (s *sim) wall() time.Time      { return simBase.Add(s.now) }

// takeOver starts a new term, which fences the earlier ones at the log.
func (s *sim) takeOver() *simScheduler {
	s.term++
	core := New(s.term, simOptions(), s.clock, s.wall, quietLogger(), nil)
	var records []infra.Record
	for key, value := range s.log {
		records = append(records, infra.Record{Key: key, Value: value})
	}
	core.Load(records)
	core.LoadWaves(records)
	core.SetConfig(s.config)
	scheduler := &simScheduler{core: core, term: s.term, confirmed: s.now}
	s.schedulers = append(s.schedulers, scheduler)
	return scheduler
}

func (s *sim) leader() *simScheduler { return s.schedulers[len(s.schedulers)-1] }

func (s *sim) stepOf(id work.ItemID) *work.Step { return &s.jobs[id.Job].Steps[id.Step] }

func (s *sim) duration(step *work.Step) time.Duration {
	return time.Duration(float64(step.Estimate) * (0.5 + s.rng.Float64()))
}

// checkStart checks what must hold whenever a worker begins a run.
func (s *sim) checkStart(on *simWorker, order *Order) {
	s.starts++
	s.began[order.Item] = append(s.began[order.Item], s.now)
	s.checkAttempts(order.Item)
	if s.noted[order.Item] {
		s.t.Fatalf("%s: %s starts again on %s after its end was confirmed", s.now, order.Item, on.entry.ID)
	}
	for _, w := range s.workers {
		if r := w.running[order.Item]; w.up && r != nil {
			s.t.Fatalf("%s: %s run %d starts on %s while run %d is on %s (cut %v, lease left %d ms)", s.now, order.Item, order.Run, on.entry.ID,
				r.run, w.entry.ID, w.cut, w.until-w.clockMs())
		}
	}
	for _, before := range s.stepOf(order.Item).After {
		for index := range s.jobs[order.Item.Job].Steps[before].Count {
			if !s.done[work.ItemID{Job: order.Item.Job, Occurrence: order.Item.Occurrence, Step: before, Index: index}] {
				s.t.Fatalf("%s: %s starts before step %d is done", s.now, order.Item, before)
			}
		}
	}
	used := s.stepOf(order.Item).Need
	for id := range on.running {
		used = used.Plus(s.stepOf(id).Need)
	}
	if !used.Fits(on.entry.Capacity) {
		s.t.Fatalf("%s: %s has %v running with %s", s.now, on.entry.ID, used, order.Item)
	}
}

// noteFailure takes a failure that a scheduler has confirmed.
func (s *sim) noteFailure(id work.ItemID, at time.Duration) {
	s.failures[id] = append(s.failures[id], at)
	s.checkAttempts(id)
}

// checkAttempts checks that no run began after the attempts were used up, whenever their failures
// were confirmed.
func (s *sim) checkAttempts(id work.ItemID) {
	for _, began := range s.began[id] {
		before := 0
		for _, failed := range s.failures[id] {
			if failed < began {
				before++
			}
		}
		if limit := s.jobs[id.Job].Queue.MaxAttempts; before >= limit {
			s.t.Fatalf("%s: %s began at %s after %d confirmed failures", s.now, id, began, before)
		}
	}
}

// submit hands a job in and keeps its waiter.
func (s *sim) submit(job *work.Job) {
	s.jobs[job.ID] = job
	waiter := make(chan Outcome, 4)
	s.waiters[job.ID] = waiter
	s.leader().core.Submit(job, waiter)
}

// run advances the fleet.
func (s *sim) run(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += simTick
		for _, w := range s.workers {
			w.tick()
		}
		s.watchLasting()
		s.deliver()
		for _, scheduler := range s.schedulers {
			if !scheduler.frozen && !scheduler.over {
				s.step(scheduler)
			}
		}
		for id, waiter := range s.waiters {
			select {
			case outcome := <-waiter:
				if outcome.Kind == Done {
					s.accepted[id] = true
				}
				delete(s.waiters, id)
			default:
			}
		}
	}
}

// step does what a session does in one tick.
func (s *sim) step(d *simScheduler) {
	if s.now%(300*time.Millisecond) == 0 {
		update := infra.WorkerUpdate{Full: true}
		for _, w := range s.workers {
			if w.up && !w.unlisted {
				update.Entries = append(update.Entries, w.entry)
			}
		}
		d.core.UpdateWorkers(update)
	}
	if s.now%(250*time.Millisecond) == 0 {
		d.core.SetHosts(s.listHosts(), s.now)
		s.tendHosts(d)
	}
	if s.now%(50*time.Millisecond) == 0 {
		for _, at := range s.rng.Perm(len(s.workers)) {
			s.holdOnce(d, s.workers[at])
		}
	}
	s.commit(d)
}

func (s *sim) holdOnce(d *simScheduler, w *simWorker) {
	if d.core.NextHold(w.entry.ID).Over {
		return
	}
	request := d.core.HoldNow(w.entry.ID, d.confirmed)
	if !w.up || w.cut {
		d.core.HoldFailed(w.entry.ID, &infra.Error{Kind: infra.Unknown, Op: "hold"})
		return
	}
	report, err := w.hold(request)
	if err != nil {
		d.core.HoldFailed(w.entry.ID, err)
		return
	}
	d.core.Report(w.entry.ID, report, s.now)
}

// commit makes a batch durable some milliseconds after it was collected, unless a later term fenced it.
func (s *sim) commit(d *simScheduler) {
	if d.batch != nil {
		if s.now < d.commitAt || s.logDown {
			return
		}
		if d.term < s.term {
			d.core.Abandon(d.batch)
			d.over = true
			return
		}
		for _, record := range d.batch.Records {
			s.log[record.Key] = record.Value
		}
		d.confirmed = d.sent
		d.core.Committed(d.batch)
		d.batch = nil
	}
	if d.core.Fenced() {
		d.over = true
		return
	}
	batch := d.core.Collect()
	for i := range batch.Orders {
		s.send(d, batch.Orders[i])
	}
	d.batch, d.sent, d.commitAt = &batch, s.now, s.now+2*simTick
}

func (s *sim) send(d *simScheduler, order Order) {
	sent := simOrder{at: s.now + simTick, order: order, token: d.term, from: d}
	if order.Kind == OrderStart {
		if sent.until = d.core.StartLease(&order, d.confirmed); sent.until == 0 {
			d.core.NotSent(&order)
			return
		}
	}
	switch {
	case s.rng.Float64() < s.lostShare:
		sent.silent = true
	case s.rng.Float64() < s.lateShare:
		late := sent
		late.silent, late.at = true, s.now+time.Duration(2+s.rng.IntN(8))*time.Second
		s.orders = append(s.orders, late)
		sent.at, sent.order.Kind = s.now+300*time.Millisecond, orderTimeoutKind
		sent.order.Percent = int(order.Kind)
	}
	s.orders = append(s.orders, sent)
}

// orderTimeoutKind marks an order whose sender only sees a timeout.
const orderTimeoutKind OrderKind = 99

// deliver carries out the orders that are due and tells their senders.
func (s *sim) deliver() {
	var left []simOrder
	due := s.orders
	s.orders = nil
	for _, o := range due {
		if o.at > s.now {
			left = append(left, o)
			continue
		}
		s.carryOut(o)
	}
	s.orders = append(left, s.orders...)
}

func (s *sim) carryOut(o simOrder) {
	unknown := &infra.Error{Kind: infra.Unknown, Op: "order"}
	at := slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.entry.ID == o.order.Worker.ID })
	w := s.workers[at]
	var err error
	kind := o.order.Kind
	switch {
	case kind == orderTimeoutKind:
		err, kind = unknown, OrderKind(o.order.Percent)
	case !w.up || w.cut:
		err = unknown
	case kind == OrderStart:
		err = w.start(&o.order, o.until, o.token)
	case kind == OrderStop:
		err = w.stop(&o.order, o.token)
	}
	if o.silent {
		err = unknown
	}
	if o.from.over || o.from.frozen || s.now-o.at > time.Second {
		return
	}
	order := o.order
	order.Kind = kind
	switch kind {
	case OrderStart:
		o.from.core.StartResult(&order, err, false)
	case OrderStop:
		o.from.core.StopResult(&order, err)
	}
}

// randomJob makes a job of one to three steps.
func (s *sim) randomJob(n int) *work.Job {
	job := &work.Job{ID: fmt.Sprintf("%016x", n), Queue: s.config.Queues[0], Customer: "clips", Spec: "spec"}
	for step := range 1 + s.rng.IntN(3) {
		def := work.Step{Count: 1 + s.rng.IntN(4), Need: work.Resources{CPUMilli: int64(500 + s.rng.IntN(2500)), MemoryMiB: 256},
			Estimate: time.Duration(200+s.rng.IntN(900)) * time.Millisecond}
		if step > 0 {
			def.After = []int{step - 1}
		}
		job.Steps = append(job.Steps, def)
	}
	return job
}
