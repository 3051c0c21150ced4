// Command standin plays the platform, the minions and the clients of one case of the review against the project's own
// processes, on loopback addresses and the real clock. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Names and keys of the operator's configuration.
const (
	queueHost   = "pule25.example"
	queuePrefix = "/puxa400/"
	tenantKey   = "k-5c0e7a21d94b36f8"
	queuePool   = "clips"
	sparePool   = "spare"
)

func fatal(format string, args ...any) {
	panic(caseError(fmt.Sprintf(format, args...)))
}

// caseError is why a case couldn't run.
type caseError string

// scene is what a case has to work with.
type scene struct {
	record   *recorder
	platform *platform
	fleet    *fleet
	trouble  bool
	seed     uint64
}

// scenarios are the cases. Each returns whether its rule held.
var scenarios = map[string]func(*scene) bool{
	"large-job": largeJob,
	"pending":   pendingJobs,
	"advice":    advisedQueue,
	"gang":      gangJobs,
	"timed":     timedJob,
	"repeating": func(s *scene) bool { return repeatingJobs(s, manyOccurrences) },
	"items":     func(s *scene) bool { return repeatingJobs(s, manyItems) },
	"shapes":    func(s *scene) bool { return repeatingJobs(s, drawShape(rand.New(rand.NewPCG(s.seed, 0)))) },
}

func main() {
	scenario := flag.String("scenario", "", "name of the case")
	program := flag.String("program", "", "command of an entry process")
	path := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	seed := flag.Uint64("seed", 1, "seed of the scenario shapes")
	keep := flag.Bool("keep-logs", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(play(*scenario, *program, *path, *trouble, *keep, *seed))
}

// play plays a case and returns the exit status.
func play(scenario, program, path string, trouble, keep bool, seed uint64) (status int) {
	run := scenarios[scenario]
	if run == nil || program == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or no program")
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep {
		fmt.Println(dir)
	} else {
		defer os.RemoveAll(dir)
	}
	record := newRecorder(path)
	p := newPlatform(record, !slices.Contains([]string{"large-job", "repeating", "items", "shapes"}, scenario))
	s := &scene{record: record, platform: p, trouble: trouble, seed: seed, fleet: &fleet{program: strings.Fields(program), dir: dir, platform: p, record: record}}
	defer s.fleet.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.fleet.stop()
		os.Exit(2)
	}()
	defer func() {
		if cause := recover(); cause != nil {
			record.line("the case couldn't run: %v", cause)
			fmt.Fprintln(os.Stderr, cause)
			status = 2
		}
	}()
	if run(s) {
		record.line("the rule held")
		return 0
	}
	record.line("the rule was broken")
	return 1
}

// open starts the fleet, the operator's first configuration and the entry processes, and waits until these are ready.
func (s *scene) open(workers, spare int) {
	zones := []string{"a", "b", "c"}
	s.platform.addMachines(queuePool, workers, zones)
	if spare > 0 {
		s.platform.addMachines(sparePool, spare, zones)
	}
	services := []map[string]any{{"name": queuePool, "admissionControl": true}}
	if spare > 0 {
		services = append(services, map[string]any{"name": sparePool, "admissionControl": true})
	}
	route := map[string]any{"name": "r-clips", "host": queueHost, "pathPrefix": queuePrefix, "service": queuePool, "timeoutMs": 3000, "targetLatencyMs": 600,
		"priority": 1, "maxAttempts": 3, "slackFactor": 3}
	if s.platform.adviser != nil {
		route["advice"] = map[string]any{"decideMs": decideTime.Milliseconds(), "eachMs": eachTime.Milliseconds(), "validMs": validTime.Milliseconds()}
	}
	s.platform.publish("config", map[string]any{
		"version":  3,
		"routes":   []map[string]any{route},
		"services": services,
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{tenantKey}, "weight": 10, "maxCount": amount{}}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	for _, zone := range []string{"a", "b", "c"} {
		s.fleet.add(zone)
	}
	if !s.fleet.awaitReady(10 * time.Second) {
		fatal("the processes aren't ready")
	}
	s.record.line("all processes are ready")
	time.Sleep(5 * time.Second)
}
