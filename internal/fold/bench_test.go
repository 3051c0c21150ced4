package fold

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/viewdelta"
)

var benchSizes = []fleetdoc.Size{
	{Hosts: 50, Teams: 6, Pools: 5, Zones: 3},
	{Hosts: 700, Teams: 40, Pools: 10, Zones: 15},
	fleetdoc.Design,
}

func runForSizes(b *testing.B, body func(*testing.B, *logBuilder)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", size.Hosts), func(b *testing.B) {
			h := newLogBuilder(b, fleetdoc.New(size))
			addGateways(h, 9)
			b.ReportAllocs()
			b.ResetTimer()
			body(b, h)
		})
	}
}

// addGateways joins gateways that each hold some units of each team.
func addGateways(h *logBuilder, count int) {
	for i := range count {
		name := fmt.Sprintf("gateway-%d", i)
		h.add(name, &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: "zone-00", Address: "10.9.1.1:1", Role: v1.Role_ROLE_GATEWAY}}})
		var units []*v1.Units
		for _, team := range h.state.Document().Teams {
			units = append(units, &v1.Units{Team: team.Name, Units: 2})
		}
		h.add(name, &v1.Record{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: units}}})
	}
}

// newLimitChange returns the change set that raises the limit of one team.
func newLimitChange(tb assert.TestingT, state *State) *v1.ChangeSet {
	doc := *state.Document()
	doc.Teams = append([]structs.Team(nil), doc.Teams...)
	doc.Teams[0].UpperLimit++
	changes, err := document.Diff(state.Document(), &doc)
	assert.NilError(tb, err)
	_, index, err := document.ApplyIndexed(state.doc, state.index, changes)
	assert.NilError(tb, err)
	return &v1.ChangeSet{Id: "set", Author: "ada", BaseVersion: state.Version(), Changes: changes, OutcomeHash: index.Hash()}
}

func BenchmarkChangeSet(b *testing.B) {
	runForSizes(b, func(b *testing.B, h *logBuilder) {
		for b.Loop() {
			b.StopTimer()
			h.seqs["op"]++
			record := &v1.Record{Schema: Schema, Proposer: "op", Incarnation: "1", Seq: h.seqs["op"], Payload: &v1.Record_ChangeSet{ChangeSet: newLimitChange(b, h.state)}}
			raw, err := EncodeRecord(record)
			assert.NilError(b, err)
			b.StartTimer()
			verdict, err := h.state.Apply(h.state.Offset()+1, raw)
			assert.NilError(b, err)
			assert.Assert(b, verdict.Accepted, verdict.Detail)
			b.ReportMetric(float64(len(raw)), "record-B")
		}
	})
}

func BenchmarkClaim(b *testing.B) {
	runForSizes(b, func(b *testing.B, h *logBuilder) {
		for b.Loop() {
			h.records = h.records[:0]
			h.seqs["gateway-0"]++
			record := &v1.Record{Schema: Schema, Proposer: "gateway-0", Incarnation: "1", Seq: h.seqs["gateway-0"], Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: []*v1.Units{{Team: "team-000", Units: 1}}}}}
			raw, err := EncodeRecord(record)
			assert.NilError(b, err)
			_, err = h.state.Apply(h.state.Offset()+1, raw)
			assert.NilError(b, err)
			b.ReportMetric(float64(len(raw)), "record-B")
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	runForSizes(b, func(b *testing.B, h *logBuilder) {
		for range MaxRecentVerdicts {
			h.add("gateway-0", &v1.Record{Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}}})
		}
		for b.Loop() {
			data, err := h.state.EncodeSnapshot()
			assert.NilError(b, err)
			b.ReportMetric(float64(len(data)), "packed-B")
			b.ReportMetric(float64(len(encodeCanonical(b, h.state))), "canonical-B")
		}
	})
}

func BenchmarkSnapshotLoad(b *testing.B) {
	runForSizes(b, func(b *testing.B, h *logBuilder) {
		data, err := h.state.EncodeSnapshot()
		assert.NilError(b, err)
		for b.Loop() {
			_, damaged := DecodeSnapshot(data)
			assert.Assert(b, damaged == nil)
		}
	})
}

// BenchmarkView measures a whole view as a gateway receives it.
func BenchmarkView(b *testing.B) {
	runForSizes(b, func(b *testing.B, h *logBuilder) {
		for b.Loop() {
			data, err := json.Marshal(h.state.View())
			assert.NilError(b, err)
			reportSizes(b, data)
		}
	})
}

// BenchmarkViewDelta measures the delta after one change of a limit, and after one claim.
func BenchmarkViewDelta(b *testing.B) {
	for _, claim := range []bool{false, true} {
		b.Run(fmt.Sprintf("claim=%t", claim), func(b *testing.B) {
			runForSizes(b, func(b *testing.B, h *logBuilder) {
				tracker := &viewdelta.Tracker{}
				tracker.Update(h.state.View())
				for b.Loop() {
					b.StopTimer()
					base := h.state.Offset()
					if claim {
						h.add("gateway-0", &v1.Record{Payload: &v1.Record_Return{Return: &v1.Return{Units: []*v1.Units{{Team: "team-000", Units: 1}}}}})
						h.add("gateway-0", &v1.Record{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: []*v1.Units{{Team: "team-000", Units: 1}}}}})
					} else {
						h.add("op", &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: newLimitChange(b, h.state)}})
					}
					b.StartTimer()
					tracker.Update(h.state.View())
					delta, ok := tracker.Delta(base)
					assert.Assert(b, ok)
					data, err := json.Marshal(delta)
					assert.NilError(b, err)
					reportSizes(b, data)
				}
			})
		})
	}
}

func reportSizes(b *testing.B, data []byte) {
	b.StopTimer()
	defer b.StartTimer()
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, err := writer.Write(data)
	assert.NilError(b, err)
	assert.NilError(b, writer.Close())
	b.ReportMetric(float64(len(data)), "json-B")
	b.ReportMetric(float64(packed.Len()), "gzip-B")
}

// BenchmarkStateMemory measures the heap that one state with full rings of verdicts keeps, with a
// tracker of views.
func BenchmarkStateMemory(b *testing.B) {
	runForSizes(b, func(b *testing.B, h *logBuilder) {
		data, err := h.state.EncodeSnapshot()
		assert.NilError(b, err)
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			state, damaged := DecodeSnapshot(data)
			assert.Assert(b, damaged == nil)
			tracker := &viewdelta.Tracker{}
			tracker.Update(state.View())
			for state.Offset() < h.state.Offset()+MaxRecentVerdicts {
				h.seqs["op"]++
				raw, err := EncodeRecord(&v1.Record{Schema: Schema, Proposer: "op", Incarnation: "1", Seq: h.seqs["op"], Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}}})
				assert.NilError(b, err)
				_, err = state.Apply(state.Offset()+1, raw)
				assert.NilError(b, err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-B")
			runtime.KeepAlive(state)
			runtime.KeepAlive(tracker)
		}
	})
}
