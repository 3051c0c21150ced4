package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
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

// Names of the installation.
const (
	poolName  = "clips"
	queueHost = "pule25.example"
	prefix    = "/puxa400/"
	tenantKey = "k-5c0e7a21d94b36f8"
	// patience is how long a client waits for an answer.
	patience = 3 * time.Second
)

var zones = []string{"midrand", "centurion", "germiston"}

// step is a step of a job, with the time that its work items take.
type step struct {
	Count       int    `json:"count,omitempty"`
	CPU         int64  `json:"cpu"`
	MemMb       int64  `json:"memMb"`
	EstimateMs  int64  `json:"estimateMs"`
	DependsOn   []int  `json:"dependsOn,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Image       string `json:"image,omitempty"`
	// Checkpointing work items save their progress.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// work is the least time that a work item takes, and spread is by how much it may be longer.
	work, spread time.Duration
}

// workOf returns the time that the work item takes.
func (s *step) workOf(task string) time.Duration {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(task)) // It has no errors.
	return s.work + s.spread*time.Duration(sum.Sum32()%1000)/1000
}

// recurrence tells when a job is due: times times, or once if times is 0.
type recurrence struct {
	first    time.Time
	interval time.Duration
	times    int
}

// entry is an entry process.
type entry struct {
	name, zone, ip  string
	front, ready    int
	ports           [2]int
	settings        string
	command         *exec.Cmd
	ended           chan struct{}
	mayEnd          bool
	store, machines string
}

// lab is a small deployment on loopback addresses: entry processes, and stand-ins for the platform and the minions.
type lab struct {
	began   time.Time
	store   *store
	minions []*minion
	entries []*entry
	dir     string
	log     *os.File
	// leaves reports whether a minion leaves a start without an answer; nil if none does.
	leaves func(m *minion, call *minionCall) bool
	// fails reports whether a run that starts will fail; nil if none does.
	fails func(m *minion, call *minionCall) bool

	mu   sync.Mutex
	jobs map[string][]step
	// active holds the minion and the run of each work item that runs, and done the ends that were taken note of.
	active map[string]map[string]int64
	done   map[string]string
	broken []string
}

func newLab(recordPath string) (*lab, error) {
	log, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return nil, err
	}
	return &lab{began: time.Now(), store: newStore(), dir: dir, log: log, jobs: map[string][]step{}, active: map[string]map[string]int64{}, done: map[string]string{}}, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.log.WriteString(line) // The verdict doesn't depend on the record.
}

// breach notes that a rule was broken.
func (l *lab) breach(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	l.note("BROKEN %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// isBroken reports whether a rule was broken.
func (l *lab) isBroken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.broken) > 0
}

// stepOf returns the step of a work item, or nil if nobody has submitted it.
func (l *lab) stepOf(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	number, err := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	l.mu.Lock()
	defer l.mu.Unlock()
	steps := l.jobs[parts[0]]
	if err != nil || indexErr != nil || number < 0 || number >= len(steps) || index < 0 || index >= steps[number].Count {
		return nil
	}
	return &steps[number]
}

// noteStart records a start and checks the rule TWICE.
func (l *lab) noteStart(m *minion, r *run, call *minionCall) {
	l.note("%s starts %s run %d for fence number %d", m.id, r.task, r.number, call.Token)
	l.mu.Lock()
	others := map[string]int64{}
	for id, number := range l.active[r.task] {
		others[id] = number
	}
	if l.active[r.task] == nil {
		l.active[r.task] = map[string]int64{}
	}
	l.active[r.task][m.id] = r.number
	seen := l.done[r.task]
	l.mu.Unlock()
	for id, number := range others {
		l.breach("TWICE", "%s run %d begins at %s while run %d goes on at %s", r.task, r.number, m.id, number, id)
	}
	if seen != "" {
		l.breach("TWICE", "%s run %d begins at %s after %s was taken note of", r.task, r.number, m.id, seen)
	}
}

// outcome returns how a run that starts will end.
func (l *lab) outcome(m *minion, call *minionCall) string {
	if l.fails != nil && l.fails(m, call) {
		return "failed"
	}
	return "done"
}

// minionOf returns the minion that runs the work item, or nil if none does.
func (l *lab) minionOf(task string) *minion {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.minions {
		if _, runs := l.active[task][m.id]; runs {
			return m
		}
	}
	return nil
}

// killDuty kills the process that schedules.
func (l *lab) killDuty() {
	l.store.mu.Lock()
	duty := l.onDuty()
	l.store.mu.Unlock()
	if duty != nil {
		l.signal(duty, syscall.SIGKILL)
	}
}

// shown returns the state of the job at any of the processes.
func (l *lab) shown(id string) string {
	for _, e := range l.entries {
		if _, state := l.call(e, http.MethodGet, id, nil); state != "" {
			return state
		}
	}
	return ""
}

// noteEnd records the end of a run.
func (l *lab) noteEnd(m *minion, r *run, how string) {
	l.note("%s ends %s run %d: %s", m.id, r.task, r.number, how)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active[r.task], m.id)
}

// noteSeen records that an end was taken note of. An end before the lease lapsed doesn't count, see the rule TWICE.
func (l *lab) noteSeen(m *minion, e runEnd, lapsed bool) {
	l.note("%s: the end of %s run %d (%s) is taken note of", m.id, e.run.task, e.run.number, e.how)
	if e.how == "done" && !lapsed {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.done[e.run.task] = fmt.Sprintf("the end of run %d at %s", e.run.number, m.id)
	}
}

// freePort returns a port of the address that nobody listens on.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }() // The port is free in any case.
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// serveMachines answers the calls about machines.
func (l *lab) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	rows := []map[string]any{}
	for _, m := range l.minions {
		state, id := "up", m.id
		if m.isDark() {
			state, id = "down", ""
		}
		rows = append(rows, map[string]any{"machine": m.machine, "pool": poolName, "state": state, "zone": m.zone, "id": id, "labels": m.labels,
			"capacity": map[string]int64{"cpu": minionCPU, "memMb": minionMem}})
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows})
}

// listen serves the handler on a free loopback port.
func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() // It serves until the program ends.
	return listener.Addr().String(), nil
}

// open starts the platform, the minions and the entry processes, and waits until these are ready.
func (l *lab) open(entries, minions int) error {
	l.store.put("keyed.op", "config", map[string]any{"version": 3,
		"routes": []map[string]any{{"name": "r-clips", "host": queueHost, "pathPrefix": prefix, "service": poolName, "timeoutMs": 3000, "targetLatencyMs": 600,
			"priority": 1, "maxAttempts": 3, "slackFactor": 3}},
		"services": []map[string]any{{"name": poolName, "admissionControl": true}},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{tenantKey}, "weight": 10, "maxCount": map[string]int64{}}},
		"limits":   map[string]any{"maxBodyBytes": 262144}})
	for number := range minions {
		m, err := newMinion(l, number)
		if err != nil {
			return err
		}
		l.minions = append(l.minions, m)
	}
	storeAddress, err := listen(l.store)
	if err != nil {
		return err
	}
	machinesAddress, err := listen(http.HandlerFunc(l.serveMachines))
	if err != nil {
		return err
	}
	for number := range entries {
		e := &entry{name: fmt.Sprintf("frontend-%s-%d", zones[number%len(zones)], 1+number/len(zones)), zone: zones[number%len(zones)],
			ip: fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%250, 11+number), store: storeAddress, machines: machinesAddress}
		if err := l.settle(e); err != nil {
			return err
		}
		l.entries = append(l.entries, e)
	}
	for _, e := range l.entries {
		if err := l.start(e); err != nil {
			return err
		}
	}
	return l.await("the entry processes are ready", 20*time.Second, func() bool {
		for _, e := range l.entries {
			if !e.isReady() {
				return false
			}
		}
		return true
	})
}

// settle chooses ports for the process and writes its settings file.
func (l *lab) settle(e *entry) error {
	var err error
	for range 20 {
		if e.ports[0], err = freePort(e.ip); err != nil {
			return err
		}
		// The second port of the range serves the metrics.
		second, listenErr := net.Listen("tcp4", fmt.Sprintf("%s:%d", e.ip, e.ports[0]+1))
		if listenErr == nil {
			_ = second.Close() // It was opened to see that it is free.
			break
		}
		err = listenErr
	}
	if err != nil {
		return err
	}
	if e.front, err = freePort(e.ip); err != nil {
		return err
	}
	if e.ready, err = freePort(e.ip); err != nil {
		return err
	}
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = %q
zone = %q
region = "gauteng"
portRange = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
advice = ""
[listen]
front = "%s:%d"
readiness = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
recoveryS = 12
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
leaseMs = 3000
moveS = 1.5
upkeepS = 2
fencingEnabled = true
[platform]
address = %q
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 32
recordBytes = 262144
callBytes = 2097152
ttlMinMs = 1000
[cloud]
address = %q
`, e.name, e.ip, e.zone, e.ports[0], e.ports[0]+1, e.ip, e.front, e.ip, e.ready, e.store, e.machines)
	e.settings = filepath.Join(l.dir, e.name+".toml")
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// runCommand is the command of the deploy file.
var runCommand = []string{"target/entry", "--policy", "deploy/policy.yaml"}

