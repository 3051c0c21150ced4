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

// scheduleCount is the number of fault schedules; more find rarer interleavings.
var scheduleCount = flag.Int64("seeds", 3, "number of fault schedules")

const rebootTime = 3 * time.Minute

// Guards against a stop that hangs, repeats or interrupts work when its controller is lost at any
// call, before or after the call took effect, and another one resumes it.
func TestControllerKilledAtEachStep(t *testing.T) {
	for _, after := range []bool{false, true} {
		for at := 1; at <= 60; at++ {
			t.Run(fmt.Sprintf("call=%d,after=%t", at, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					s := newSimulation(t, newFleet(4, 1, 2), rebootTime)
					s.startControllers(ctx, 3, func(c *simController) {
						if c.rank == 0 {
							c.killAtCall, c.killAfterEffect = at, after
						}
					})
					s.awaitCondition(2*time.Hour, func() bool { return s.wave("w0").Phase != inventory.WaveRunning })
					w := s.wave("w0")
					assert.Equal(t, w.Phase, inventory.WaveDone, w.Reason)
					counts := s.platform.Counts()
					assert.Equal(t, counts.Interrupted, 0)
					assert.Equal(t, counts.Reboots, 4, "each host reboots once")
				})
			})
		}
	}
}

// Guards against the same faults in a move, and against a host that is assigned twice or that the
// fold and the platform place in different pools.
func TestControllerKilledDuringMove(t *testing.T) {
	for at := 1; at <= 24; at++ {
		t.Run(fmt.Sprintf("call=%d", at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				doc := newFleet(8, 2, 2)
				doc.Waves = nil
				s := newSimulation(t, doc, rebootTime)
				move := &v1.Move{Host: "h0000", HostEpoch: 1, From: "p0", To: "p1"}
				assert.NilError(t, s.propose(&v1.Record{Payload: &v1.Record_Move{Move: move}}))
				s.startControllers(ctx, 3, func(c *simController) {
					if c.rank == 0 {
						c.killAtCall, c.killAfterEffect = at, at%2 == 0
					}
				})
				moved := func() bool { h, _ := s.host("h0000"); return h.Pool == "p1" && s.findNotServing() == "" }
				assert.Assert(t, s.awaitCondition(20*time.Minute, moved), s.findNotServing())
				counts := s.platform.Counts()
				assert.Equal(t, counts.Interrupted+counts.Reboots, 0)
				assert.Equal(t, counts.Assigns, 1)
			})
		})
	}
}

// injectFaults turns faults on and off for about two hours, from a fixed seed.
func injectFaults(s *simulation, random *rand.Rand) {
	zone := func() hostsvc.Match { return hostsvc.OnZone(fmt.Sprintf("z%d", random.Intn(3))) }
	rack := func() hostsvc.Match { return hostsvc.OnRack(fmt.Sprintf("r%d", random.Intn(13))) }
	host := func() hostsvc.Match { return hostsvc.OnHost(fmt.Sprintf("h%04d", random.Intn(50))) }
	methods := []hostsvc.Method{
		hostsvc.MethodDrain, hostsvc.MethodUndrain, hostsvc.MethodReboot, hostsvc.MethodAssign, hostsvc.MethodProbe, hostsvc.MethodList,
	}
	toggle := func(on func(bool)) {
		on(true)
		time.Sleep(time.Duration(random.Intn(900)+1) * time.Second)
		on(false)
	}
	for range 10 {
		time.Sleep(time.Duration(random.Intn(600)+1) * time.Second)
		s.loseAnswers(methods[random.Intn(len(methods))], random.Intn(4))
		switch random.Intn(8) {
		case 0:
			m := host()
			toggle(func(on bool) { s.platform.SetDead(m, on) })
		case 1:
			m := rack()
			toggle(func(on bool) { s.platform.SetDead(m, on) })
		case 2:
			m := zone()
			toggle(func(on bool) { s.platform.SetDead(m, on) })
		case 3:
			m := zone()
			toggle(func(on bool) { s.platform.SetCutOff(m, on) })
		case 4:
			toggle(s.setLogDown)
		case 5:
			m := rack()
			toggle(func(on bool) { s.platform.SetRebootStuck(m, on) })
		case 6:
			toggle(func(on bool) {
				s.platform.SetSlow(map[bool]time.Duration{true: time.Duration(random.Intn(6000)) * time.Millisecond}[on])
			})
		default:
			toggle(s.platform.FreezeList)
		}
	}
}

