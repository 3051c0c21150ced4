package fold

import (
	"bytes"
	"encoding/json"
	"regexp"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/viewdelta"
)

var lastSeqPattern = regexp.MustCompile(`"lastSeq":[0-9]+`)

// encodeSections encodes the sections and the version without the lastSeq fields, which rejected proposals
// advance as well.
func encodeSections(tb assert.TestingT, state *State) string {
	data, err := json.Marshal([]any{state.Escrow, state.Inventory, state.Jobs, state.version})
	assert.NilError(tb, err)
	return lastSeqPattern.ReplaceAllString(string(data), "")
}

// referenceDocument is a reference model of the accepted document. It rebuilds the whole document for each
// change set, where the fold replaces only the changed objects.
type referenceDocument struct {
	doc     *structs.Document
	version uint64
}

func (m *referenceDocument) apply(changeSet *v1.ChangeSet) bool {
	if changeSet.GetBaseVersion() != m.version {
		return false
	}
	bodies := map[document.Ref]json.RawMessage{}
	objects, _ := document.Objects(m.doc)
	for _, object := range objects {
		bodies[document.Ref{Kind: object.Kind, Name: object.Name}] = object.Body
	}
	for _, change := range changeSet.GetChanges() {
		bodies[document.Ref{Kind: change.GetKind(), Name: change.GetName()}] = change.GetBody()
		if change.GetDelete() {
			delete(bodies, document.Ref{Kind: change.GetKind(), Name: change.GetName()})
		}
	}
	lists := map[string][]json.RawMessage{}
	for ref, body := range bodies {
		lists[ref.Kind+"s"] = append(lists[ref.Kind+"s"], body)
	}
	whole, _ := json.Marshal(map[string]any{
		"zones": lists["zones"], "pools": lists["pools"], "hosts": lists["hosts"], "teams": lists["teams"],
		"keys": lists["keys"], "waves": lists["waves"], "policy": lists["policys"][0],
	})
	next := &structs.Document{}
	if json.Unmarshal(whole, next) != nil {
		return false
	}
	document.Normalize(next)
	hash, err := document.Hash(next)
	if err != nil || document.Validate(next) != nil || !bytes.Equal(hash, changeSet.GetOutcomeHash()) {
		return false
	}
	m.doc, m.version = next, m.version+1
	return true
}

// Guards against processes that fold the same log and reach different verdicts or states, documents that
// are wrong after incremental changes, states that differ when restored from a snapshot, and views that
// differ when built from deltas. Also guards against duplicate or rejected proposals that change the
// state.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		builder := newLogBuilder(t, fleetdoc.New(smallFleet))
		model := &referenceDocument{doc: &structs.Document{}}
		first := &v1.Record{}
		assert.NilError(t, proto.Unmarshal(builder.records[2], first))
		assert.Assert(t, model.apply(first.GetChangeSet()))
		tracker := &viewdelta.Tracker{}
		gatewayView := builder.state.View()
		tracker.Update(gatewayView)
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			before := encodeSections(t, builder.state)
			verdict := drawStep(t, builder, model)
			if !verdict.Accepted {
				assert.Equal(t, encodeSections(t, builder.state), before, "a proposal rejected with %s changed the state", verdict.Kind)
			}
			if rapid.Bool().Draw(t, "poll") {
				gatewayView = applyDelta(t, builder, tracker, gatewayView)
			}
		}
		hash, err := document.Hash(model.doc)
		assert.NilError(t, err)
		assert.Equal(t, builder.state.Version(), model.version)
		assert.DeepEqual(t, builder.state.DocumentHash(), hash)
		checkReaders(t, builder)
	})
}

// drawStep appends a random record to the log: a duplicate, a change set or another proposal.
func drawStep(t *rapid.T, builder *logBuilder, model *referenceDocument) Verdict {
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0:
		duplicate := rapid.SampledFrom(builder.records).Draw(t, "duplicate")
		verdict := builder.append(duplicate)
		assert.Assert(t, !verdict.Accepted, "a duplicate of a %s record was accepted", verdict.Payload)
		return verdict
	case 1:
		next := mutateDocument(t, *builder.state.Document())
		changeSet, err := document.NewChangeSet("set", "ada", "", builder.state.Version(), builder.state.Document(), next)
		assert.NilError(t, err)
		changeSet.BaseVersion -= rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "behind")
		changeSet.OutcomeHash[0] ^= rapid.SampledFrom([]byte{0, 0, 0, 1}).Draw(t, "damage")
		verdict := builder.add("op", &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: changeSet}})
		// The model has no sections. Documents that a section forbids are covered by the tests of the section.
		if verdict.Accepted || verdict.Kind == fault.VersionConflict || verdict.Kind == fault.OutcomeMismatch {
			assert.Equal(t, model.apply(changeSet), verdict.Accepted, verdict.Detail)
		}
		return verdict
	default:
		proposer, record := drawRecord(t)
		return builder.add(proposer, record)
	}
}

