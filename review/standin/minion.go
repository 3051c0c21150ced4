package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Figures of the minions, as in the settings that the entry processes get.
const (
	heartbeat     = 1500 * time.Millisecond
	missedBeats   = 3
	holdMax       = 6 * time.Second
	checkpointDue = 2 * time.Second
	leaseCheck    = 20 * time.Millisecond
	maxHoldWait   = 2 * time.Second
	maxEnds       = 500
	minionCores   = 64
)

// amount is an amount of each resource.
type amount struct {
	CPU   int64 `json:"cpu"`
	MemMb int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

var minionCapacity = amount{CPU: minionCores * 1000, MemMb: 131072}

// run is a run on a minion.
type run struct {
	task      string
	number    int64
	beganAt   time.Time
	need      amount
	lasts     bool
	saves     bool
	timer     *time.Timer
	checkedIn string
}

type end struct {
	n          int64
	task       string
	number     int64
	how, saved string
}

// minion is one life of a machine.
type minion struct {
	platform *platform
	id, rack string
	zone     string
	service  string
	address  string
	born     time.Time
	server   *http.Server

	mu       sync.Mutex
	gone     bool
	fence    int64
	until    time.Time
	running  map[string]*run
	highest  map[string]int64
	ended    []end
	lastEnd  int64
	changed  chan struct{}
	sequence int64
	// refuseUntil is until when the minion is unhealthy and answers starts with 503.
	refuseUntil time.Time
}

// newMinion starts a minion on a free loopback port.
func newMinion(p *platform, service, zone, rack string) *minion {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("can't listen: %v", err)
	}
	m := &minion{platform: p, id: p.newID("i-"), service: service, zone: zone, rack: rack, address: listener.Addr().String(), born: time.Now(),
		running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{})}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(listener) }()
	go m.live()
	return m
}

// live writes the minion's entry in the store and ends what its lease has lapsed for.
func (m *minion) live() {
	next := time.Now()
	for {
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		if len(m.running) > 0 && time.Now().After(m.until) {
			for _, r := range m.running {
				m.finish(r, "lapsed")
			}
		}
		beat := time.Now().After(next)
		if beat {
			next = time.Now().Add(heartbeat)
			m.sequence++
			value, _ := json.Marshal(map[string]any{"service": m.service, "address": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready",
				"coldRemainingMs": 0, "sequence": m.sequence, "born": m.born.UnixMilli(), "clockMs": m.clockMs(), "capacity": minionCapacity, "labels": []string{"a", m.rack}})
			m.platform.store.put(serversTopic, m.id, value)
		}
		m.mu.Unlock()
		time.Sleep(leaseCheck)
	}
}

// terminate ends the minion: all that runs there ends, and its entry goes.
func (m *minion) terminate() {
	m.stop()
	m.platform.store.put(serversTopic, m.id, nil)
}

// stop ends the minion and all that runs there.
func (m *minion) stop() {
	m.mu.Lock()
	m.gone = true
	for _, r := range m.running {
		m.finish(r, "lost")
	}
	m.mu.Unlock()
	_ = m.server.Close()
}