func (s *simulation) loseAnswers(method hostsvc.Method, count int) {
	s.platform.LoseAnswers(method, count)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredAppends = count
}

func (s *simulation) setLogDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = down
}

// Guards against broken budgets, interrupted requests, hosts left out of service and waves that
// neither finish nor say why, under correlated failures, an outage of the log, lost answers, a slow
// or partitioned platform and lost controllers, while hosts also move between pools.
func TestWavesUnderFaults(t *testing.T) {
	for seed := range *scheduleCount {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnderFaults(t, seed) })
		})
	}
}

func runUnderFaults(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random := rand.New(rand.NewSource(seed))
	s := newSimulation(t, newFleet(50, 5, 2), rebootTime)
	for _, pool := range s.doc.Pools {
		s.demand[pool.Name] = float64(random.Intn(100))
	}
	s.startControllers(ctx, 3, func(c *simController) {
		if c.rank == 0 {
			c.killAtCall, c.killAfterEffect = 100+random.Intn(2000), random.Intn(2) == 0
		}
	})
	injectFaults(s, random)
	for _, w := range s.doc.Waves {
		phase := func() inventory.WavePhase { return s.wave(w.Name).Phase }
		for resumed := 0; resumed < 10 && phase() != inventory.WaveDone; resumed++ {
			s.awaitCondition(4*time.Hour, func() bool { return phase() != inventory.WaveRunning })
			if phase() == inventory.WavePaused {
				assert.Assert(t, s.wave(w.Name).Reason != "", "wave %s is paused without a reason", w.Name)
				_ = s.propose(&v1.Record{Payload: &v1.Record_WaveControl{WaveControl: &v1.WaveControl{Wave: w.Name, Action: v1.WaveAction_WAVE_ACTION_RESUME}}})
			}
		}
		assert.Equal(t, phase(), inventory.WaveDone, "wave %s: %+v", w.Name, s.wave(w.Name))
	}
	assert.Equal(t, s.platform.Counts().Interrupted, 0)
	healthy := s.awaitCondition(time.Hour, func() bool { return s.findNotServing() == "" })
	assert.Assert(t, healthy, s.findNotServing())
}

func (s *simulation) host(name string) (inventory.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Host(name)
}

// findNotServing names a host that isn't in service, or whose platform and fold disagree.
func (s *simulation) findNotServing() string {
	s.mu.Lock()
	hosts := s.state.Hosts()
	s.mu.Unlock()
	for _, h := range hosts {
		m, _ := s.platform.Host(h.Name)
		if h.Phase == inventory.PhaseMoving {
			continue
		}
		if h.Phase != inventory.PhaseServing || m.Draining || m.Pool != h.Pool {
			return fmt.Sprintf("fold %+v, platform %+v", h, m)
		}
	}
	return ""
}

// BenchmarkRollOut reports the simulated time of one round of waves over all pools at once, each
// with 2 hosts at a time at 50 hosts, and with 4 at 2,800.
func BenchmarkRollOut(b *testing.B) {
	for _, size := range []struct{ hosts, pools, parallel int }{{50, 5, 2}, {700, 7, 4}, {2800, 25, 4}} {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(simulateRollOut(b, newFleet(size.hosts, size.pools, size.parallel)), "simulated-min")
			}
		})
	}
}

// simulateRollOut steps the waves without controllers: each grant takes a drain of 60 s, a reboot of 3
// minutes and 6 s of passes of the loop.
func simulateRollOut(b *testing.B, doc *structs.Document) float64 {
	const stop = 60*time.Second + rebootTime + 6*time.Second
	state := inventory.New()
	state.AdoptDocument(doc)
	back := map[string]time.Duration{}
	now := time.Duration(0)
	for running := true; running; now += 2 * time.Second {
		running = false
		for name, end := range back {
			host, _ := state.Host(name)
			if end <= now && state.HostBack(structs.Envelope{}, &v1.HostBack{Host: name, HostEpoch: host.Epoch}) == nil {
				delete(back, name)
			}
		}
		for _, w := range state.Waves {
			running = running || w.Phase != inventory.WaveDone
			for _, c := range wave.Choose(state, w, func(string) bool { return false }) {
				grant := &v1.Grant{Wave: c.Wave, Host: c.Host.Name, HostEpoch: c.Host.Epoch, BootCount: 1}
				if err := state.Grant(structs.Envelope{}, grant); err != nil {
					b.Fatal(err)
				}
				back[c.Host.Name] = now + stop
			}
		}
	}
	return now.Minutes()
}

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
