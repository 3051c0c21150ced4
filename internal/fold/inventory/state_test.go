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

// testHost declares host i in one of three zones with two racks each, and in one of three pools.
func testHost(i int) structs.Host {
	zone := i % 3
	return structs.Host{
		Name: fmt.Sprintf("h%02d", i), Zone: fmt.Sprintf("z%d", zone),
		Rack: fmt.Sprintf("z%d-r%d", zone, i/3%2), Pool: fmt.Sprintf("p%d", i/3%3),
	}
}

// drawDocument draws a document with varying pools, budgets, hosts, pins and waves.
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
		h := testHost(i)
		h.Pool = fmt.Sprintf("p%d", (i/3+rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "poolShift"))%len(doc.Pools))
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

// drawEpoch draws the current epoch of the host in most cases, and otherwise the one before or after it.
func drawEpoch(t *rapid.T, s *State, name string) uint64 {
	current, _ := s.Host(name)
	shift := rapid.SampledFrom([]uint64{1, 1, 1, 1, 1, 0, 2}).Draw(t, "epochShift")
	return current.Epoch + shift - 1
}

// Applies drawn records and documents to State and to the reference model. It guards against counters and
// indexes that become inconsistent with the hosts, budgets exceeded by an accepted stop or document, hosts in
// two pools, stale or repeated records that take effect, and snapshots that lose state.
func TestStateMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		model := &referenceModel{}
		adoptInBoth(t, s, model, drawDocument(t))
		var last applyFunc
		for offset := range int64(rapid.IntRange(1, 60).Draw(t, "records")) {
			apply := last
			if last == nil || rapid.IntRange(0, 5).Draw(t, "repeat") > 0 {
				apply = drawRecord(t, s, model, offset+1)
			}
			got, want := apply(s)
			assert.Equal(t, got, want, "acceptance of the record at offset %d", offset+1)
			last = apply
			s = reloadFromSnapshot(t, s)
			compareWithModel(t, s, model)
		}
	})
}

// applyFunc applies one record to the state and to the model, and returns whether each of them accepted it.
type applyFunc func(s *State) (bool, bool)

// drawRecord draws a record or a document.
func drawRecord(t *rapid.T, s *State, model *referenceModel, offset int64) applyFunc {
	env := structs.Envelope{Offset: offset}
	name := testHost(rapid.IntRange(0, 14).Draw(t, "host")).Name
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
		return func(s *State) (bool, bool) { return s.HostDown(env, p) == nil, model.hostDown(p) }
	case 6, 7, 8:
		p := &v1.HostBack{Host: name, HostEpoch: epoch}
		return func(s *State) (bool, bool) { return s.HostBack(env, p) == nil, model.hostBack(p) }
	case 9, 10:
		p := &v1.WaveControl{Wave: wave, Action: v1.WaveAction(rapid.IntRange(0, 3).Draw(t, "action"))}
		return func(s *State) (bool, bool) { return s.WaveControl(env, p) == nil, model.waveControl(p) }
	default:
		doc := drawDocument(t)
		return func(s *State) (bool, bool) { adoptInBoth(t, s, model, doc); return true, true }
	}
}

// adoptInBoth applies the document to both if the state accepts it. The model then checks that accepting it was
// right.
func adoptInBoth(t *rapid.T, s *State, model *referenceModel, doc *structs.Document) {
	if s.CheckDocument(doc) != nil {
		return
	}
	s.AdoptDocument(doc)
	assert.Assert(t, model.adoptDocument(doc), "State accepted a document that breaks a rule")
}

// reloadFromSnapshot returns the state decoded from a snapshot, and checks that encoding it again is identical.
func reloadFromSnapshot(t *rapid.T, s *State) *State {
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	decoded := New()
	assert.NilError(t, json.Unmarshal(data, decoded))
	again, err := json.Marshal(decoded)
	assert.NilError(t, err)
	assert.Equal(t, string(data), string(again))
	return decoded
}

func compareWithModel(t *rapid.T, s *State, model *referenceModel) {
	hosts := s.Hosts()
	assert.Equal(t, len(hosts), len(model.hosts))
	inPools := 0
	for pool := range s.Pools {
		inPools += len(s.HostsInPool(pool))
		if budget, _ := s.Budget(pool); budget.Hosts != len(s.HostsInPool(pool)) {
			t.Fatalf("the budget of pool %s counts %d hosts: want the number of hosts in the pool", pool, budget.Hosts)
		}
	}
	assert.Equal(t, inPools, len(hosts), "sum of hosts over all pools: want each host in exactly one pool")
	for _, h := range hosts {
		m := model.hosts[h.Name]
		got := fmt.Sprint(h.Pool, h.MoveTo, h.Wave, h.Phase, h.Epoch)
		assert.Equal(t, got, fmt.Sprint(m.pool, m.moveTo, m.wave, m.phase, m.epoch), h.Name)
	}
	for name, w := range model.waves {
		assert.Equal(t, s.Waves[name].Phase, w.phase, name)
		assert.DeepEqual(t, s.Waves[name].Hosts, w.steps)
	}
}

// twoPoolDocument declares four hosts in pool p0, and pool p1 without hosts.
func twoPoolDocument() *structs.Document {
	doc := &structs.Document{Pools: []structs.Pool{{Name: "p0", MinAvailable: 2}, {Name: "p1"}}}
	for i := range 4 {
		h := testHost(i)
		h.Pool = "p0"
		doc.Hosts = append(doc.Hosts, h)
	}
	return doc
}

// Guards against documents that exceed a budget or remove the pool of a host, and against a check so strict
// that an operator can't remove a failed host.
func TestCheckDocument(t *testing.T) {
	for name, tc := range map[string]struct {
		change  func(*structs.Document)
		wantErr string
	}{
		"unchanged":                {func(*structs.Document) {}, ""},
		"remove failed host":       {func(d *structs.Document) { d.Hosts = d.Hosts[1:] }, ""},
		"remove serving host":      {func(d *structs.Document) { d.Hosts = d.Hosts[:3] }, "minAvailable"},
		"minimum above available":  {func(d *structs.Document) { d.Pools[0].MinAvailable = 3 }, "minAvailable"},
		"zone limit met":           {func(d *structs.Document) { d.Pools[0].MaxUnavailablePerZone = 1 }, ""},
		"drop pool of hosts":       {func(d *structs.Document) { d.Pools = d.Pools[1:] }, "can't be dropped"},
		"drop destination of move": {func(d *structs.Document) { d.Pools = d.Pools[:1] }, "can't be dropped"},
		"pool of moving host":      {func(d *structs.Document) { d.Hosts[1].Pool = "p1" }, "while it is moving"},
		"pool of serving host":     {func(d *structs.Document) { d.Hosts[2].Pool = "p1" }, ""},
		"pin failed host":          {func(d *structs.Document) { d.Hosts[0].Pinned = true }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.AdoptDocument(twoPoolDocument())
			assert.Assert(t, s.HostDown(structs.Envelope{Offset: 1}, &v1.HostDown{Host: "h00", HostEpoch: 1}) == nil)
			assert.Assert(t, s.Move(structs.Envelope{Offset: 2}, &v1.Move{Host: "h01", HostEpoch: 1, From: "p0", To: "p1"}) == nil)
			next := twoPoolDocument()
			tc.change(next)
			err := s.CheckDocument(next)
			if tc.wantErr == "" {
				assert.Assert(t, err == nil, "%v", err)
				return
			}
			assert.ErrorContains(t, err, tc.wantErr)
		})
	}
}
