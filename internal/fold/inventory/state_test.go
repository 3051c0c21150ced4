package inventory

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	v1 "turmericyoke/api/turmericyoke/v1"
	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/structs"
)

func host(i int) structs.Host {
	zone := i % 3
	return structs.Host{
		Name: fmt.Sprintf("h%02d", i), Zone: fmt.Sprintf("z%d", zone),
		Rack: fmt.Sprintf("z%d-r%d", zone, i/3%2), Pool: fmt.Sprintf("p%d", i/3%3),
	}
}

// drawDocument varies hosts, budgets, pins and waves.
func drawDocument(t *rapid.T) *structs.Document {
	doc := &structs.Document{}
	for i := range 3 {
		if i == 2 && rapid.IntRange(0, 5).Draw(t, "dropPool") == 0 {
			continue
		}
		doc.Pools = append(doc.Pools, structs.Pool{
			Name:                  fmt.Sprintf("p%d", i),
			MinAvailable:          rapid.IntRange(0, 3).Draw(t, "min"),
			MaxUnavailablePerZone: rapid.IntRange(0, 2).Draw(t, "perZone"),
		})
	}
	for i := range 15 {
		if rapid.IntRange(0, 7).Draw(t, "remove") == 0 {
			continue
		}
		h := host(i)
		h.Pool = fmt.Sprintf("p%d", (i/3+rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "home"))%len(doc.Pools))
		h.Pinned = rapid.IntRange(0, 7).Draw(t, "pin") == 0
		doc.Hosts = append(doc.Hosts, h)
	}
	for i := range 2 {
		if rapid.IntRange(0, 3).Draw(t, "noWave") == 0 {
			continue
		}
		doc.Waves = append(doc.Waves, structs.Wave{
			Name: fmt.Sprintf("w%d", i), Pool: fmt.Sprintf("p%d", i),
			MaxParallel: rapid.IntRange(1, 3).Draw(t, "parallel"), MaxPerRack: rapid.IntRange(1, 2).Draw(t, "perRack"),
			CanaryCount: rapid.IntRange(1, 2).Draw(t, "canaries"), PauseAfterFailures: rapid.IntRange(1, 3).Draw(t, "pauseAfter"),
		})
	}
	return doc
}

// drawEpoch is mostly the current epoch of the host, and otherwise a stale or a future one.
func drawEpoch(t *rapid.T, s *State, name string) uint64 {
	current, _ := s.Host(name)
	shift := rapid.SampledFrom([]uint64{1, 1, 1, 1, 1, 0, 2}).Draw(t, "epochShift")
	return current.Epoch + shift - 1
}

// Guards against counters and indexes that drift from the hosts, budgets broken by an accepted
// stop or document, hosts in two pools, and stale or repeated records that take effect, in any
// interleaving; and against snapshots that lose state.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		model := &naive{}
		adoptBoth(t, s, model, drawDocument(t))
		var last record
		for offset := range int64(rapid.IntRange(1, 60).Draw(t, "records")) {
			step := last
			if last == nil || rapid.IntRange(0, 5).Draw(t, "repeat") > 0 {
				step = drawRecord(t, s, model, offset+1)
			}
			got, want := step(s)
			assert.Equal(t, got, want, "verdict at offset %d", offset+1)
			last = step
			s = reload(t, s)
			compare(t, s, model)
		}
	})
}

// record applies one payload to both sides and returns whether each accepted it.
type record func(s *State) (bool, bool)

func drawRecord(t *rapid.T, s *State, model *naive, offset int64) record {
	env := structs.Envelope{Offset: offset}
	name := host(rapid.IntRange(0, 14).Draw(t, "host")).Name
	epoch := drawEpoch(t, s, name)
	wave := fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "wave"))
	switch rapid.IntRange(0, 11).Draw(t, "payload") {
	case 0, 1:
		from := fmt.Sprintf("p%d", rapid.IntRange(0, 2).Draw(t, "from"))
		to := fmt.Sprintf("p%d", rapid.IntRange(0, 3).Draw(t, "to"))
		p := &v1.Move{Host: name, HostEpoch: epoch, From: from, To: to}
		return func(s *State) (bool, bool) { return s.Move(env, p) == nil, model.move(p) }
	case 2, 3, 4:
		p := &v1.Grant{Wave: wave, Host: name, HostEpoch: epoch, BootCount: uint64(rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1}).Draw(t, "boots"))}
		return func(s *State) (bool, bool) { return s.Grant(env, p) == nil, model.grant(p) }
	case 5:
		p := &v1.HostDown{Host: name, HostEpoch: epoch}
		return func(s *State) (bool, bool) { return s.HostDown(env, p) == nil, model.down(p) }
	case 6, 7, 8:
		p := &v1.HostBack{Host: name, HostEpoch: epoch}
		return func(s *State) (bool, bool) { return s.HostBack(env, p) == nil, model.back(p) }
	case 9, 10:
		p := &v1.WaveControl{Wave: wave, Action: v1.WaveAction(rapid.IntRange(0, 3).Draw(t, "action"))}
		return func(s *State) (bool, bool) { return s.WaveControl(env, p) == nil, model.control(p) }
	default:
		doc := drawDocument(t)
		return func(s *State) (bool, bool) { adoptBoth(t, s, model, doc); return true, true }
	}
}

