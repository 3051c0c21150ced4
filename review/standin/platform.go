package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// Times of the cloud, as in the settings that the entry processes get.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// recorder writes the record of a case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fatal("can't write the record: %v", err)
	}
	return &recorder{file: file, started: time.Now()}
}

// line writes one line with the time in seconds since the start.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// itemSpec is what a work item does.
type itemSpec struct {
	need         amount
	work         time.Duration
	lasts, saves bool
	// gang is the number of members of the step's gang; 0 if it has none.
	gang int
	// total is the number of work items of the job.
	total int
}

// machine is a machine of the fleet; minion is nil while it moves or has its upkeep.
type machine struct {
	name, pool, zone, rack, state string
	minion                        *minion
	fence                         int64
	wave                          int64
}

// hostOrder is an order to a machine.
type hostOrder struct {
	at              time.Time
	call, machine   string
	holder          string
	fence, statusIs int64
}

// platform holds the store, the cloud and the minions.
type platform struct {
	record     *recorder
	store      *store
	storeAddr  string
	cloudAddr  string
	detail     bool
	onOrder    func(hostOrder)
	mu         sync.Mutex
	ids        int
	machines   []*machine
	items      map[string]itemSpec
	starts     map[string]int
	running    map[string]int
	done       map[string]int
	refused    map[string]int
	endedCount map[string]int
	orders     []hostOrder
	waves      map[int64]map[string]bool
	begun      []begunRun
	gangs      map[string]*gang
	adviser    *adviser
	adviceAddr string
}

// begunRun is a run that a minion has begun.
type begunRun struct {
	at     time.Time
	task   string
	number int64
}

// addItem tells the minions what the work items of a job do.
func (p *platform) addItem(job string, item itemSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items[job] = item
}

func serveOn(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("can't listen: %v", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func newPlatform(record *recorder, detail bool) *platform {
	p := &platform{record: record, detail: detail, items: map[string]itemSpec{}, starts: map[string]int{}, running: map[string]int{}, done: map[string]int{},
		refused: map[string]int{}, endedCount: map[string]int{}, waves: map[int64]map[string]bool{}, gangs: map[string]*gang{}}
	p.store = newStore(record)
	p.storeAddr = serveOn(p.store)
	p.cloudAddr = serveOn(http.HandlerFunc(p.serveCloud))
	return p
}

func (p *platform) newID(prefix string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids++
	return fmt.Sprintf("%s%010x", prefix, 0x5c0e7a0000+p.ids*7919)
}

// addMachines adds machines to a pool, spread over the zones, four to a rack.
func (p *platform) addMachines(pool string, count int, zones []string) {
	for n := range count {
		m := &machine{name: fmt.Sprintf("m-%s-%02d", pool, n), pool: pool, zone: zones[n%len(zones)], rack: fmt.Sprintf("%s-r%d", pool, n/4), state: "up"}
		m.minion = newMinion(p, pool, m.zone, m.rack)
		p.mu.Lock()
		p.machines = append(p.machines, m)
		p.mu.Unlock()
	}
}

// jobOf returns the ID of the job of a work item.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// itemOf returns what a work item does, by its job and step.
func (p *platform) itemOf(task string) itemSpec {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.items[jobOf(task)]
}

func (p *platform) noteStart(m *minion, r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := jobOf(r.task)
	p.starts[job]++
	p.begun = append(p.begun, begunRun{r.beganAt, r.task, r.number})
	p.running[job]++
	if p.detail {
		p.record.line("minion %s (%s): %s run %d begins", m.id, m.service, r.task, r.number)
	}
}

func (p *platform) noteRefused(m *minion, task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[jobOf(task)]++
	if p.detail {
		p.record.line("minion %s (%s): start of %s answered with 503", m.id, m.service, task)
	}
}

func (p *platform) noteEnd(m *minion, r *run, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := jobOf(r.task)
	p.running[job]--
	p.endedCount[job+" "+how]++
	if how == "done" {
		p.done[job]++
	}
	if p.detail {
		p.record.line("minion %s (%s): %s run %d ends %s", m.id, m.service, r.task, r.number, how)
	}
}

type orderBody struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (p *platform) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/machines" {
		p.listMachines(w)
		return
	}
	var body orderBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var fence int64
	_, _ = fmt.Sscan(r.Header.Get("Fencing-Token"), &fence)
	status, reason := p.order(strings.TrimPrefix(r.URL.Path, "/machine-"), body, fence)
	order := hostOrder{at: time.Now(), call: strings.TrimPrefix(r.URL.Path, "/"), machine: body.Machine, holder: r.Header.Get("Lease-Holder"), fence: fence, statusIs: int64(status)}
	p.mu.Lock()
	p.orders = append(p.orders, order)
	p.mu.Unlock()
	p.record.line("cloud: %s of %s (pool %q, wave %d) by %s with fence %d: %d %s", order.call, body.Machine, body.Pool, body.Wave, order.holder, fence, status, reason)
	if p.onOrder != nil {
		p.onOrder(order)
	}
	if reason != "" {
		reply(w, status, map[string]any{"reason": reason})
		return
	}
	reply(w, status, struct{}{})
}

