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

// encodeSections encodes the sections without the numbers that even a rejected proposal advances.
func encodeSections(tb assert.TestingT, state *State) string {
	data, err := json.Marshal([]any{state.Escrow, state.Inventory, state.Jobs, state.version})
	assert.NilError(tb, err)
	return lastSeqPattern.ReplaceAllString(string(data), "")
}

// documentModel applies accepted change sets with whole documents only.
type documentModel struct {
	doc     *structs.Document
	version uint64
}

func (n *documentModel) apply(set *v1.ChangeSet) bool {
	if set.GetBaseVersion() != n.version {
		return false
	}
	bodies := map[document.Ref]json.RawMessage{}
	objects, _ := document.Objects(n.doc)
	for _, object := range objects {
		bodies[document.Ref{Kind: object.Kind, Name: object.Name}] = object.Body
	}
	for _, change := range set.GetChanges() {
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
	if err != nil || document.Validate(next) != nil || !bytes.Equal(hash, set.GetOutcomeHash()) {
		return false
	}
	n.doc, n.version = next, n.version+1
	return true
}

// Guards against readers that disagree: about verdicts, about documents after incremental changes,
// about state from a snapshot, or about a view built from deltas; and against a duplicate or
// rejected proposal that has an effect.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newLogBuilder(t, fleetdoc.New(smallFleet))
		naive := &documentModel{doc: &structs.Document{}}
		first := &v1.Record{}
		assert.NilError(t, proto.Unmarshal(h.records[2], first))
		assert.Assert(t, naive.apply(first.GetChangeSet()))
		tracker := &viewdelta.Tracker{}
		view := h.state.View()
		tracker.Update(view)
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			before := encodeSections(t, h.state)
			verdict := drawStep(t, h, naive)
			if !verdict.Accepted {
				assert.Equal(t, encodeSections(t, h.state), before, "rejected with %s", verdict.Kind)
			}
			if rapid.Bool().Draw(t, "poll") {
				view = applyDelta(t, h, tracker, view)
			}
		}
		hash, err := document.Hash(naive.doc)
		assert.NilError(t, err)
		assert.Equal(t, h.state.Version(), naive.version)
		assert.DeepEqual(t, h.state.DocumentHash(), hash)
		checkReaders(t, h)
	})
}

func drawStep(t *rapid.T, h *logBuilder, naive *documentModel) Verdict {
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0:
		copied := rapid.SampledFrom(h.records).Draw(t, "copy")
		verdict := h.append(copied)
		assert.Assert(t, !verdict.Accepted, "a duplicate of %s took effect", verdict.Payload)
		return verdict
	case 1:
		next := mutateDocument(t, *h.state.Document())
		set, err := document.NewChangeSet("set", "ada", "", h.state.Version(), h.state.Document(), next)
		assert.NilError(t, err)
		set.BaseVersion -= rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "behind")
		set.OutcomeHash[0] ^= rapid.SampledFrom([]byte{0, 0, 0, 1}).Draw(t, "damage")
		verdict := h.add("op", &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: set}})
		// The naive version knows only the document; what the sections forbid is theirs to test.
		if verdict.Accepted || verdict.Kind == fault.VersionConflict || verdict.Kind == fault.OutcomeMismatch {
			assert.Equal(t, naive.apply(set), verdict.Accepted, verdict.Detail)
		}
		return verdict
	default:
		proposer, record := drawRecord(t)
		return h.add(proposer, record)
	}
}

// applyDelta takes a delta from any earlier offset that the gateway may have, and compares the result.
func applyDelta(t *rapid.T, h *logBuilder, tracker *viewdelta.Tracker, view *structs.View) *structs.View {
	whole := h.state.View()
	tracker.Update(whole)
	delta, ok := tracker.Delta(view.Offset)
	assert.Assert(t, ok)
	sent, err := json.Marshal(delta)
	assert.NilError(t, err)
	read := &structs.ViewDelta{}
	assert.NilError(t, json.Unmarshal(sent, read))
	next, stale := viewdelta.Apply(view, read)
	assert.Assert(t, stale == nil)
	assert.Equal(t, viewJSON(t, next), viewJSON(t, whole))
	return next
}