// adoptBoth adopts the document if the state under test accepts it; the model then finds broken budgets.
func adoptBoth(t *rapid.T, s *State, model *naive, doc *structs.Document) {
	if s.CheckDocument(doc) != nil {
		return
	}
	s.AdoptDocument(doc)
	assert.Assert(t, model.adopt(doc), "an accepted document breaks a rule")
}

// reload replaces the state by what a snapshot of it holds.
func reload(t *rapid.T, s *State) *State {
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	fresh := New()
	assert.NilError(t, json.Unmarshal(data, fresh))
	again, err := json.Marshal(fresh)
	assert.NilError(t, err)
	assert.Equal(t, string(data), string(again))
	return fresh
}

func compare(t *rapid.T, s *State, model *naive) {
	hosts := s.Hosts()
	assert.Equal(t, len(hosts), len(model.hosts))
	inPools := 0
	for pool := range s.Pools {
		inPools += len(s.HostsInPool(pool))
		if budget, _ := s.Budget(pool); budget.Hosts != len(s.HostsInPool(pool)) {
			t.Fatalf("pool %s counts %d hosts", pool, budget.Hosts)
		}
	}
	assert.Equal(t, inPools, len(hosts), "each host is in exactly one pool")
	for _, h := range hosts {
		m := model.hosts[h.Name]
		got := fmt.Sprint(h.Pool, h.MoveTo, h.Wave, h.Phase, h.Epoch)
		assert.Equal(t, got, fmt.Sprint(m.pool, m.to, m.wave, m.phase, m.epoch), h.Name)
	}
	for name, w := range model.waves {
		assert.Equal(t, s.Waves[name].Phase, w.phase, name)
		assert.DeepEqual(t, s.Waves[name].Hosts, w.steps)
	}
}

func twoPools() *structs.Document {
	doc := &structs.Document{Pools: []structs.Pool{{Name: "p0", MinAvailable: 2}, {Name: "p1"}}}
	for i := range 4 {
		h := host(i)
		h.Pool = "p0"
		doc.Hosts = append(doc.Hosts, h)
	}
	return doc
}

// Guards against a change that breaks a budget or strands a host, and against a check so strict
// that an operator can't remove a dead host.
func TestCheckDocument(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*structs.Document)
		wrong  string
	}{
		"same":               {func(*structs.Document) {}, ""},
		"remove failed host": {func(d *structs.Document) { d.Hosts = d.Hosts[1:] }, ""},
		"remove serving":     {func(d *structs.Document) { d.Hosts = d.Hosts[:3] }, "minAvailable"},
		"raise minimum":      {func(d *structs.Document) { d.Pools[0].MinAvailable = 3 }, "minAvailable"},
		"zone bound":         {func(d *structs.Document) { d.Pools[0].MaxUnavailablePerZone = 1 }, ""},
		"drop pool":          {func(d *structs.Document) { d.Pools = d.Pools[1:] }, "can't be dropped"},
		"drop destination":   {func(d *structs.Document) { d.Pools = d.Pools[:1] }, "can't be dropped"},
		"pool of moving":     {func(d *structs.Document) { d.Hosts[1].Pool = "p1" }, "while it is moving"},
		"pool of serving":    {func(d *structs.Document) { d.Hosts[2].Pool = "p1" }, ""},
		"pin failed":         {func(d *structs.Document) { d.Hosts[0].Pinned = true }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.AdoptDocument(twoPools())
			assert.Assert(t, s.HostDown(structs.Envelope{Offset: 1}, &v1.HostDown{Host: "h00", HostEpoch: 1}) == nil)
			assert.Assert(t, s.Move(structs.Envelope{Offset: 2}, &v1.Move{Host: "h01", HostEpoch: 1, From: "p0", To: "p1"}) == nil)
			next := twoPools()
			tc.change(next)
			err := s.CheckDocument(next)
			if tc.wrong == "" {
				assert.Assert(t, err == nil, "%v", err)
				return
			}
			assert.ErrorContains(t, err, tc.wrong)
		})
	}
}