// applyDelta updates the view of a gateway, which may be from any earlier offset, by a delta to the current
// state, and compares the result with a whole view.
func applyDelta(t *rapid.T, builder *logBuilder, tracker *viewdelta.Tracker, view *structs.View) *structs.View {
	whole := builder.state.View()
	tracker.Update(whole)
	delta, ok := tracker.Delta(view.Offset)
	assert.Assert(t, ok)
	encoded, err := json.Marshal(delta)
	assert.NilError(t, err)
	decoded := &structs.ViewDelta{}
	assert.NilError(t, json.Unmarshal(encoded, decoded))
	next, stale := viewdelta.Apply(view, decoded)
	assert.Assert(t, stale == nil)
	assert.Equal(t, viewJSON(t, next), viewJSON(t, whole))
	return next
}

// viewJSON encodes the view as JSON. An empty and a nil list of gateways have the same encoding.
func viewJSON(tb assert.TestingT, view *structs.View) string {
	copied := *view
	if len(copied.Gateways) == 0 {
		copied.Gateways = nil
	}
	data, err := json.Marshal(&copied)
	assert.NilError(tb, err)
	return string(data)
}

// checkReaders compares the state with that of a second fold of the whole log, and with those of a
// snapshot at each offset followed by the rest of the log.
func checkReaders(t *rapid.T, builder *logBuilder) {
	want := encodeCanonical(t, builder.state)
	assert.Equal(t, encodeCanonical(t, foldAll(t, New(), builder.records)), want)
	reader := New()
	for index := range builder.records {
		_, err := reader.Apply(int64(index)+1, builder.records[index])
		assert.NilError(t, err)
		data, err := reader.EncodeSnapshot()
		assert.NilError(t, err)
		restored, decodeErr := DecodeSnapshot(data)
		assert.Assert(t, decodeErr == nil, "%v", decodeErr)
		assert.Equal(t, encodeCanonical(t, restored), encodeCanonical(t, reader))
		assert.Equal(t, encodeCanonical(t, foldAll(t, restored, builder.records)), want, "snapshot at offset %d", index+1)
	}
}

// Guards against a change set that takes effect although it is invalid, has an old base version, or sets a
// limit below the units allotted.
func TestChangeSetRejections(t *testing.T) {
	team := func(body string) []*v1.Change {
		return []*v1.Change{{Kind: "team", Name: "team-000", Body: []byte(body)}}
	}
	cases := map[string]struct {
		changes []*v1.Change
		kind    fault.Kind
		detail  string
	}{
		"empty":            {nil, fault.DocumentInvalid, "no changes"},
		"unknown kind":     {[]*v1.Change{{Kind: "rack", Name: "a"}}, fault.DocumentInvalid, "unknown kind"},
		"unknown field":    {team(`{"name":"team-000","share":1,"weight":2}`), fault.DocumentInvalid, "unknown field"},
		"other name":       {team(`{"name":"team-001","share":1}`), fault.DocumentInvalid, "body for"},
		"data after body":  {team(`{"name":"team-000","share":1}{}`), fault.DocumentInvalid, "after its body"},
		"share below 1":    {team(`{"name":"team-000","share":0}`), fault.DocumentInvalid, "share 0"},
		"negative limit":   {team(`{"name":"team-000","share":1,"upperLimit":-1}`), fault.DocumentInvalid, "upperLimit"},
		"changed twice":    {append(team(`{"name":"team-000","share":1}`), team(`{"name":"team-000","share":2}`)...), fault.DocumentInvalid, "two changes"},
		"unknown deleted":  {[]*v1.Change{{Kind: "host", Name: "none", Delete: true}}, fault.DocumentInvalid, "unknown host"},
		"policy deleted":   {[]*v1.Change{{Kind: "policy", Name: "policy", Delete: true}}, fault.DocumentInvalid, "policy"},
		"team in use":      {[]*v1.Change{{Kind: "team", Name: "team-000", Delete: true}}, fault.DocumentInvalid, "declared team"},
		"duplicate host":   {[]*v1.Change{{Kind: "host", Name: "host-9", Body: []byte(`{"name":"host-9","zone":"zone-00","rack":"r","pool":"pool-00","address":"10.0.0.1:8080","slots":8,"connections":64}`)}}, fault.DocumentInvalid, "has it already"},
		"record too large": {[]*v1.Change{{Kind: "team", Name: "team-000", Body: append(bytes.Repeat([]byte(" "), MaxRecordBytes), []byte(`{"name":"team-000","share":1}`)...)}}, fault.RequestTooLarge, "bytes"},
		"wrong hash":       {team(`{"name":"team-000","share":4,"upperLimit":9}`), fault.OutcomeMismatch, "hash"},
	}
	builder := newLogBuilder(t, fleetdoc.New(smallFleet))
	for name, tc := range cases {
		changeSet := &v1.ChangeSet{Id: name, BaseVersion: 1, Changes: tc.changes, OutcomeHash: []byte("none")}
		builder.seqs["op"]++
		raw, err := proto.Marshal(&v1.Record{Schema: 1, Proposer: "op", Incarnation: "1", Seq: builder.seqs["op"], Payload: &v1.Record_ChangeSet{ChangeSet: changeSet}})
		assert.NilError(t, err)
		verdict := builder.append(raw)
		assert.Equal(t, verdict.Kind, tc.kind, "%s: %s", name, verdict.Detail)
		assert.Assert(t, bytes.Contains([]byte(verdict.Detail), []byte(tc.detail)), "%s: %s", name, verdict.Detail)
		assert.Equal(t, builder.state.Version(), uint64(1))
	}
	stale := builder.add("op", &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: &v1.ChangeSet{}}})
	assert.Equal(t, stale.Kind, fault.VersionConflict)

	builder.add("gw", &v1.Record{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: []*v1.Units{{Team: "team-000", Units: 50}}}}})
	lower := *builder.state.Document()
	lower.Teams = append([]structs.Team(nil), lower.Teams...)
	lower.Teams[0].UpperLimit = 49
	assert.Equal(t, builder.publish(&lower).Kind, fault.LimitBelowAllotted)
}