func viewJSON(tb assert.TestingT, view *structs.View) string {
	copied := *view
	if len(copied.Gateways) == 0 {
		copied.Gateways = nil
	}
	data, err := json.Marshal(&copied)
	assert.NilError(tb, err)
	return string(data)
}

// checkReaders compares a second full fold, and snapshot plus tail at every cut.
func checkReaders(t *rapid.T, h *logBuilder) {
	want := encodeCanonical(t, h.state)
	assert.Equal(t, encodeCanonical(t, foldAll(t, New(), h.records)), want)
	reader := New()
	for cut := range h.records {
		_, err := reader.Apply(int64(cut)+1, h.records[cut])
		assert.NilError(t, err)
		data, err := reader.EncodeSnapshot()
		assert.NilError(t, err)
		restored, damaged := DecodeSnapshot(data)
		assert.Assert(t, damaged == nil, "%v", damaged)
		assert.Equal(t, encodeCanonical(t, restored), encodeCanonical(t, reader))
		assert.Equal(t, encodeCanonical(t, foldAll(t, restored, h.records)), want, "cut at %d", cut+1)
	}
}

// Guards against a change set that takes effect although its input is bad.
func TestChangeSetRejections(t *testing.T) {
	team := func(body string) []*v1.Change {
		return []*v1.Change{{Kind: "team", Name: "team-000", Body: []byte(body)}}
	}
	cases := map[string]struct {
		changes []*v1.Change
		kind    fault.Kind
		detail  string
	}{
		"empty":           {nil, fault.DocumentInvalid, "no changes"},
		"unknown kind":    {[]*v1.Change{{Kind: "rack", Name: "a"}}, fault.DocumentInvalid, "unknown kind"},
		"unknown field":   {team(`{"name":"team-000","share":1,"weight":2}`), fault.DocumentInvalid, "unknown field"},
		"other name":      {team(`{"name":"team-001","share":1}`), fault.DocumentInvalid, "body for"},
		"data after body": {team(`{"name":"team-000","share":1}{}`), fault.DocumentInvalid, "after its body"},
		"share below 1":   {team(`{"name":"team-000","share":0}`), fault.DocumentInvalid, "share 0"},
		"limit":           {team(`{"name":"team-000","share":1,"upperLimit":-1}`), fault.DocumentInvalid, "upperLimit"},
		"twice":           {append(team(`{"name":"team-000","share":1}`), team(`{"name":"team-000","share":2}`)...), fault.DocumentInvalid, "two changes"},
		"unknown deleted": {[]*v1.Change{{Kind: "host", Name: "none", Delete: true}}, fault.DocumentInvalid, "unknown host"},
		"policy deleted":  {[]*v1.Change{{Kind: "policy", Name: "policy", Delete: true}}, fault.DocumentInvalid, "policy"},
		"team in use":     {[]*v1.Change{{Kind: "team", Name: "team-000", Delete: true}}, fault.DocumentInvalid, "declared team"},
		"duplicate host":  {[]*v1.Change{{Kind: "host", Name: "host-9", Body: []byte(`{"name":"host-9","zone":"zone-00","rack":"r","pool":"pool-00","address":"10.0.0.1:8080","slots":8,"connections":64}`)}}, fault.DocumentInvalid, "has it already"},
		"oversized":       {[]*v1.Change{{Kind: "team", Name: "team-000", Body: append(bytes.Repeat([]byte(" "), MaxRecordBytes), []byte(`{"name":"team-000","share":1}`)...)}}, fault.RequestTooLarge, "bytes"},
		"wrong hash":      {team(`{"name":"team-000","share":4,"upperLimit":9}`), fault.OutcomeMismatch, "hash"},
	}
	h := newLogBuilder(t, fleetdoc.New(smallFleet))
	for name, tc := range cases {
		set := &v1.ChangeSet{Id: name, BaseVersion: 1, Changes: tc.changes, OutcomeHash: []byte("none")}
		h.seqs["op"]++
		raw, err := proto.Marshal(&v1.Record{Schema: 1, Proposer: "op", Incarnation: "1", Seq: h.seqs["op"], Payload: &v1.Record_ChangeSet{ChangeSet: set}})
		assert.NilError(t, err)
		verdict := h.append(raw)
		assert.Equal(t, verdict.Kind, tc.kind, "%s: %s", name, verdict.Detail)
		assert.Assert(t, bytes.Contains([]byte(verdict.Detail), []byte(tc.detail)), "%s: %s", name, verdict.Detail)
		assert.Equal(t, h.state.Version(), uint64(1))
	}
	stale := h.add("op", &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: &v1.ChangeSet{}}})
	assert.Equal(t, stale.Kind, fault.VersionConflict)

	h.add("gw", &v1.Record{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: []*v1.Units{{Team: "team-000", Units: 50}}}}})
	lower := *h.state.Document()
	lower.Teams = append([]structs.Team(nil), lower.Teams...)
	lower.Teams[0].UpperLimit = 49
	assert.Equal(t, h.publish(&lower).Kind, fault.LimitBelowAllotted)
}