func (m *minion) clockMs() int64 { return 1 + time.Since(m.born).Milliseconds() }

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
	m.ended = append(m.ended, end{m.lastEnd, r.task, r.number, how, r.checkpoint()})
	m.platform.noteEnd(m, r, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// checkpoint returns the newest checkpoint of the run, as wide as in the example of PROTOCOL.md.
func (r *run) checkpoint() string {
	if steps := int64(time.Since(r.beganAt) / checkpointDue); r.saves && steps > 0 {
		return fmt.Sprintf("%08x%08x", steps*checkpointDue.Milliseconds(), uint32(len(r.task)))
	}
	return r.checkedIn
}

// used returns what the runs take. m.mu must be held.
func (m *minion) used() amount {
	var sum amount
	for _, r := range m.running {
		sum.CPU += r.need.CPU
		sum.MemMb += r.need.MemMb
	}
	return sum
}

type callBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"untilMs"`
	Token      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expect-Instance") != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body callBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		panic(http.ErrAbortHandler)
	}
	answer := func(status int, reason string) {
		fields := map[string]any{"clockMs": m.clockMs(), "born": m.born.UnixMilli()}
		if reason != "" {
			fields["reason"] = reason
		}
		reply(w, status, fields)
	}
	if body.Token < m.fence {
		answer(http.StatusConflict, "fence")
		return
	}
	m.fence = body.Token
	switch r.URL.Path {
	case "/run-start":
		m.start(body, answer)
	case "/run-stop":
		if known := m.running[body.Task]; known != nil && known.number <= body.Run {
			m.finish(known, "stopped")
		}
		m.highest[body.Task] = max(m.highest[body.Task], body.Run)
		answer(http.StatusOK, "")
	case "/pace":
		answer(http.StatusOK, "")
	case "/hold":
		m.hold(w, r, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// extend takes the end of the lease. m.mu must be held.
func (m *minion) extend(untilMs int64) {
	until := m.born.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := time.Now().Add(holdMax); until.After(limit) {
		until = limit
	}
	if until.After(m.until) {
		m.until = until
	}
}

func (m *minion) start(body callBody, answer func(int, string)) {
	if time.Now().Before(m.refuseUntil) {
		m.platform.noteRefused(m, body.Task)
		answer(http.StatusServiceUnavailable, "")
		return
	}
	if known := m.running[body.Task]; known != nil && known.number == body.Run {
		m.extend(body.UntilMs)
		answer(http.StatusOK, "")
		return
	}
	if body.Run <= m.highest[body.Task] || m.running[body.Task] != nil {
		m.extend(body.UntilMs)
		answer(http.StatusConflict, "old")
		return
	}
	if body.UntilMs <= m.clockMs() {
		answer(http.StatusConflict, "late")
		return
	}
	m.extend(body.UntilMs)
	item := m.platform.itemOf(body.Task)
	used := m.used()
	if used.CPU+item.need.CPU > minionCapacity.CPU || used.MemMb+item.need.MemMb > minionCapacity.MemMb {
		answer(http.StatusConflict, "room")
		return
	}
	begun := &run{task: body.Task, number: body.Run, beganAt: time.Now(), need: item.need, lasts: item.lasts, saves: item.saves, checkedIn: body.Checkpoint}
	m.running[body.Task], m.highest[body.Task] = begun, body.Run
	m.platform.noteStart(m, begun)
	switch {
	case item.gang > 0:
		m.platform.joinGang(m, begun, item)
	case !item.lasts:
		begun.timer = time.AfterFunc(item.work, func() { m.end(begun, "done") })
	}
	answer(http.StatusOK, "")
}

// hold answers a renewal of the lease. m.mu must be held.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, body callBody) {
	if body.UntilMs > 0 {
		m.extend(body.UntilMs)
	}
	for len(m.ended) > 0 && m.ended[0].n <= body.LastSeen {
		m.ended = m.ended[1:]
	}
	if wait := min(time.Duration(body.WaitMs)*time.Millisecond, maxHoldWait); wait > 0 && len(m.ended) == 0 {
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
		if m.gone {
			panic(http.ErrAbortHandler)
		}
	}
	tasks := make([]string, 0, len(m.running))
	for task := range m.running {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	running, ended := [][]any{}, [][]any{}
	for _, task := range tasks {
		r := m.running[task]
		percent := 41
		if r.lasts && time.Since(r.beganAt) > 500*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, r.checkpoint(), percent, r.need.CPU})
	}
	for _, e := range m.ended[:min(len(m.ended), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.number, e.how, e.saved})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clockMs(), "born": m.born.UnixMilli(), "running": running, "ended": ended, "capacity": minionCapacity, "labels": []string{"a", m.rack}})
}
