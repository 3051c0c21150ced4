package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the minions.
const (
	heartbeat = 1500 * time.Millisecond
	// silentIntervals is the number of intervals of silence after which the store removes an entry.
	silentIntervals = 3
	holdMax         = 6 * time.Second
	stopTime        = 200 * time.Millisecond
	maxWait         = 2 * time.Second
	minionCPU       = 64000
	minionMem       = 131072
	atWork          = 100
	checkPause      = 20 * time.Millisecond
	// checkpointTime is the site's checkpointS.
	checkpointTime  = 2 * time.Second
	checkpointBytes = 3000
)

// run is a run of a work item on a minion.
type run struct {
	task       string
	number     int64
	checkpoint string
	stopping   bool
	timer      *time.Timer
}

// runEnd is the end of a run that the minion lists until it is acknowledged.
type runEnd struct {
	number int64
	run    *run
	how    string
	at     time.Time
}

// minion stands in for a minion, as PROTOCOL.md describes it. It is up from its start to the end of the program.
type minion struct {
	lab     *lab
	id      string
	machine string
	zone    string
	address string
	labels  []string
	born    time.Time

	mu       sync.Mutex
	sequence int64
	fence    int64
	// until is the end of the lease; zero while there is none.
	until   time.Time
	running map[string]*run
	highest map[string]int64
	ended   []runEnd
	// lapsedAt is when the lease last ran out.
	lapsedAt time.Time
	lastEnd  int64
	// changed is closed, and replaced, at each end.
	changed chan struct{}
	// dark is set while the minion is down.
	dark bool
	// cut is set while no call reaches the minion, and it reaches nobody.
	cut bool
	// dueAt is when the minion last wrote its entry or would have done so, and wroteAt when it did; zero once it was removed.
	dueAt, wroteAt time.Time
	// late is a start that has no answer, and that the minion carries out as soon as it is up again.
	late *minionCall
}

func newMinion(l *lab, number int) (*minion, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{lab: l, id: fmt.Sprintf("i-%08x", 0x51d00+number), machine: fmt.Sprintf("m-%d", number), zone: zones[number%len(zones)], address: listener.Addr().String(),
		labels: []string{"a", fmt.Sprintf("r1-%d", number/4)}, born: time.Now(), running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, m) }() // It serves until the program ends.
	go m.live()
	return m, nil
}

func (m *minion) clockMs() int64 { return 1 + time.Since(m.born).Milliseconds() }

// entry returns what the minion says of itself in the list.
func (m *minion) entry() map[string]any {
	return map[string]any{"service": poolName, "address": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"sequence": m.sequence, "born": m.born.UnixMilli(), "capacity": map[string]int64{"cpu": minionCPU, "memMb": minionMem}, "labels": m.labels}
}

// live writes the entry of the minion, and kills its runs when their lease has ended.
func (m *minion) live() {
	for next := time.Now(); ; time.Sleep(checkPause) {
		now := time.Now()
		m.mu.Lock()
		if !m.until.IsZero() && now.After(m.until) {
			m.until, m.lapsedAt = time.Time{}, now
			for _, r := range m.running {
				m.finish(r, "lapsed")
			}
		}
		if now.After(next) {
			next = now.Add(heartbeat)
			m.beat(now)
		}
		m.mu.Unlock()
	}
}

// beat writes the entry of the minion. The store removes that of one which is silent for three intervals. m.mu must be held.
func (m *minion) beat(now time.Time) {
	m.dueAt = now
	switch {
	case !m.dark && !m.cut:
		m.sequence++
		m.lab.store.put("keyed.servers", m.id, m.entry())
		m.wroteAt = now
	case m.cut && !m.wroteAt.IsZero() && now.Sub(m.wroteAt) > silentIntervals*heartbeat-checkPause:
		m.lab.note("the entry of %s is removed", m.id)
		m.lab.store.drop("keyed.servers", m.id)
		m.wroteAt = time.Time{}
	}
}

// cutOff partitions the minion from all machines and the store. It runs on. The cut ends after the time and at most one more
// interval, right after the minion would have written its entry.
func (m *minion) cutOff(length time.Duration) {
	m.setCut(true)
	go func() {
		time.Sleep(length)
		for m.sinceBeat() > 3*checkPause {
			time.Sleep(checkPause)
		}
		m.setCut(false)
	}()
}

func (m *minion) isDark() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dark
}

func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lab.note("%s is cut off: %t", m.id, cut)
	m.cut = cut
}

// sinceBeat returns the time since the minion last wrote its entry, or would have done so.
func (m *minion) sinceBeat() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.dueAt)
}

// finish ends a run. m.mu must be held.
func (m *minion) finish(r *run, how string) {
	if m.running[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.running, r.task)
	m.lastEnd++
	m.ended = append(m.ended, runEnd{m.lastEnd, r, how, time.Now()})
	m.lab.noteEnd(m, r, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// finishAfter ends a run after a time.
func (m *minion) finishAfter(r *run, wait time.Duration, how string) {
	r.timer = time.AfterFunc(wait, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finish(r, how)
	})
}

// saveAfter saves the progress of a run, number times checkpointS after its start, and then again.
func (m *minion) saveAfter(r *run, number int) {
	time.AfterFunc(checkpointTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.running[r.task] == r {
			r.checkpoint = fmt.Sprintf("%s/%d/%d/", r.task, r.number, number)
			r.checkpoint += strings.Repeat("=", checkpointBytes-len(r.checkpoint))
			m.saveAfter(r, number+1)
		}
	})
}

