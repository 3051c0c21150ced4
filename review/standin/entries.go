package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entryProcess is a process of the project.
type entryProcess struct {
	name, zone, front, readiness string
	settings                     string
	command                      *exec.Cmd
	ended                        chan struct{}
}

// fleet holds the entry processes of a case.
type fleet struct {
	program  []string
	dir      string
	platform *platform
	record   *recorder

	mu      sync.Mutex
	entries []*entryProcess
	next    int
	// starting is held while a process is started, and stopped is set when none may be started any more.
	starting sync.Mutex
	stopped  bool
}

// freePort returns a port that is free now at the address.
func freePort(ip string) int {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		fatal("can't find a free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// freeRange returns the first of six consecutive ports that are free now at the address.
func freeRange(ip string) int {
	for range 200 {
		first := freePort(ip)
		free := true
		for port := first; port < first+6 && free; port++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				listener.Close()
			}
		}
		if free {
			return first
		}
	}
	fatal("no free ports")
	return 0
}

const settingsText = `nodeName = "%[1]s"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "%[2]s"
zone = "%[3]s"
region = "r"
portRange = [%[4]d,%[5]d]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "call"
advice = "%[10]s"
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "%[2]s:%[6]d"
readiness = "%[2]s:%[7]d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
quotaWindowS = 5
quotaOverrun = 0.1
quotaSlack = 20
recoveryS = 12
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointS = 2
restoreMs = 250
noticeMs = 4500
moveS = 1.5
upkeepS = 2
fencingEnabled = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[platform]
address = "%[8]s"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 32
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 20
partMb = 200
ttlMinMs = 1000
[cloud]
address = "%[9]s"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
`

// add starts one entry process in the zone.
func (f *fleet) add(zone string) *entryProcess {
	f.mu.Lock()
	n := len(f.entries)
	f.mu.Unlock()
	// The addresses differ from those of other cases that run at the same time.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/200%200, 1+pid%200, 11+n)
	ports := freeRange(ip)
	frontPort, readyPort := ports+4, ports+5
	e := &entryProcess{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, front: fmt.Sprintf("%s:%d", ip, frontPort), readiness: fmt.Sprintf("%s:%d", ip, readyPort)}
	e.settings = filepath.Join(f.dir, e.name+".toml")
	text := fmt.Sprintf(settingsText, e.name, ip, zone, ports, ports+3, frontPort, readyPort, f.platform.storeAddr, f.platform.cloudAddr, f.platform.adviceAddr)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		fatal("can't write settings: %v", err)
	}
	f.start(e)
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	return e
}

// start starts the process of an entry, unless the case ends.
func (f *fleet) start(e *entryProcess) {
	f.starting.Lock()
	defer f.starting.Unlock()
	if f.stopped {
		return
	}
	log, err := os.OpenFile(filepath.Join(f.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("can't write the log of a process: %v", err)
	}
	e.command = exec.Command(f.program[0], f.program[1:]...)
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "TURMERICYOKE_NODE_FILE=" + e.settings}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		fatal("can't start %s: %v", f.program[0], err)
	}
	e.ended = make(chan struct{})
	go func() {
		_ = e.command.Wait()
		log.Close()
		close(e.ended)
	}()
	f.record.line("process %s starts", e.name)
}

// kill kills the process of an entry and waits for its end.
func (f *fleet) kill(e *entryProcess) {
	_ = e.command.Process.Signal(syscall.SIGKILL)
	<-e.ended
	f.record.line("process %s killed", e.name)
}

// stop ends all processes.
func (f *fleet) stop() {
	f.starting.Lock()
	defer f.starting.Unlock()
	f.stopped = true
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		_ = e.command.Process.Signal(syscall.SIGKILL)
		<-e.ended
	}
}

func (e *entryProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.readiness + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready. It reports whether they are in time.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, e := range f.entries {
			all = all && e.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// answer is the answer to a call; status is 0 without one.
type answer struct {
	status  int
	state   string
	pending int
}

var clientHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 3 * time.Second}

// call sends one call of a client to an entry.
func call(e *entryProcess, method, path string, body any) answer {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(encoded))
	if err != nil {
		return answer{}
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Credential", tenantKey)
	request.Header.Set("Deadline-Ms", "3000")
	response, err := clientHTTP.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	var fields struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
	_ = json.Unmarshal(text, &fields)
	return answer{response.StatusCode, fields.State, fields.Pending}
}

// pick returns the next entry in turn.
func (f *fleet) pick() *entryProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	return f.entries[f.next%len(f.entries)]
}

// logged reports whether a process has logged the text.
func (f *fleet) logged(text string) bool {
	for _, e := range f.entries {
		log, err := os.ReadFile(filepath.Join(f.dir, e.name+".log"))
		if err == nil && bytes.Contains(log, []byte(text)) {
			return true
		}
	}
	return false
}