// start starts the process with the command of the deploy file.
func (l *lab) start(e *entry) error {
	log, err := os.OpenFile(filepath.Join(l.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(runCommand[0], runCommand[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "LANG=C", "TURMERICYOKE_NODE_FILE=" + e.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	l.note("%s starts", e.name)
	ended := make(chan struct{})
	l.mu.Lock()
	e.command, e.ended, e.mayEnd = command, ended, false
	l.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close() // The process has written it.
		l.mu.Lock()
		expected := e.mayEnd
		l.mu.Unlock()
		if !expected {
			l.breach("Fault", "%s ended by itself: %v", e.name, err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (l *lab) signal(e *entry, sent syscall.Signal) {
	l.mu.Lock()
	e.mayEnd = e.mayEnd || sent == syscall.SIGKILL || sent == syscall.SIGTERM
	process := e.command.Process
	l.mu.Unlock()
	l.note("%s: %s", e.name, sent)
	_ = process.Signal(sent) // It may have ended.
}

// close ends all processes.
func (l *lab) close(keepLogs bool) {
	for _, e := range l.entries {
		if e.command != nil {
			l.signal(e, syscall.SIGKILL)
			<-e.ended
		}
	}
	if !keepLogs {
		_ = os.RemoveAll(l.dir) // Only a temporary folder stays.
	}
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", e.ip, e.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close() // The body isn't read.
	return response.StatusCode == http.StatusOK
}

// await waits until the condition holds.
func (l *lab) await(what string, limit time.Duration, condition func() bool) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(checkPause) {
		if condition() {
			l.note("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", limit, what)
}

// call sends a call about a job; the status is 0 without an answer.
func (l *lab) call(e *entry, method, id string, body any) (status int, state string) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body) // The values are constant.
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", e.ip, e.front, prefix, id), bytes.NewReader(text))
	if err != nil {
		return 0, ""
	}
	request.Host = queueHost
	request.Header.Set("Credential", tenantKey)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: patience}
	response, err := client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }() // It was read.
		var answer struct {
			State string `json:"state"`
		}
		var data []byte
		if data, err = io.ReadAll(response.Body); err == nil {
			_ = json.Unmarshal(data, &answer) // Some answers have no state.
			status, state = response.StatusCode, answer.State
		}
	}
	l.note("client: %s %s at %s: %d %s", method, id, e.name, status, state)
	return status, state
}

// submit hands a job in until it is accepted.
func (l *lab) submit(id string, steps ...step) error {
	return l.submitRecurring(id, recurrence{}, steps...)
}

// submitRecurring hands a job in that is due several times.
func (l *lab) submitRecurring(id string, due recurrence, steps ...step) error {
	body := map[string]any{"spec": id, "steps": steps}
	if due.times > 0 {
		body["repeatCount"], body["firstMs"], body["intervalMs"] = due.times, due.first.UnixMilli(), due.interval.Milliseconds()
	}
	l.mu.Lock()
	l.jobs[id] = steps
	l.mu.Unlock()
	for attempt := range 20 {
		if status, _ := l.call(l.entries[attempt%len(l.entries)], http.MethodPost, id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s wasn't accepted", id)
}

// runningOf returns how many work items of the job run.
func (l *lab) runningOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, runs := range l.active {
		if jobOf(task) == id && len(runs) > 0 {
			n++
		}
	}
	return n
}

// onDuty returns the process that schedules, by its claim in the store. l.store.mu must be held.
func (l *lab) onDuty() *entry {
	var claim struct {
		Name string `json:"name"`
	}
	for _, r := range l.store.topic("keyed.duty").newest() {
		if r.key == "scheduler" {
			_ = json.Unmarshal(r.value, &claim) // Without a name, no process is found.
		}
	}
	for _, e := range l.entries {
		if e.name == claim.Name {
			return e
		}
	}
	return nil
}