// leave reports whether the minion leaves the start without an answer, and carries it out late. m.mu must be held.
func (m *minion) leave(call *minionCall) bool {
	if m.lab.leaves == nil || !m.lab.leaves(m, call) {
		return false
	}
	m.lab.note("%s leaves the start of %s run %d without an answer", m.id, call.Task, call.Run)
	m.late = call
	return true
}

// crash ends the minion. After the time it starts again under its ID at its address, and knows nothing of before.
func (m *minion) crash(downTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lab.note("%s crashes", m.id)
	for _, r := range m.running {
		m.finish(r, "crashed")
	}
	m.dark = true
	time.AfterFunc(downTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lab.note("%s starts again", m.id)
		m.dark, m.born, m.sequence, m.fence, m.until, m.lastEnd = false, time.Now(), 0, 0, time.Time{}, 0
		m.running, m.highest, m.ended = map[string]*run{}, map[string]int64{}, nil
		if m.late != nil {
			m.fence = m.late.Token
			status, reason := m.start(m.late)
			m.lab.note("%s carries the start of %s run %d out late: %d %s", m.id, m.late.Task, m.late.Run, status, reason)
		}
	})
}

// minionCall is the body of a call of an entry process.
type minionCall struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"untilMs"`
	Token      int64  `json:"fencingToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

// ServeHTTP answers the calls of entry processes.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if intended := r.Header.Get("Expect-Instance"); intended != "" && intended != m.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": m.clockMs(), "born": m.born.UnixMilli()})
		return
	}
	var call minionCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, http.StatusBadRequest, map[string]any{"clockMs": m.clockMs(), "born": m.born.UnixMilli()})
		return
	}
	m.mu.Lock()
	if m.dark || m.cut || r.URL.Path == "/run-start" && m.leave(&call) {
		m.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	defer m.mu.Unlock()
	status, reason := http.StatusOK, ""
	if call.Token < m.fence {
		status, reason = http.StatusConflict, "fence"
	} else {
		m.fence = call.Token
		switch r.URL.Path {
		case "/hold":
			m.hold(w, r, &call)
			return
		case "/run-start":
			status, reason = m.start(&call)
		case "/run-stop":
			m.stop(&call)
		case "/pace":
		default:
			status = http.StatusNotFound
		}
	}
	body := map[string]any{"clockMs": m.clockMs(), "born": m.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, status, body)
}

// extend takes the end of the lease, which never shortens. m.mu must be held.
func (m *minion) extend(untilMs int64) {
	now, until := time.Now(), m.born.Add(time.Duration(untilMs)*time.Millisecond)
	if limit := now.Add(holdMax); until.After(limit) {
		until = limit
	}
	if until.After(m.until) && until.After(now) {
		m.until = until
	}
}

// start carries out the order to start a run. m.mu must be held.
func (m *minion) start(call *minionCall) (status int, reason string) {
	known := m.running[call.Task]
	switch {
	case known != nil && known.number == call.Run:
		m.extend(call.UntilMs)
		return http.StatusOK, ""
	case call.Run <= m.highest[call.Task] || known != nil:
		m.extend(call.UntilMs)
		return http.StatusConflict, "old"
	case call.UntilMs <= m.clockMs():
		return http.StatusConflict, "late"
	}
	asked := m.lab.stepOf(call.Task)
	if asked == nil {
		m.lab.breach("UNASKED", "%s is told to start %s, which nobody sent", m.id, call.Task)
		return http.StatusBadRequest, ""
	}
	free := int64(minionCPU) - asked.CPU
	for task := range m.running {
		free -= m.lab.stepOf(task).CPU
	}
	if free < 0 {
		m.extend(call.UntilMs)
		return http.StatusConflict, "room"
	}
	m.extend(call.UntilMs)
	begun := &run{task: call.Task, number: call.Run, checkpoint: call.Checkpoint}
	m.running[call.Task], m.highest[call.Task] = begun, call.Run
	m.lab.noteStart(m, begun, call)
	if !asked.LongRunning {
		m.finishAfter(begun, asked.workOf(call.Task), m.lab.outcome(m, call))
	}
	if asked.Checkpointing {
		m.saveAfter(begun, 1)
	}
	return http.StatusOK, ""
}

// stop carries out the order to stop a run. m.mu must be held.
func (m *minion) stop(call *minionCall) {
	m.highest[call.Task] = max(m.highest[call.Task], call.Run)
	if known := m.running[call.Task]; known != nil && known.number <= call.Run && !known.stopping {
		known.stopping = true
		if known.timer != nil {
			known.timer.Stop()
		}
		m.lab.note("%s stops %s run %d", m.id, call.Task, known.number)
		m.finishAfter(known, stopTime, "stopped")
	}
}

// hold answers a renewal of the lease. m.mu must be held.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, call *minionCall) {
	if call.UntilMs > 0 {
		m.extend(call.UntilMs)
	}
	for len(m.ended) > 0 && m.ended[0].number <= call.LastSeen {
		m.lab.noteSeen(m, m.ended[0], m.ended[0].at.Before(m.lapsedAt))
		m.ended = m.ended[1:]
	}
	if wait := min(time.Duration(call.WaitMs)*time.Millisecond, maxWait); wait > 0 && len(m.ended) == 0 {
		changed := m.changed
		m.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		m.mu.Lock()
	}
	if m.dark || m.cut {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, known := range m.running {
		running = append(running, []any{known.task, known.number, known.checkpoint, atWork, m.lab.stepOf(known.task).CPU})
	}
	for _, e := range m.ended {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clockMs(), "born": m.born.UnixMilli(), "running": running, "ended": ended,
		"capacity": map[string]int64{"cpu": minionCPU, "memMb": minionMem}, "labels": m.labels})
}

// jobOf returns the ID of the job of a work item.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
