package wave_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/wave"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/standin/hostsvc"
	"turmericyoke/internal/structs"
)

// scheduleCount is the number of random fault schedules that TestWavesUnderFaults runs. More of them find rarer
// interleavings.
var scheduleCount = flag.Int64("seeds", 3, "number of fault schedules")

const rebootTime = 3 * time.Minute

// Guards against a stop that hangs, reboots a host twice or interrupts running work when its controller is
// killed at any call, before or after the call took effect, and another controller resumes the stop.
func TestControllerKilledAtEachStep(t *testing.T) {
	for _, afterEffect := range []bool{false, true} {
		for call := 1; call <= 60; call++ {
			t.Run(fmt.Sprintf("call=%d,after=%t", call, afterEffect), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					sim := newSimulation(t, newFleet(4, 1, 2), rebootTime)
					sim.startControllers(ctx, 3, func(c *simController) {
						if c.rank == 0 {
							c.killAtCall, c.killAfterEffect = call, afterEffect
						}
					})
					sim.awaitCondition(2*time.Hour, func() bool { return sim.wave("w0").Phase != inventory.WaveRunning })
					w := sim.wave("w0")
					assert.Equal(t, w.Phase, inventory.WaveDone, w.Reason)
					counts := sim.platform.Counts()
					assert.Equal(t, counts.Interrupted, 0)
					assert.Equal(t, counts.Reboots, 4, "each host must reboot exactly once")
				})
			})
		}
	}
}

// Guards against a move that hangs, reboots the host or interrupts running work when its controller is killed
// at any call, and against a host that is assigned twice or that the fold and the platform have in different
// pools.
func TestControllerKilledDuringMove(t *testing.T) {
	for call := 1; call <= 24; call++ {
		t.Run(fmt.Sprintf("call=%d", call), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				doc := newFleet(8, 2, 2)
				doc.Waves = nil
				sim := newSimulation(t, doc, rebootTime)
				move := &v1.Move{Host: "h0000", HostEpoch: 1, From: "p0", To: "p1"}
				assert.NilError(t, sim.propose(&v1.Record{Payload: &v1.Record_Move{Move: move}}))
				sim.startControllers(ctx, 3, func(c *simController) {
					if c.rank == 0 {
						c.killAtCall, c.killAfterEffect = call, call%2 == 0
					}
				})
				moved := func() bool { h, _ := sim.host("h0000"); return h.Pool == "p1" && sim.findNotServing() == "" }
				assert.Assert(t, sim.awaitCondition(20*time.Minute, moved), sim.findNotServing())
				counts := sim.platform.Counts()
				assert.Equal(t, counts.Interrupted+counts.Reboots, 0)
				assert.Equal(t, counts.Assigns, 1)
			})
		})
	}
}

// injectFaults turns ten random faults on and off, one after the other, which takes about two hours of
// simulated time. Before each fault, some answers of the platform and the log are lost.
func injectFaults(sim *simulation, random *rand.Rand) {
	randomZone := func() hostsvc.Selector { return hostsvc.ByZone(fmt.Sprintf("z%d", random.Intn(3))) }
	randomRack := func() hostsvc.Selector { return hostsvc.ByRack(fmt.Sprintf("r%d", random.Intn(13))) }
	randomHost := func() hostsvc.Selector { return hostsvc.ByName(fmt.Sprintf("h%04d", random.Intn(50))) }
	methods := []hostsvc.Method{
		hostsvc.MethodDrain, hostsvc.MethodUndrain, hostsvc.MethodReboot, hostsvc.MethodAssign, hostsvc.MethodProbe, hostsvc.MethodList,
	}
	setForAWhile := func(setFault func(bool)) {
		setFault(true)
		time.Sleep(time.Duration(random.Intn(900)+1) * time.Second)
		setFault(false)
	}
	for range 10 {
		time.Sleep(time.Duration(random.Intn(600)+1) * time.Second)
		sim.loseAnswers(methods[random.Intn(len(methods))], random.Intn(4))
		switch random.Intn(8) {
		case 0:
			match := randomHost()
			setForAWhile(func(on bool) { sim.platform.SetDead(match, on) })
		case 1:
			match := randomRack()
			setForAWhile(func(on bool) { sim.platform.SetDead(match, on) })
		case 2:
			match := randomZone()
			setForAWhile(func(on bool) { sim.platform.SetDead(match, on) })
		case 3:
			match := randomZone()
			setForAWhile(func(on bool) { sim.platform.SetPartitioned(match, on) })
		case 4:
			setForAWhile(sim.setLogDown)
		case 5:
			match := randomRack()
			setForAWhile(func(on bool) { sim.platform.SetRebootStuck(match, on) })
		case 6:
			setForAWhile(func(on bool) {
				sim.platform.SetDelay(map[bool]time.Duration{true: time.Duration(random.Intn(6000)) * time.Millisecond}[on])
			})
		default:
			setForAWhile(sim.platform.SetListFrozen)
		}
	}
}

// loseAnswers loses the answers of the next calls of the platform method and of the next appends.
func (s *simulation) loseAnswers(method hostsvc.Method, count int) {
	s.platform.LoseResponses(method, count)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredAppends = count
}

func (s *simulation) setLogDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = down
}