func (p *platform) listMachines(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range p.machines {
		row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": minionCapacity}
		if m.minion != nil {
			row["id"] = m.minion.id
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a]["machine"].(string) < rows[b]["machine"].(string) })
	reply(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

// order carries out an order to a machine.
func (p *platform) order(call string, body orderBody, fence int64) (status int, reason string) {
	p.mu.Lock()
	var m *machine
	pools := map[string]bool{}
	for _, known := range p.machines {
		pools[known.pool] = true
		if known.name == body.Machine {
			m = known
		}
	}
	if m == nil || call == "move" && body.Pool == "" {
		p.mu.Unlock()
		return http.StatusBadRequest, ""
	}
	if fence < m.fence {
		p.mu.Unlock()
		return http.StatusConflict, "fence"
	}
	m.fence = fence
	state, wait := "moving", moveTime
	switch {
	case call == "move" && m.pool == body.Pool, call == "upkeep" && m.wave == body.Wave:
		p.mu.Unlock()
		return http.StatusOK, ""
	case call == "upkeep" && !p.waves[body.Wave][m.name]:
		p.mu.Unlock()
		return http.StatusConflict, "wave"
	case m.state != "up":
		p.mu.Unlock()
		return http.StatusConflict, "busy"
	case call == "upkeep":
		state, wait, m.wave = "upkeep", upkeepTime, body.Wave
	default:
		m.pool = body.Pool
	}
	leaving := m.minion
	m.minion, m.state = nil, state
	p.mu.Unlock()
	leaving.terminate()
	time.AfterFunc(wait, func() {
		joined := newMinion(p, m.pool, m.zone, m.rack)
		p.mu.Lock()
		m.minion, m.state = joined, "up"
		p.mu.Unlock()
	})
	return http.StatusOK, ""
}

// setDown notes that the machine of a minion is down, and returns the machine.
func (p *platform) setDown(leaving *minion) *machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.minion == leaving {
			m.minion, m.state = nil, "down"
			return m
		}
	}
	return nil
}

// setUp starts a new minion on a machine that was down.
func (p *platform) setUp(m *machine) {
	joined := newMinion(p, m.pool, m.zone, m.rack)
	p.mu.Lock()
	defer p.mu.Unlock()
	m.minion, m.state = joined, "up"
}

// minions returns the minions of a pool.
func (p *platform) minions(pool string) []*minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*minion
	for _, m := range p.machines {
		if m.pool == pool && m.minion != nil {
			found = append(found, m.minion)
		}
	}
	return found
}

// usedCPU returns the processor capacity that runs take in a pool, and the pool's capacity.
func (p *platform) usedCPU(pool string) (used, capacity int64) {
	for _, m := range p.minions(pool) {
		m.mu.Lock()
		used += m.used().CPU
		m.mu.Unlock()
		capacity += minionCapacity.CPU
	}
	return used, capacity
}

// publish writes a value under a key of the operator's topic.
func (p *platform) publish(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		fatal("can't encode: %v", err)
	}
	p.store.put(opTopic, key, encoded)
	p.record.line("operator publishes %s", key)
}
