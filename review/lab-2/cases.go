package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"
)

// testCase is a case of the review.
type testCase struct {
	// workers is the number of workers, rackSize of which are in a rack.
	workers int
	// run returns what broke the rule, and an error if it couldn't run.
	run func(l *lab, trouble bool) ([]string, error)
}

// rackSize is the number of workers in a rack, and workerCPU the processor capacity of each in thousandths of a core.
const (
	rackSize  = 4
	workerCPU = 8000
)

// cases are the cases by name.
var cases = map[string]testCase{
	"late-start": {workers: 2 * rackSize, run: lateStart},
	"takeover":   {workers: 2 * rackSize, run: lateStartAcrossTerms},
	"restart":    {workers: rackSize, run: restartPause},
	"dark":       {workers: 2 * rackSize, run: darkStart},
}

func caseNames() []string {
	var names []string
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// runCase runs a case and returns the exit code.
func runCase(name, folder string, trouble bool) int {
	chosen, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	l, err := newLab(record, chosen.workers)
	if l != nil {
		defer l.close()
	}
	var broken []string
	if err == nil {
		broken, err = chosen.run(l, trouble)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if l != nil {
			l.note("not run: %v", err)
		}
		return exitNotRun
	}
	for _, line := range broken {
		l.note("broken: %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	l.note("held")
	return exitHeld
}

const (
	// lateTime is how long the late orders are kept at least, downTime how long the crashed worker is down, and watchTime how
	// long the runs are watched after that.
	lateTime  = 2 * time.Second
	downTime  = 3 * time.Second
	watchTime = 8 * time.Second
	longJob   = "5c0e7a21d94b36f8"
)

// keepStarts makes the link to the first worker that is ordered to start the work item keep these orders, and passes the
// worker's ID to kept.
func (l *lab) keepStarts(task string, kept chan<- string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := ""
	for _, m := range l.machines {
		m.link.lateFor = func(path string, order orderBody) time.Duration {
			if path != "/run-start" || order.Task != task || chosen != "" && chosen != m.worker {
				return 0
			}
			if chosen == "" {
				chosen = m.worker
				kept <- m.worker
			}
			return lateTime
		}
	}
}

// lateStart: a worker leaves the orders to start one work item unanswered, and they are carried out seconds later. The worker
// confirms the stop of that run, and the work item starts on another worker. Then the first worker crashes and starts
// again under its ID, and the late order reaches it.
func lateStart(l *lab, trouble bool) ([]string, error) {
	task := longJob + ".0.0.0"
	kept := make(chan string, 1)
	if trouble {
		l.keepStarts(task, kept)
	}
	// Other work, so that fewer than half of the orders are late.
	for n := range 10 {
		if !l.submit(fmt.Sprintf("%016x", 0xabc0+n), jobBody(2, 300)) {
			return nil, fmt.Errorf("job %d isn't accepted", n)
		}
	}
	if !l.submit(longJob, jobBody(1, 30000)) {
		return nil, fmt.Errorf("the job isn't accepted")
	}
	if !trouble {
		if _, begun := l.awaitSpan(watchTime, func(s *span) bool { return s.task == task }); !begun {
			return nil, fmt.Errorf("the job doesn't begin")
		}
		time.Sleep(watchTime)
		return l.overlaps(), nil
	}
	run, begun := l.awaitSpan(watchTime, func(s *span) bool { return s.task == task })
	if !begun {
		return nil, fmt.Errorf("the work item doesn't start on another worker")
	}
	first := l.machineOf(<-kept)
	if run.worker == first.worker {
		return nil, fmt.Errorf("the late order isn't late: run %d on %s", run.run, run.worker)
	}
	l.note("the work item runs on %s as run %d; %s crashes, and starts again under its ID", run.worker, run.run, first.worker)
	l.killWorker(first)
	time.Sleep(downTime)
	if err := l.startWorker(first); err != nil {
		return nil, err
	}
	time.Sleep(watchTime)
	l.mu.Lock()
	l.note("%d of %d orders were late", l.lateOrders, l.orders)
	l.mu.Unlock()
	return l.overlaps(), nil
}

// Bounds of the rule LOST for work items that last: nothing of one runs for lostIdle, later than lostAfterRun after its last
// run, while that time and lostCalm before it are calm. contact is how long after a disruption nothing counts as calm here.
const (
	lostIdle     = 3 * time.Second
	lostCalm     = 4 * time.Second
	lostAfterRun = 6 * time.Second
	contact      = 3 * time.Second
)

// idleBreaches returns the breaches of the rule LOST by the work items, after a disruption that ended at calmFrom.
func (l *lab) idleBreaches(tasks []string, lastRunEnd, calmFrom time.Time) []string {
	from := calmFrom.Add(contact + lostCalm)
	if after := lastRunEnd.Add(lostAfterRun); after.After(from) {
		from = after
	}
	var found []string
	for _, task := range tasks {
		if idle := l.idle(task, from); idle > lostIdle {
			found = append(found, fmt.Sprintf("LOST: nothing of %s, which lasts, runs for %d ms, from %.1f s after the end of the disruption, while the workers have room", task, idle.Milliseconds(), from.Sub(calmFrom).Seconds()))
		}
	}
	return found
}

// restartPause: all workers of one rack crash, and start again under their IDs soon after.
func restartPause(l *lab, trouble bool) ([]string, error) {
	const items, crashedTime = 2, 1200 * time.Millisecond
	if !l.submit(longJob, lastingBody(items)) {
		return nil, fmt.Errorf("the lasting job isn't accepted")
	}
	var tasks []string
	for n := range items {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", longJob, n))
		if _, begun := l.awaitSpan(watchTime, func(s *span) bool { return s.task == tasks[n] }); !begun {
			return nil, fmt.Errorf("the lasting job doesn't begin")
		}
	}
	// Short jobs run on all workers, as on any day.
	for n := range 40 {
		if !l.submit(fmt.Sprintf("%016x", 0xabc0+n), jobBody(8, 300)) {
			return nil, fmt.Errorf("job %d isn't accepted", n)
		}
		time.Sleep(5 * pollPause)
	}
	crashedAt := time.Now()
	if trouble {
		for _, m := range l.machines {
			l.killWorker(m)
		}
		time.Sleep(crashedTime)
		for _, m := range l.machines {
			if err := l.startWorker(m); err != nil {
				return nil, err
			}
		}
	}
	backAt := time.Now()
	time.Sleep(16 * time.Second)
	for _, task := range tasks {
		l.note("longest time without a run of %s after the crash: %d ms", task, l.idle(task, crashedAt).Milliseconds())
	}
	return l.idleBreaches(tasks, crashedAt, backAt), nil
}

// darkStart: a worker loses power for good. A moment later a job comes whose work item lasts.
func darkStart(l *lab, trouble bool) ([]string, error) {
	const secondJob = "7e01c4d95ab2f360"
	if !l.submit(longJob, lastingBody(1)) {
		return nil, fmt.Errorf("the lasting job isn't accepted")
	}
	first, begun := l.awaitSpan(watchTime, func(s *span) bool { return s.task == longJob+".0.0.0" })
	if !begun {
		return nil, fmt.Errorf("the lasting job doesn't begin")
	}
	time.Sleep(2 * time.Second)
	lostAt := time.Now()
	if trouble {
		l.mu.Lock()
		m := l.machineOf(first.worker)
		l.mu.Unlock()
		m.link.dark.Store(true)
		l.killWorker(m)
		time.Sleep(200 * time.Millisecond)
	}
	if !l.submit(secondJob, lastingBody(1)) {
		return nil, fmt.Errorf("the second lasting job isn't accepted")
	}
	time.Sleep(18 * time.Second)
	tasks := []string{longJob + ".0.0.0", secondJob + ".0.0.0"}
	for _, task := range tasks {
		l.note("longest time without a run of %s after the loss: %d ms", task, l.idle(task, lostAt).Milliseconds())
	}
	return l.idleBreaches(tasks, lostAt.Add(-lostAfterRun), lostAt), nil
}

// lateStartAcrossTerms: as lateStart, but the scheduling process is killed while the start has no response.
func lateStartAcrossTerms(l *lab, trouble bool) ([]string, error) {
	const killDelay, restartDelay = 300 * time.Millisecond, 3500 * time.Millisecond
	task := longJob + ".0.0.0"
	for n := range 10 {
		if !l.submit(fmt.Sprintf("%016x", 0xabc0+n), jobBody(2, 300)) {
			return nil, fmt.Errorf("job %d isn't accepted", n)
		}
	}
	kept := make(chan string, 1)
	if trouble {
		l.keepStarts(task, kept)
	}
	if !l.submit(longJob, jobBody(1, 30000)) {
		return nil, fmt.Errorf("the job isn't accepted")
	}
	if !trouble {
		if _, begun := l.awaitSpan(watchTime, func(s *span) bool { return s.task == task }); !begun {
			return nil, fmt.Errorf("the job doesn't begin")
		}
		time.Sleep(watchTime)
		return l.overlaps(), nil
	}
	first := l.machineOf(<-kept)
	leader := l.leader()
	if leader == nil {
		return nil, fmt.Errorf("no process schedules")
	}
	time.Sleep(killDelay)
	l.note("%s, which schedules, is killed", leader.name)
	l.killNode(leader)
	go func() {
		time.Sleep(restartDelay)
		if err := l.launch(leader); err != nil {
			l.note("%s can't be started again: %v", leader.name, err)
		}
	}()
	run, begun := l.awaitSpan(watchTime, func(s *span) bool { return s.task == task })
	if !begun || run.worker == first.worker {
		return nil, fmt.Errorf("the work item doesn't start on another worker")
	}
	l.note("the work item runs on %s as run %d; %s crashes, and starts again under its ID", run.worker, run.run, first.worker)
	l.killWorker(first)
	time.Sleep(downTime)
	if err := l.startWorker(first); err != nil {
		return nil, err
	}
	time.Sleep(watchTime)
	l.mu.Lock()
	l.note("%d of %d orders were late", l.lateOrders, l.orders)
	l.mu.Unlock()
	return l.overlaps(), nil
}