// Guards against a truncated record that is folded as a shorter one, and against a record of a newer
// format that is reported as corrupt.
func TestDamagedRecords(t *testing.T) {
	builder := newLogBuilder(t, fleetdoc.New(smallFleet))
	builder.add("gw", &v1.Record{Payload: &v1.Record_Leave{Leave: &v1.Leave{}}})
	before := encodeCanonical(t, builder.state)
	for _, raw := range builder.records {
		for size := range raw {
			_, err := builder.state.Apply(builder.state.Offset()+1, raw[:size])
			assert.Equal(t, fault.KindOf(err), fault.RecordCorrupt, "%d of %d bytes", size, len(raw))
		}
	}
	for _, newer := range [][]byte{{0x08, Schema + 1}, {0x08, Schema + 1, 0xff, 0xff}} {
		_, err := builder.state.Apply(builder.state.Offset()+1, newer)
		assert.Equal(t, fault.KindOf(err), fault.SchemaUnsupported)
	}
	_, err := builder.state.Apply(builder.state.Offset()+2, builder.records[0])
	assert.Equal(t, fault.KindOf(err), fault.LogGap)
	assert.Equal(t, encodeCanonical(t, builder.state), before)
}

// Guards against a snapshot that is assembled from chunks of two snapshots or in the wrong order, and
// against a damaged snapshot that is accepted.
func TestSnapshotChunks(t *testing.T) {
	builder := newLogBuilder(t, fleetdoc.New(fleetdoc.DesignSize))
	data, err := builder.state.EncodeSnapshot()
	assert.NilError(t, err)
	chunks := SplitSnapshot(data, "op", "1", builder.state.Offset(), builder.state.Hash())
	assert.Assert(t, len(chunks) > 2, "%d chunks", len(chunks))
	otherChunks := SplitSnapshot(data, "op", "2", builder.state.Offset(), builder.state.Hash())
	var assembler ChunkAssembler
	var assembled []*v1.SnapshotChunk
	for i := len(chunks) - 1; i >= 0; i-- {
		assert.Assert(t, proto.Size(chunks[i]) <= MaxChunkBytes)
		_, done := assembler.Add(otherChunks[len(otherChunks)-1])
		assert.Assert(t, !done)
		assembled, _ = assembler.Add(chunks[i])
	}
	state, decodeErr := AssembleSnapshot(assembled)
	assert.Assert(t, decodeErr == nil)
	assert.Equal(t, encodeCanonical(t, state), encodeCanonical(t, builder.state))
	for _, at := range []int{0, 60, len(chunks[0].Data) / 2} {
		chunks[0].Data[at] ^= 1
		_, decodeErr = AssembleSnapshot(assembled)
		assert.Assert(t, decodeErr != nil, "byte %d", at)
		chunks[0].Data[at] ^= 1
	}
	assembled[0].Offset++
	_, decodeErr = AssembleSnapshot(assembled)
	assert.Equal(t, decodeErr.Kind, fault.RecordCorrupt)
}
