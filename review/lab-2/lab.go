package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	pool      = "clips"
	queueHost = "pule25.example"
	queuePath = "/puxa400/"
	clientKey = "sjnbanfqasnmgkcuyj8p"
	// itemCPU is what each work item needs.
	itemCPU = 1000
	// lateLimit is the longest time for which an order is kept.
	lateLimit   = 12 * time.Second
	readyTime   = 20 * time.Second
	pollPause   = 20 * time.Millisecond
	graceTime   = 6 * time.Second
	clientLimit = 3 * time.Second
	// listDelay is how long the list of machines takes to show that a worker has ended.
	listDelay = 300 * time.Millisecond
	// silentBeats is after how long without a beat the entry of a worker is removed.
	silentBeats = 3 * beatInterval
)

var zones = []string{"a", "b", "c"}

// node is an entry process.
type node struct {
	name, front, readiness, settings string
	command                          *exec.Cmd
	ended                            chan struct{}
}

// machine is a machine with its worker.
type machine struct {
	id, worker, listen, zone, rack string
	link                           *link
	command                        *exec.Cmd
	ended                          chan struct{}
	up                             bool
	downSince, lastBeat            time.Time
	listed                         bool
}

// span is a run of a work item, as its worker told.
type span struct {
	worker, task string
	run, token   int64
	from         time.Time
	to           time.Time
	how          string
}

// lab is everything around the entry processes, and the record.
type lab struct {
	dir, control string
	began        time.Time
	store        *store
	nodes        []*node
	machines     []*machine
	record       io.Writer

	mu sync.Mutex
	// orders counts the orders to workers, and lateOrders those that were kept.
	orders, lateOrders int
	spans              []*span

	// recording protects the record.
	recording sync.Mutex
}

// note writes a line to the record.
func (l *lab) note(format string, values ...any) {
	l.recording.Lock()
	defer l.recording.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, values...))
}

// serve serves the handler at a free loopback address, and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() // It ends with this process.
	return listener.Addr().String(), nil
}

// Ports of the processes are below those that the system gives to outgoing connections.
const (
	firstPort, lastPort = 12000, 32000
	portStep            = 61
)

var nextPort = firstPort + os.Getpid()*portStep%(lastPort-firstPort)

// freePorts returns the first of some consecutive free ports.
func freePorts(count int) (int, error) {
	for range lastPort - firstPort {
		if nextPort += count; nextPort+count > lastPort {
			nextPort = firstPort
		}
		free := true
		for port := nextPort; port < nextPort+count && free; port++ {
			probe, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = probe.Close()
			}
		}
		if free {
			return nextPort, nil
		}
	}
	return 0, errors.New("no free ports")
}

// newLab starts the stand-ins, the workers and the entry processes, and waits until jobs can run.
func newLab(record io.Writer, workers int) (*lab, error) {
	l := &lab{began: time.Now(), store: newStore(), record: record}
	var err error
	if l.dir, err = os.MkdirTemp("", "lab-2-"); err != nil {
		return nil, err
	}
	if l.control, err = serve(http.HandlerFunc(l.handleEvent)); err != nil {
		return nil, err
	}
	storeAddress, err := serve(l.store)
	if err != nil {
		return nil, err
	}
	cloudAddress, err := serve(http.HandlerFunc(l.handleCloud))
	if err != nil {
		return nil, err
	}
	l.putConfig(1, []string{clientKey})
	for n := range workers {
		port, err := freePorts(1)
		if err != nil {
			return l, err
		}
		m := &machine{id: fmt.Sprintf("m-%d", n), worker: fmt.Sprintf("i-%d", n), listen: fmt.Sprintf("127.0.0.1:%d", port), zone: zones[n%len(zones)], rack: fmt.Sprintf("r1-%d", n/rackSize)}
		if m.link, err = newLink(l, m.worker, m.listen); err != nil {
			return l, err
		}
		l.machines = append(l.machines, m)
		if err := l.startWorker(m); err != nil {
			return l, err
		}
	}
	go l.expireEntries()
	for n := range zones {
		if err := l.startNode(n, storeAddress, cloudAddress); err != nil {
			return l, err
		}
	}
	return l, l.awaitReady()
}

