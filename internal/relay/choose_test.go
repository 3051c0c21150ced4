package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"turmericyoke/internal/infra"
)

// Guards against relays on hosts that can't bear their part of the calls, too few relays for the load, and a relay that is
// the process itself.
func TestChooseRelays(t *testing.T) {
	self := infra.Member{Name: "a-0", Zone: "a", CPUMilli: 800}
	var members []infra.Member
	for _, zone := range []string{"a", "b", "c"} {
		for n := range 3 {
			members = append(members, infra.Member{Name: fmt.Sprintf("%s-%d", zone, n), Zone: zone, CPUMilli: 800})
			members = append(members, infra.Member{Name: fmt.Sprintf("%s-small-%d", zone, n), Zone: zone, CPUMilli: 192})
		}
	}
	names := func(cores float64, linked ...string) map[string]int {
		isLinked, byZone := map[string]bool{}, map[string]int{}
		for _, name := range linked {
			isLinked[name] = true
		}
		for _, chosen := range chooseRelays(self, members, cores, isLinked) {
			byZone[chosen.Zone]++
			byZone[chosen.Name]++
			assert.Assert(t, chosen.Name != self.Name && chosen.CPUMilli == 800)
		}
		return byZone
	}
	// A host of 0.8 cores may spend 0.32 cores on calls.
	for cores, wantPerZone := range map[float64]int{0: 1, 0.9: 1, 1.2: 2, 3: 3} {
		chosen := names(cores)
		assert.Equal(t, chosen["b"], wantPerZone, "%v cores", cores)
		assert.Equal(t, chosen["a"], min(wantPerZone, 2), "%v cores", cores)
	}
	for _, linked := range []string{"b-0", "b-1", "b-2"} {
		assert.Equal(t, names(0.1, linked)[linked], 1, "a worker would change its relay")
	}
	assert.Check(t, is.Len(chooseRelays(self, nil, 1, nil), 0))
}

// Guards against relays on small sites, relays that come too late for a peak, and ones that come and go with each peak.
func TestLoadDecidesOnRelays(t *testing.T) {
	l := load{cpuMilli: 800}
	now := time.Hour
	feed := func(rate int64, duration time.Duration) (relaying bool) {
		for end := now + duration; now < end; {
			now += maintainInterval
			relaying = l.observe(rate*int64(maintainInterval)/int64(time.Second), maintainInterval, now)
		}
		return relaying
	}
	assert.Assert(t, !feed(1000, time.Minute))
	assert.Assert(t, feed(7000, 500*time.Millisecond))
	assert.Assert(t, feed(1000, time.Minute))
	assert.Assert(t, feed(100, directAfter-5*time.Second))
	assert.Assert(t, !feed(100, 10*time.Second))
	// The same calls are worth relays on a host with a fourth of the processor time.
	l = load{cpuMilli: 200}
	assert.Assert(t, feed(1000, time.Second))
}

// Guards against workers that change their relay although it is still there: each change opens a connection.
func TestWorkersKeepTheirRelays(t *testing.T) {
	r := NewRouter(nil, infra.Member{}, nil, func() time.Duration { return time.Hour }, quietLogger())
	links := map[string]*link{}
	open := func(names ...string) {
		var all []*link
		for _, name := range names {
			if links[name] == nil {
				links[name] = &link{relay: infra.Member{Name: name, Zone: name[:1]}, hash: hashOf(name)}
			}
			all = append(all, links[name])
		}
		r.links.Store(&all)
	}
	chosen := func() map[int]string {
		byWorker := map[int]string{}
		for n := range 300 {
			byWorker[n] = r.linkFor(infra.WorkerRef{ID: fmt.Sprint("w", n), Zone: []string{"a", "b", "c"}[n%3]}, time.Hour).relay.Name
		}
		return byWorker
	}
	open("a1", "a2", "a3", "b1")
	before := chosen()
	counts := map[string]int{}
	for n, name := range before {
		counts[name]++
		if n%3 < 2 {
			assert.Equal(t, name[:1], []string{"a", "b"}[n%3])
		}
	}
	for name, count := range counts {
		assert.Assert(t, count > 30, "%s has %d of 300 workers", name, count)
	}
	open("b1", "a3", "a1")
	for n, name := range chosen() {
		assert.Assert(t, name == before[n] || before[n] == "a2", "worker %d", n)
	}
}

// Guards against more relays than the load needs, because a link that is being opened isn't counted.
func TestOneRelayForEachZone(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		for _, name := range []string{"r1", "r2", "r3"} {
			f.addRelay(name, "z")
		}
		f.addRelay("s1", "y")
		f.router.Self.CPUMilli = 800
		f.router.load.peakCores = 0.01
		f.run()
		time.Sleep(5 * time.Second)
		assert.Check(t, is.Len(*f.router.links.Load(), 2))
	})
}