// Guards against exceeded budgets, interrupted requests, hosts that stay out of service and waves that
// neither finish nor are paused with a reason. The faults are correlated host failures, outages of the log,
// lost answers, a slow or partitioned platform and a killed controller, while hosts also move between pools.
func TestWavesUnderFaults(t *testing.T) {
	for seed := range *scheduleCount {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnderFaults(t, seed) })
		})
	}
}

// runUnderFaults runs one fault schedule, resumes paused waves until all waves are done, and checks the fleet.
func runUnderFaults(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random := rand.New(rand.NewSource(seed))
	sim := newSimulation(t, newFleet(50, 5, 2), rebootTime)
	for _, pool := range sim.doc.Pools {
		sim.demand[pool.Name] = float64(random.Intn(100))
	}
	sim.startControllers(ctx, 3, func(c *simController) {
		if c.rank == 0 {
			c.killAtCall, c.killAfterEffect = 100+random.Intn(2000), random.Intn(2) == 0
		}
	})
	injectFaults(sim, random)
	for _, w := range sim.doc.Waves {
		phase := func() inventory.WavePhase { return sim.wave(w.Name).Phase }
		for resumed := 0; resumed < 10 && phase() != inventory.WaveDone; resumed++ {
			sim.awaitCondition(4*time.Hour, func() bool { return phase() != inventory.WaveRunning })
			if phase() == inventory.WavePaused {
				assert.Assert(t, sim.wave(w.Name).Reason != "", "wave %s is paused without a reason", w.Name)
				_ = sim.propose(&v1.Record{Payload: &v1.Record_WaveControl{WaveControl: &v1.WaveControl{Wave: w.Name, Action: v1.WaveAction_WAVE_ACTION_RESUME}}})
			}
		}
		assert.Equal(t, phase(), inventory.WaveDone, "wave %s: %+v", w.Name, sim.wave(w.Name))
	}
	assert.Equal(t, sim.platform.Counts().Interrupted, 0)
	allServe := sim.awaitCondition(time.Hour, func() bool { return sim.findNotServing() == "" })
	assert.Assert(t, allServe, sim.findNotServing())
}

// host returns the named host in the folded state.
func (s *simulation) host(name string) (inventory.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Host(name)
}

// findNotServing describes a host that isn't in service, or that differs between the fold and the platform.
// It returns "" if there is none. Hosts that are being moved are left out.
func (s *simulation) findNotServing() string {
	s.mu.Lock()
	hosts := s.state.Hosts()
	s.mu.Unlock()
	for _, host := range hosts {
		machine, _ := s.platform.Host(host.Name)
		if host.Phase == inventory.PhaseMoving {
			continue
		}
		if host.Phase != inventory.PhaseServing || machine.Draining || machine.Pool != host.Pool {
			return fmt.Sprintf("fold %+v, platform %+v", host, machine)
		}
	}
	return ""
}

// BenchmarkRollOut reports the simulated time of one wave in each pool, all at once. Each wave stops 2 hosts
// at a time in the fleet of 50 hosts, and 4 in the fleets of 700 and 2,800.
func BenchmarkRollOut(b *testing.B) {
	for _, size := range []struct{ hosts, pools, parallel int }{{50, 5, 2}, {700, 7, 4}, {2800, 25, 4}} {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(simulateRollOut(b, newFleet(size.hosts, size.pools, size.parallel)), "simulated-min")
			}
		})
	}
}

// simulateRollOut runs all waves to their end without controllers and returns the simulated minutes. Each
// stop is assumed to take a drain of 60 s, a reboot of 3 minutes and 6 s of passes of the loop.
func simulateRollOut(b *testing.B, doc *structs.Document) float64 {
	const stopTime = 60*time.Second + rebootTime + 6*time.Second
	state := inventory.New()
	state.AdoptDocument(doc)
	returnsAt := map[string]time.Duration{}
	now := time.Duration(0)
	for running := true; running; now += 2 * time.Second {
		running = false
		for name, returnTime := range returnsAt {
			host, _ := state.Host(name)
			if returnTime <= now && state.HostBack(structs.Envelope{}, &v1.HostBack{Host: name, HostEpoch: host.Epoch}) == nil {
				delete(returnsAt, name)
			}
		}
		for _, w := range state.Waves {
			running = running || w.Phase != inventory.WaveDone
			for _, c := range wave.Choose(state, w, func(string) bool { return false }) {
				grant := &v1.Grant{Wave: c.Wave, Host: c.Host.Name, HostEpoch: c.Host.Epoch, BootCount: 1}
				if err := state.Grant(structs.Envelope{}, grant); err != nil {
					b.Fatal(err)
				}
				returnsAt[c.Host.Name] = now + stopTime
			}
		}
	}
	return now.Minutes()
}

// BenchmarkChoose measures the choice of the next hosts in a fleet with a single pool, before any host is
// stopped.
func BenchmarkChoose(b *testing.B) {
	for _, hosts := range []int{50, 700, 2800} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			state := inventory.New()
			state.AdoptDocument(newFleet(hosts, 1, 4))
			for b.Loop() {
				wave.Choose(state, state.Waves["w0"], func(string) bool { return false })
			}
		})
	}
}
