package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the workers, as in the settings of the processes.
const (
	leaseLimit   = 6 * time.Second
	stopDuration = 100 * time.Millisecond
	longestHold  = 2 * time.Second
	beatInterval = 1500 * time.Millisecond
	lapseCheck   = 10 * time.Millisecond
	maxEndsShown = 500
	defaultWork  = 300 * time.Millisecond
)

// workerFlags are the settings of a worker process.
type workerFlags struct {
	id, listen, advertised, zone, rack, control string
	cpu                                         int64
}

// workerRun is a run on a worker.
type workerRun struct {
	task     string
	number   int64
	stopping bool
	timer    *time.Timer
}

// workerEnd is the end of a run.
type workerEnd struct {
	n    int64
	task string
	run  int64
	how  string
}

// workerProcess is one life of a worker. It follows PROTOCOL.md: orders are carried out at once, fencing tokens, run
// numbers, leases and ends are kept in memory only.
type workerProcess struct {
	workerFlags
	born time.Time

	mu       sync.Mutex
	fence    int64
	until    time.Time
	running  map[string]*workerRun
	highest  map[string]int64
	ended    []workerEnd
	lastEnd  int64
	sequence int64
	changed  chan struct{}
}

// runWorker runs a worker process until it is killed.
func runWorker(flags workerFlags) error {
	w := &workerProcess{workerFlags: flags, born: time.Now(), running: map[string]*workerRun{}, highest: map[string]int64{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", flags.listen)
	if err != nil {
		return err
	}
	w.tell(event{Kind: "born", Worker: w.id})
	go w.live()
	return http.Serve(listener, w)
}

// event is what a worker tells the recorder.
type event struct {
	Kind, Worker, Task, How string
	Run, Token              int64
	Entry                   json.RawMessage `json:",omitempty"`
}

// tell passes an event to the recorder, which notes its time.
func (w *workerProcess) tell(e event) {
	body, err := json.Marshal(e)
	if err != nil {
		return
	}
	response, err := http.Post("http://"+w.control+"/event", "application/json", bytes.NewReader(body))
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

func (w *workerProcess) clockMs() int64 { return 1 + time.Since(w.born).Milliseconds() }

// live writes the worker's entry in the list, and ends what its lease has lapsed for.
func (w *workerProcess) live() {
	for next := time.Now(); ; time.Sleep(lapseCheck) {
		now := time.Now()
		w.mu.Lock()
		if !w.until.IsZero() && now.After(w.until) {
			w.until = time.Time{}
			for _, r := range w.running {
				w.finish(r, "lapsed")
			}
		}
		w.mu.Unlock()
		if now.Before(next) {
			continue
		}
		next = now.Add(beatInterval)
		w.sequence++
		entry, err := json.Marshal(map[string]any{"service": pool, "address": w.advertised, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": w.capacity(), "labels": []string{"a", w.rack}, "clockMs": w.clockMs(), "sequence": w.sequence, "born": w.born.UnixMilli()})
		if err == nil {
			w.tell(event{Kind: "beat", Worker: w.id, Entry: entry})
		}
	}
}

func (w *workerProcess) capacity() map[string]int64 {
	return map[string]int64{"cpu": w.cpu, "memMb": 65536, "gpu": 0}
}

// finish ends a run. w.mu must be held.
func (w *workerProcess) finish(r *workerRun, how string) {
	if w.running[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.running, r.task)
	w.lastEnd++
	w.ended = append(w.ended, workerEnd{w.lastEnd, r.task, r.number, how})
	w.tell(event{Kind: "end", Worker: w.id, Task: r.task, Run: r.number, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// finishAfter ends a run after a time.
func (w *workerProcess) finishAfter(r *workerRun, wait time.Duration, how string) {
	r.timer = time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(r, how)
	})
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Token    int64  `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *workerProcess) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var order orderBody
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status, reason := http.StatusOK, ""
	switch {
	case order.Token < w.fence:
		status, reason = http.StatusConflict, "fence"
	case r.URL.Path == "/hold":
		w.fence = order.Token
		w.hold(writer, r, order)
		return
	case r.URL.Path == "/run-start":
		w.fence = order.Token
		status, reason = w.start(order)
	case r.URL.Path == "/run-stop":
		w.fence = order.Token
		w.stop(order)
	default:
		w.fence = order.Token
	}
	body := map[string]any{"clockMs": w.clockMs(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(writer, status, body)
}

// extend takes the end of the lease. w.mu must be held.
func (w *workerProcess) extend(untilMs int64) {
	now, until := time.Now(), w.born.Add(time.Duration(untilMs)*time.Millisecond)
	if limit := now.Add(leaseLimit); until.After(limit) {
		until = limit
	}
	if until.After(w.until) && until.After(now) {
		w.until = until
	}
}

// lastingSpec is the spec of work items that last.
const lastingSpec = "lasting"

// workOf returns the time that the spec asks for: "work=MS".
func workOf(spec string) time.Duration {
	if text, ok := strings.CutPrefix(spec, "work="); ok {
		if ms, err := strconv.Atoi(text); err == nil {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return defaultWork
}

// start carries out the order to start a run. w.mu must be held.
func (w *workerProcess) start(order orderBody) (status int, reason string) {
	known := w.running[order.Task]
	switch {
	case known != nil && known.number == order.Run:
		w.extend(order.UntilMs)
		return http.StatusOK, ""
	case order.Run <= w.highest[order.Task] || known != nil:
		w.extend(order.UntilMs)
		return http.StatusConflict, "old"
	case order.UntilMs <= w.clockMs():
		return http.StatusConflict, "late"
	}
	w.extend(order.UntilMs)
	if int64(len(w.running)+1)*itemCPU > w.cpu {
		return http.StatusConflict, "room"
	}
	begun := &workerRun{task: order.Task, number: order.Run}
	w.running[order.Task], w.highest[order.Task] = begun, order.Run
	w.tell(event{Kind: "start", Worker: w.id, Task: order.Task, Run: order.Run, Token: order.Token})
	if order.Spec != lastingSpec {
		w.finishAfter(begun, workOf(order.Spec), "done")
	}
	return http.StatusOK, ""
}

// stop carries out the order to stop a run. w.mu must be held.
func (w *workerProcess) stop(order orderBody) {
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	known := w.running[order.Task]
	if known == nil || known.number > order.Run || known.stopping {
		return
	}
	known.stopping = true
	if known.timer != nil {
		known.timer.Stop()
	}
	w.finishAfter(known, stopDuration, "stopped")
}

// hold answers a renewal of the lease. w.mu must be held.
func (w *workerProcess) hold(writer http.ResponseWriter, r *http.Request, order orderBody) {
	if order.UntilMs > 0 {
		w.extend(order.UntilMs)
	}
	for len(w.ended) > 0 && w.ended[0].n <= order.LastSeen {
		w.ended = w.ended[1:]
	}
	if wait := min(time.Duration(order.WaitMs)*time.Millisecond, longestHold); wait > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, one := range w.running {
		running = append(running, []any{one.task, one.number, "", 100, itemCPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEndsShown)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(writer, http.StatusOK, map[string]any{"clockMs": w.clockMs(), "born": w.born.UnixMilli(), "running": running, "ended": ended, "capacity": w.capacity(),
		"labels": []string{"a", w.rack}})
}

func (e event) String() string {
	return fmt.Sprintf("%s worker=%s task=%s run=%d token=%d how=%s", e.Kind, e.Worker, e.Task, e.Run, e.Token, e.How)
}
