package fold

import (
	"fmt"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/structs"
)

var smallFleet = fleetdoc.Size{Hosts: 12, Teams: 3, Pools: 3, Zones: 3}

// logBuilder builds a log and folds each record when it is appended, so that a test can make proposals that
// are valid in the current state.
type logBuilder struct {
	tb      assert.TestingT
	state   *State
	records [][]byte
	seqs    map[string]uint64
}

// newLogBuilder returns a log in which a controller named op and a gateway named gw joined and the document
// was accepted.
func newLogBuilder(tb assert.TestingT, doc *structs.Document) *logBuilder {
	builder := &logBuilder{tb: tb, state: New(), seqs: map[string]uint64{}}
	builder.add("op", &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: "zone-00", Address: "10.9.0.1:1", Role: v1.Role_ROLE_CONTROLLER}}})
	builder.add("gw", &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: "zone-00", Address: "10.9.0.2:1", Role: v1.Role_ROLE_GATEWAY}}})
	verdict := builder.publish(doc)
	assert.Assert(tb, verdict.Accepted, verdict.Detail)
	return builder
}

// add appends the proposer's next proposal.
func (b *logBuilder) add(proposer string, record *v1.Record) Verdict {
	b.seqs[proposer]++
	record.Schema, record.Proposer, record.Incarnation, record.Seq = Schema, proposer, "1", b.seqs[proposer]
	raw, err := EncodeRecord(record)
	assert.NilError(b.tb, err)
	return b.append(raw)
}

// append appends and folds an encoded record.
func (b *logBuilder) append(raw []byte) Verdict {
	verdict, err := b.state.Apply(int64(len(b.records))+1, raw)
	assert.NilError(b.tb, err)
	b.records = append(b.records, raw)
	return verdict
}

// publish proposes the change set that turns the accepted document into next.
func (b *logBuilder) publish(next *structs.Document) Verdict {
	changeSet, err := document.NewChangeSet("set", "ada", "", b.state.Version(), b.state.Document(), next)
	assert.NilError(b.tb, err)
	return b.add("op", &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: changeSet}})
}

// foldAll folds the records of the log after the state's offset into the state.
func foldAll(tb assert.TestingT, state *State, log [][]byte) *State {
	for _, raw := range log[state.Offset():] {
		_, err := state.Apply(state.Offset()+1, raw)
		assert.NilError(tb, err)
	}
	return state
}

func encodeCanonical(tb assert.TestingT, state *State) string {
	data, err := state.EncodeCanonical()
	assert.NilError(tb, err)
	return string(data)
}

// mutateDocument returns a copy of the document with one random change, which may make it invalid.
func mutateDocument(t *rapid.T, doc structs.Document) *structs.Document {
	doc.Teams = append([]structs.Team(nil), doc.Teams...)
	doc.Hosts = append([]structs.Host(nil), doc.Hosts...)
	doc.Waves = append([]structs.Wave(nil), doc.Waves...)
	switch rapid.IntRange(0, 5).Draw(t, "mutation") {
	case 0:
		doc.Teams[rapid.IntRange(0, len(doc.Teams)-1).Draw(t, "team")].UpperLimit = rapid.Uint64Range(0, 40).Draw(t, "limit")
	case 1:
		doc.Teams[0].Share = rapid.IntRange(0, 5).Draw(t, "share")
	case 2:
		doc.Hosts = doc.Hosts[:len(doc.Hosts)-1]
	case 3:
		added := doc.Hosts[0]
		added.Name = fmt.Sprintf("added-%d", rapid.IntRange(0, 3).Draw(t, "host"))
		added.Address = fmt.Sprintf("10.8.0.%d:80", rapid.IntRange(1, 4).Draw(t, "address"))
		doc.Hosts = append(doc.Hosts, added)
	case 4:
		doc.Policy.FailureBuffer++
	default:
		doc.Waves = append(doc.Waves, structs.Wave{
			Name: fmt.Sprintf("wave-%d", rapid.IntRange(0, 2).Draw(t, "wave")), Pool: "pool-01", MaxParallel: 2,
			MaxPerRack: 1, CanaryCount: 1, PauseAfterFailures: 1, HostTimeout: 60e9,
		})
	}
	return &doc
}

// drawRecord draws a proposer and a proposal. Most of the names in the proposal exist.
func drawRecord(t *rapid.T) (string, *v1.Record) {
	host := fmt.Sprintf("host-%04d", rapid.IntRange(0, 12).Draw(t, "host"))
	epoch := rapid.Uint64Range(1, 3).Draw(t, "epoch")
	units := []*v1.Units{{Team: fmt.Sprintf("team-%03d", rapid.IntRange(0, 3).Draw(t, "team")), Units: rapid.Uint64Range(1, 30).Draw(t, "units")}}
	job := fmt.Sprintf("job-%d", rapid.IntRange(0, 4).Draw(t, "job"))
	pool := fmt.Sprintf("pool-%02d", rapid.IntRange(0, 2).Draw(t, "pool"))
	attempt := rapid.Uint32Range(0, 2).Draw(t, "attempt")
	records := []*v1.Record{
		{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: units}}},
		{Payload: &v1.Record_Return{Return: &v1.Return{Units: units}}},
		{Payload: &v1.Record_Surrender{Surrender: &v1.Surrender{Team: units[0].Team, Target: units[0].Units}}},
		{Payload: &v1.Record_Move{Move: &v1.Move{Host: host, HostEpoch: epoch, From: pool, To: "pool-00"}}},
		{Payload: &v1.Record_HostDown{HostDown: &v1.HostDown{Host: host, HostEpoch: epoch}}},
		{Payload: &v1.Record_HostBack{HostBack: &v1.HostBack{Host: host, HostEpoch: epoch}}},
		{Payload: &v1.Record_Grant{Grant: &v1.Grant{Wave: "wave-0", Host: host, HostEpoch: epoch}}},
		{Payload: &v1.Record_JobSubmit{JobSubmit: &v1.JobSubmit{
			Job: job, Team: "team-001", KeyId: "key-001", Pool: pool, Units: units[0].Units,
			Class: v1.JobClass_JOB_CLASS_BATCH, Resources: &v1.Resources{CpuMilli: 100, MemoryMib: 100},
		}}},
		{Payload: &v1.Record_JobStart{JobStart: &v1.JobStart{Job: job, Attempt: attempt, Worker: host}}},
		{Payload: &v1.Record_JobEnd{JobEnd: &v1.JobEnd{Job: job, Attempt: attempt, Outcome: v1.JobOutcome_JOB_OUTCOME_SUCCEEDED}}},
		{Payload: &v1.Record_JobCancel{JobCancel: &v1.JobCancel{Job: job, KeyId: "key-001"}}},
		{Payload: &v1.Record_WaveControl{WaveControl: &v1.WaveControl{Wave: "wave-0", Action: v1.WaveAction_WAVE_ACTION_PAUSE, Author: "ada"}}},
		{Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}}},
	}
	proposer := rapid.SampledFrom([]string{"gw", "op", "stranger"}).Draw(t, "proposer")
	return proposer, rapid.SampledFrom(records).Draw(t, "record")
}
