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

var fleetSizes = []fleetdoc.Size{
	{Hosts: 50, Teams: 6, Pools: 5, Zones: 3},
	{Hosts: 700, Teams: 40, Pools: 10, Zones: 15},
	fleetdoc.DesignSize,
}

// runForFleetSizes runs the benchmark once for each size of fleet, on a log in which 9 gateways hold units.
func runForFleetSizes(b *testing.B, benchmark func(*testing.B, *logBuilder)) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", size.Hosts), func(b *testing.B) {
			builder := newLogBuilder(b, fleetdoc.New(size))
			addGateways(builder, 9)
			b.ReportAllocs()
			b.ResetTimer()
			benchmark(b, builder)
		})
	}
}

// addGateways joins the given number of gateways, each of which claims 2 units of each team.
func addGateways(builder *logBuilder, count int) {
	for i := range count {
		name := fmt.Sprintf("gateway-%d", i)
		builder.add(name, &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: "zone-00", Address: "10.9.1.1:1", Role: v1.Role_ROLE_GATEWAY}}})
		var units []*v1.Units
		for _, team := range builder.state.Document().Teams {
			units = append(units, &v1.Units{Team: team.Name, Units: 2})
		}
		builder.add(name, &v1.Record{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: units}}})
	}
}

// newLimitChange returns a change set that raises the limit of the first team by one.
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
	runForFleetSizes(b, func(b *testing.B, builder *logBuilder) {
		for b.Loop() {
			b.StopTimer()
			builder.seqs["op"]++
			record := &v1.Record{Schema: Schema, Proposer: "op", Incarnation: "1", Seq: builder.seqs["op"], Payload: &v1.Record_ChangeSet{ChangeSet: newLimitChange(b, builder.state)}}
			raw, err := EncodeRecord(record)
			assert.NilError(b, err)
			b.StartTimer()
			verdict, err := builder.state.Apply(builder.state.Offset()+1, raw)
			assert.NilError(b, err)
			assert.Assert(b, verdict.Accepted, verdict.Detail)
			b.ReportMetric(float64(len(raw)), "record-B")
		}
	})
}

func BenchmarkClaim(b *testing.B) {
	runForFleetSizes(b, func(b *testing.B, builder *logBuilder) {
		for b.Loop() {
			builder.records = builder.records[:0]
			builder.seqs["gateway-0"]++
			record := &v1.Record{Schema: Schema, Proposer: "gateway-0", Incarnation: "1", Seq: builder.seqs["gateway-0"], Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: []*v1.Units{{Team: "team-000", Units: 1}}}}}
			raw, err := EncodeRecord(record)
			assert.NilError(b, err)
			_, err = builder.state.Apply(builder.state.Offset()+1, raw)
			assert.NilError(b, err)
			b.ReportMetric(float64(len(raw)), "record-B")
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	runForFleetSizes(b, func(b *testing.B, builder *logBuilder) {
		for range MaxRecentVerdicts {
			builder.add("gateway-0", &v1.Record{Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}}})
		}
		for b.Loop() {
			data, err := builder.state.EncodeSnapshot()
			assert.NilError(b, err)
			b.ReportMetric(float64(len(data)), "packed-B")
			b.ReportMetric(float64(len(encodeCanonical(b, builder.state))), "canonical-B")
		}
	})
}

func BenchmarkSnapshotLoad(b *testing.B) {
	runForFleetSizes(b, func(b *testing.B, builder *logBuilder) {
		data, err := builder.state.EncodeSnapshot()
		assert.NilError(b, err)
		for b.Loop() {
			_, decodeErr := DecodeSnapshot(data)
			assert.Assert(b, decodeErr == nil)
		}
	})
}

// BenchmarkView measures making and encoding a whole view for a gateway.
func BenchmarkView(b *testing.B) {
	runForFleetSizes(b, func(b *testing.B, builder *logBuilder) {
		for b.Loop() {
			data, err := json.Marshal(builder.state.View())
			assert.NilError(b, err)
			reportEncodedSizes(b, data)
		}
	})
}

// BenchmarkViewDelta measures making and encoding the view delta after a change of one limit, and after
// one return and claim.
func BenchmarkViewDelta(b *testing.B) {
	for _, claim := range []bool{false, true} {
		b.Run(fmt.Sprintf("claim=%t", claim), func(b *testing.B) {
			runForFleetSizes(b, func(b *testing.B, builder *logBuilder) {
				tracker := &viewdelta.Tracker{}
				tracker.Update(builder.state.View())
				for b.Loop() {
					b.StopTimer()
					base := builder.state.Offset()
					if claim {
						builder.add("gateway-0", &v1.Record{Payload: &v1.Record_Return{Return: &v1.Return{Units: []*v1.Units{{Team: "team-000", Units: 1}}}}})
						builder.add("gateway-0", &v1.Record{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: []*v1.Units{{Team: "team-000", Units: 1}}}}})
					} else {
						builder.add("op", &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: newLimitChange(b, builder.state)}})
					}
					b.StartTimer()
					tracker.Update(builder.state.View())
					delta, ok := tracker.Delta(base)
					assert.Assert(b, ok)
					data, err := json.Marshal(delta)
					assert.NilError(b, err)
					reportEncodedSizes(b, data)
				}
			})
		})
	}
}

// reportEncodedSizes reports the size of JSON data as it is and compressed with gzip.
func reportEncodedSizes(b *testing.B, data []byte) {
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

// BenchmarkStateMemory measures the heap that a view tracker and a state with a full ring of recent
// verdicts occupy.
func BenchmarkStateMemory(b *testing.B) {
	runForFleetSizes(b, func(b *testing.B, builder *logBuilder) {
		data, err := builder.state.EncodeSnapshot()
		assert.NilError(b, err)
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			state, decodeErr := DecodeSnapshot(data)
			assert.Assert(b, decodeErr == nil)
			tracker := &viewdelta.Tracker{}
			tracker.Update(state.View())
			for state.Offset() < builder.state.Offset()+MaxRecentVerdicts {
				builder.seqs["op"]++
				raw, err := EncodeRecord(&v1.Record{Schema: Schema, Proposer: "op", Incarnation: "1", Seq: builder.seqs["op"], Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}}})
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