// Guards against a truncated record that is folded as a shorter one, and against a newer format
// that is reported as damage.
func TestDamagedRecords(t *testing.T) {
	h := newLogBuilder(t, fleetdoc.New(smallFleet))
	h.add("gw", &v1.Record{Payload: &v1.Record_Leave{Leave: &v1.Leave{}}})
	before := encodeCanonical(t, h.state)
	for _, raw := range h.records {
		for size := range raw {
			_, err := h.state.Apply(h.state.Offset()+1, raw[:size])
			assert.Equal(t, fault.KindOf(err), fault.RecordCorrupt, "%d of %d bytes", size, len(raw))
		}
	}
	for _, newer := range [][]byte{{0x08, Schema + 1}, {0x08, Schema + 1, 0xff, 0xff}} {
		_, err := h.state.Apply(h.state.Offset()+1, newer)
		assert.Equal(t, fault.KindOf(err), fault.SchemaUnsupported)
	}
	_, err := h.state.Apply(h.state.Offset()+2, h.records[0])
	assert.Equal(t, fault.KindOf(err), fault.LogGap)
	assert.Equal(t, encodeCanonical(t, h.state), before)
}

// Guards against a snapshot that is put together from parts of two, in a wrong order, or damaged.
func TestSnapshotChunks(t *testing.T) {
	h := newLogBuilder(t, fleetdoc.New(fleetdoc.Design))
	data, err := h.state.EncodeSnapshot()
	assert.NilError(t, err)
	chunks := SplitSnapshot(data, "op", "1", h.state.Offset(), h.state.Hash())
	assert.Assert(t, len(chunks) > 2, "%d chunks", len(chunks))
	other := SplitSnapshot(data, "op", "2", h.state.Offset(), h.state.Hash())
	var assembler ChunkAssembler
	var whole []*v1.SnapshotChunk
	for i := len(chunks) - 1; i >= 0; i-- {
		assert.Assert(t, proto.Size(chunks[i]) <= MaxChunkBytes)
		_, done := assembler.Add(other[len(other)-1])
		assert.Assert(t, !done)
		whole, _ = assembler.Add(chunks[i])
	}
	state, damaged := AssembleSnapshot(whole)
	assert.Assert(t, damaged == nil)
	assert.Equal(t, encodeCanonical(t, state), encodeCanonical(t, h.state))
	for _, at := range []int{0, 60, len(chunks[0].Data) / 2} {
		chunks[0].Data[at] ^= 1
		_, damaged = AssembleSnapshot(whole)
		assert.Assert(t, damaged != nil, "byte %d", at)
		chunks[0].Data[at] ^= 1
	}
	whole[0].Offset++
	_, damaged = AssembleSnapshot(whole)
	assert.Equal(t, damaged.Kind, fault.RecordCorrupt)
}