// putConfig publishes a configuration.
func (l *lab) putConfig(version int, keys []string) {
	config, err := json.Marshal(map[string]any{"version": version,
		"routes": []any{map[string]any{"name": "r-1", "host": queueHost, "pathPrefix": queuePath, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600,
			"priority": 0, "service": pool, "maxAttempts": 3, "slackFactor": 1.6, "public": false}},
		"services": []any{map[string]any{"name": pool, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": true, "standby": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants":  []any{map[string]any{"name": "cugo130", "apiKeys": keys, "weight": 52, "maxCount": map[string]any{"cpu": 2487867, "memMb": 4098123, "gpu": 0}}}})
	if err == nil {
		l.store.put(operatorTop, "config", config)
	}
}

// startWorker starts the process of a machine's worker.
func (l *lab) startWorker(m *machine) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	m.command = exec.Command(self, "-worker", m.worker, "-listen", m.listen, "-advertised", m.link.address(), "-zone", m.zone, "-rack", m.rack, "-control", l.control, "-cpu", fmt.Sprint(workerCPU))
	m.command.Stderr = os.Stderr
	if err := m.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.ended = ended
	command := m.command
	go func() {
		_ = command.Wait() // It is killed.
		close(ended)
	}()
	return nil
}

// killWorker kills the worker of a machine with all that runs there.
func (l *lab) killWorker(m *machine) {
	_ = m.command.Process.Kill()
	<-m.ended
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	m.up, m.downSince = false, now
	for _, s := range l.spans {
		if s.worker == m.worker && s.to.IsZero() {
			s.to, s.how = now, "crashed"
		}
	}
	l.note("worker %s is killed", m.worker)
}

// killNode kills an entry process.
func (l *lab) killNode(n *node) {
	_ = n.command.Process.Kill()
	<-n.ended
}

// leader returns the entry process whose log has the latest term; nil if none has.
func (l *lab) leader() *node {
	var leader *node
	latest := 0
	for _, n := range l.nodes {
		text, err := os.ReadFile(filepath.Join(l.dir, n.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, "event=term_open") {
				continue
			}
			for _, word := range strings.Fields(line) {
				value, isTerm := strings.CutPrefix(word, "term=")
				if term, err := strconv.Atoi(value); isTerm && err == nil && term > latest {
					leader, latest = n, term
				}
			}
		}
	}
	return leader
}

// handleEvent records what workers tell.
func (l *lab) handleEvent(w http.ResponseWriter, r *http.Request) {
	var e event
	if json.NewDecoder(r.Body).Decode(&e) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.machineOf(e.Worker)
	switch e.Kind {
	case "born":
		m.up = true
	case "beat":
		m.lastBeat, m.listed = now, true
		l.store.put(serversTopic, e.Worker, e.Entry)
		return
	case "start":
		l.spans = append(l.spans, &span{worker: e.Worker, task: e.Task, run: e.Run, token: e.Token, from: now})
	case "end":
		for _, s := range l.spans {
			if s.worker == e.Worker && s.task == e.Task && s.run == e.Run && s.to.IsZero() {
				s.to, s.how = now, e.How
			}
		}
	}
	l.note("worker %s", e)
}

// machineOf returns the machine of a worker.
func (l *lab) machineOf(worker string) *machine {
	for _, m := range l.machines {
		if m.worker == worker {
			return m
		}
	}
	return nil
}

// expireEntries removes the entries of workers that are silent.
func (l *lab) expireEntries() {
	for ; ; time.Sleep(pollPause) {
		l.mu.Lock()
		for _, m := range l.machines {
			if m.listed && time.Since(m.lastBeat) > silentBeats {
				m.listed = false
				l.store.put(serversTopic, m.worker, nil)
				l.note("entry of worker %s is removed", m.worker)
			}
		}
		l.mu.Unlock()
	}
}

// handleCloud lists the machines, and refuses to move them.
func (l *lab) handleCloud(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range l.machines {
		row := map[string]any{"machine": m.id, "pool": pool, "state": "up", "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": map[string]int64{"cpu": workerCPU, "memMb": 65536, "gpu": 0}, "id": m.worker}
		if !m.up && time.Since(m.downSince) > listDelay {
			row["state"], row["id"] = "down", ""
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

const settingsText = `nodeName = "%[1]s"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "%[2]s"
region = "r"
portRange = [%[3]d, %[4]d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","upkeep","sharing"]
orders = "call"
advice = ""
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "%[5]s"
readiness = "%[6]s"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
configApplyMs = 2000
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
noticeMs = 4500
moveS = 1.5
upkeepS = 2
fencingEnabled = true
leaseMs = 3000
[platform]
address = "%[7]s"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 32
recordBytes = 262144
callBytes = 2097152
keep_s = 300
ttlMinMs = 1000
[cloud]
address = "%[8]s"
ratePerS = 64.0
dutyPerS = 64.0
`

// deployCommand returns the words of the command in the deploy file.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = \""); ok {
			return strings.Fields(strings.TrimSuffix(strings.TrimSpace(value), "\"")), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no run line")
}

// startNode starts an entry process with the command of the deploy file.
func (l *lab) startNode(index int, storeAddress, cloudAddress string) error {
	first, err := freePorts(4)
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("frontend-%s-1", zones[index]), front: fmt.Sprintf("127.0.0.1:%d", first+2), readiness: fmt.Sprintf("127.0.0.1:%d", first+3)}
	n.settings = filepath.Join(l.dir, n.name+".toml")
	text := fmt.Sprintf(settingsText, n.name, zones[index], first, first+1, n.front, n.readiness, storeAddress, cloudAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	l.nodes = append(l.nodes, n)
	return l.launch(n)
}

// launch starts the process of a node.
func (l *lab) launch(n *node) error {
	words, err := deployCommand()
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(l.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	n.command = exec.Command(words[0], words[1:]...)
	n.command.Env = append(os.Environ(), "TURMERICYOKE_NODE_FILE="+n.settings)
	n.command.Stdout, n.command.Stderr = output, output
	if err := n.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	command := n.command
	go func() {
		_ = command.Wait() // It is told to end.
		close(ended)
	}()
	return nil
}

// awaitReady waits until all entry processes are ready and a job has run.
func (l *lab) awaitReady() error {
	deadline := time.Now().Add(readyTime)
	for _, n := range l.nodes {
		for !isReady(n) {
			if time.Now().After(deadline) {
				return errors.New(n.name + " isn't ready in time")
			}
			time.Sleep(pollPause)
		}
	}
	l.note("all entry processes are ready")
	for serial := 0; time.Now().Before(deadline); serial++ {
		id := fmt.Sprintf("%016x", 0xfeed0000+serial)
		if status, _ := l.call(l.nodes[0], http.MethodPost, id, jobBody(1, 50)); status == http.StatusOK && l.awaitState(id, "completed", time.Until(deadline)) {
			return nil
		}
		time.Sleep(10 * pollPause)
	}
	return errors.New("no job runs")
}

func isReady(n *node) bool {
	response, err := http.Get("http://" + n.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// jobBody returns the body of a job with one step.
func jobBody(count, workMs int) string {
	body, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("work=%d", workMs), // It has only texts and numbers.
		"steps": []any{map[string]any{"count": count, "cpu": itemCPU, "memMb": 256, "estimateMs": workMs}}})
	return string(body)
}

// lastingBody returns the body of a job with work items that last.
func lastingBody(count int) string {
	body, _ := json.Marshal(map[string]any{"spec": lastingSpec, // It has only texts and numbers.
		"steps": []any{map[string]any{"count": count, "cpu": itemCPU, "memMb": 256, "estimateMs": 1000, "longRunning": true}}})
	return string(body)
}

// idle returns the longest time after the given moment for which nothing of the work item ran, up to now.
func (l *lab) idle(task string, after time.Time) (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for at := after; at.Before(now); {
		next, running := now, false
		for _, s := range l.spans {
			if s.task != task {
				continue
			}
			switch {
			case s.from.After(at):
				if s.from.Before(next) {
					next = s.from
				}
			case s.to.IsZero():
				return longest
			case s.to.After(at):
				running, next = true, s.to
			}
			if running {
				break
			}
		}
		if !running {
			longest = max(longest, next.Sub(at))
		}
		at = next.Add(time.Nanosecond)
	}
	return longest
}

// call sends a call of a client, and returns the status, 0 if there is no response, and the body.
func (l *lab) call(n *node, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+queuePath+id, bytes.NewBufferString(body))
	if err != nil {
		return 0, ""
	}
	request.Host = queueHost
	request.Header.Set("Credential", clientKey)
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientLimit.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		l.note("client: %s %s at %s: no response", method, id, n.name)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	if method != http.MethodGet {
		l.note("client: %s %s at %s: %d", method, id, n.name, response.StatusCode)
	}
	return response.StatusCode, string(answer)
}

// submit submits a job until it is accepted, each time at another entry process.
func (l *lab) submit(id, body string) bool {
	for attempt := range 20 {
		if status, _ := l.call(l.nodes[attempt%len(l.nodes)], http.MethodPost, id, body); status == http.StatusOK {
			return true
		}
		time.Sleep(10 * pollPause)
	}
	return false
}

// awaitState waits until the job has the state.
func (l *lab) awaitState(id, state string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollPause) {
		if status, body := l.call(l.nodes[0], http.MethodGet, id, ""); status == http.StatusOK && strings.Contains(body, `"`+state+`"`) {
			return true
		}
	}
	return false
}

// awaitSpan waits until a run fits, and returns a copy of it.
func (l *lab) awaitSpan(limit time.Duration, fits func(s *span) bool) (span, bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollPause / 10) {
		l.mu.Lock()
		for _, s := range l.spans {
			if fits(s) {
				l.mu.Unlock()
				return *s, true
			}
		}
		l.mu.Unlock()
	}
	return span{}, false
}

// overlaps returns the pairs of runs of one work item at the same time, longer than a bound for the way of the events.
func (l *lab) overlaps() []string {
	const smallest = 5 * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var found []string
	for n, a := range l.spans {
		for _, b := range l.spans[n+1:] {
			if a.task != b.task {
				continue
			}
			from, to := b.from, now
			for _, s := range []*span{a, b} {
				if !s.to.IsZero() && s.to.Before(to) {
					to = s.to
				}
				if s.from.After(from) {
					from = s.from
				}
			}
			if to.Sub(from) > smallest {
				found = append(found, fmt.Sprintf("TWICE: %s runs as run %d on %s and as run %d on %s at the same time for %d ms", a.task, a.run, a.worker, b.run, b.worker, to.Sub(from).Milliseconds()))
			}
		}
	}
	return found
}

// close ends all processes that were started.
func (l *lab) close() {
	for _, n := range l.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, n := range l.nodes {
		if n.ended == nil {
			continue
		}
		select {
		case <-n.ended:
		case <-time.After(graceTime):
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
	for _, m := range l.machines {
		if m.ended != nil {
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}
