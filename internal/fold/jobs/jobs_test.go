package jobs

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/structs"
)

// fleet is a fake in which the hosts w0 to w5 serve unless they are listed.
type fleet struct{ gone map[string]bool }

func (f *fleet) Serving(host, _ string) bool { return !f.gone[host] }
func (f *fleet) Capacities(string) []structs.Resources {
	return []structs.Resources{{CPUMilli: 4000, MemoryMiB: 1000}, {CPUMilli: 1000, MemoryMiB: 4000}}
}

// limits is a fake of the escrow with 10 units for each team.
type limits map[string]uint64

func (l limits) ReserveJobUnits(team string, units uint64) *fault.Error {
	if l[team]+units > 10 {
		return fault.New(fault.TeamLimit, "no units")
	}
	l[team] += units
	return nil
}
func (l limits) ReleaseJobUnits(team string, units uint64) { l[team] -= units }

var testDocument = &structs.Document{
	Pools: []structs.Pool{{Name: "tallies"}, {Name: "open", OpenTeam: "b"}},
	Teams: []structs.Team{{Name: "a", Share: 1, UpperLimit: 10}, {Name: "b", Share: 1, UpperLimit: 10}},
	Keys:  []structs.Key{{ID: "ka", Team: "a"}, {ID: "kb", Team: "b"}},
}

// naiveJob keeps the whole history of a job and derives its state from it.
type naiveJob struct {
	submit *v1.JobSubmit
	events []naiveEvent
}

type naiveEvent struct {
	name    string
	worker  string
	outcome v1.JobOutcome
}

func (n *naiveJob) phase() (phase string, attempt uint32) {
	phase, attempt = "waiting", 1
	failed := map[string]bool{}
	cancel := false
	worker := ""
	for _, event := range n.events {
		switch {
		case event.name == "start":
			phase, worker = "running", event.worker
		case event.name == "cancel" && phase == "waiting":
			return "ended", attempt
		case event.name == "cancel":
			cancel = true
		case event.outcome == v1.JobOutcome_JOB_OUTCOME_SUCCEEDED || event.outcome == v1.JobOutcome_JOB_OUTCOME_FAILED || cancel:
			return "ended", attempt
		default:
			phase = "waiting"
			attempt++
			if event.outcome == v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED {
				failed[worker] = true
			}
		}
	}
	return phase, attempt
}

func submitOf(id, team string) *v1.JobSubmit {
	return &v1.JobSubmit{
		Job: id, Team: team, KeyId: "k" + team, Pool: "tallies", Units: 4, Class: v1.JobClass_JOB_CLASS_BATCH,
		Resources: &v1.Resources{CpuMilli: 500, MemoryMib: 500},
	}
}

// Guards against jobs that start twice for one attempt, after their end or without units, and
// against units that are reserved or released twice; also across snapshots.
func TestReducerAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, units, hosts := New(), limits{}, &fleet{gone: map[string]bool{}}
		model := map[string]*naiveJob{}
		records := rapid.Int64Range(1, 300).Draw(t, "records")
		for offset := int64(1); offset <= records; offset++ {
			env := structs.Envelope{Offset: offset}
			id := fmt.Sprintf("job-%d", rapid.IntRange(0, 4).Draw(t, "job"))
			worker := fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "worker"))
			attempt := rapid.Uint32Range(1, 3).Draw(t, "attempt")
			job := model[id]
			phase, current := "unknown", uint32(0)
			if job != nil {
				phase, current = job.phase()
			}
			switch rapid.IntRange(0, 5).Draw(t, "record") {
			case 0:
				p := submitOf(id, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"))
				accepted := state.Submit(env, p, testDocument, hosts) == nil
				assert.Equal(t, accepted, phase == "unknown", id)
				if accepted {
					model[id] = &naiveJob{submit: p}
				}
			case 1, 2:
				hosts.gone["w2"] = rapid.Bool().Draw(t, "gone")
				want := phase == "waiting" && attempt == current && !hosts.gone[worker] && units[job.submit.GetTeam()] <= 6
				accepted := state.Start(env, &v1.JobStart{Job: id, Attempt: attempt, Worker: worker}, hosts, units) == nil
				assert.Equal(t, accepted, want, id)
				if accepted {
					job.events = append(job.events, naiveEvent{name: "start", worker: worker})
				}
			case 3, 4:
				outcome := v1.JobOutcome(rapid.SampledFrom([]int32{0, 1, 2, 4, 4, 3}).Draw(t, "outcome"))
				want := phase == "running" && attempt == current && outcome != 0
				accepted := state.End(env, &v1.JobEnd{Job: id, Attempt: attempt, Outcome: outcome}, units) == nil
				assert.Equal(t, accepted, want, id)
				if accepted {
					job.events = append(job.events, naiveEvent{name: "end", outcome: outcome})
				}
				if live, ok := state.Job(id); ok && accepted {
					assert.Assert(t, len(live.FailedWorkers) < MaxFailedWorkers)
				}
			case 5:
				key := rapid.SampledFrom([]string{"ka", "kb", ""}).Draw(t, "key")
				want := (phase == "waiting" || phase == "running") && key == job.submit.GetKeyId()
				accepted := state.Cancel(env, &v1.JobCancel{Job: id, KeyId: key}, testDocument) == nil
				assert.Equal(t, accepted, want, id)
				if accepted {
					job.events = append(job.events, naiveEvent{name: "cancel"})
				}
			}
			checkUnits(t, state, units, model)
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				state = decoded(t, state)
			}
		}
	})
}

// checkUnits compares the reserved units with those of the model's running jobs. A job that failed
// on all three workers ends in the reducer only, so it is taken out of the model.
func checkUnits(t *rapid.T, state *State, units limits, model map[string]*naiveJob) {
	want := limits{}
	for id, job := range model {
		phase, _ := job.phase()
		ended, found := state.FindEnded(id)
		if found && phase != "ended" {
			assert.Equal(t, ended.Result, ResultFailed)
			assert.Equal(t, phase, "waiting")
			job.events = append(job.events, naiveEvent{name: "cancel"})
		}
		if phase == "ended" {
			assert.Assert(t, found, "%s has ended", id)
		}
		if phase == "running" {
			want[job.submit.GetTeam()] += job.submit.GetUnits()
		}
	}
	assert.Equal(t, units["a"], want["a"])
	assert.Equal(t, units["b"], want["b"])
}

func decoded(t *rapid.T, state *State) *State {
	data, err := json.Marshal(state)
	assert.NilError(t, err)
	next := New()
	assert.NilError(t, json.Unmarshal(data, next))
	again, err := json.Marshal(next)
	assert.NilError(t, err)
	assert.Equal(t, string(data), string(again))
	return next
}

// Guards against a job that blames good workers, and against workers that end good jobs.
func TestFailuresOnSeveralWorkers(t *testing.T) {
	state, units, hosts := New(), limits{}, &fleet{}
	offset := int64(0)
	fail := func(id, worker string) {
		offset++
		if _, live := state.Job(id); !live {
			assert.Assert(t, state.Submit(structs.Envelope{Offset: offset}, submitOf(id, "a"), testDocument, hosts) == nil)
		}
		job, _ := state.Job(id)
		assert.Assert(t, state.Start(structs.Envelope{Offset: offset}, &v1.JobStart{Job: id, Attempt: job.Attempt, Worker: worker}, hosts, units) == nil)
		assert.Assert(t, state.End(structs.Envelope{Offset: offset}, &v1.JobEnd{Job: id, Attempt: job.Attempt, Outcome: v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED}, units) == nil)
	}
	for _, worker := range []string{"w0", "w0", "w1", "w2"} {
		fail("bad", worker)
	}
	ended, found := state.FindEnded("bad")
	assert.Assert(t, found)
	assert.Equal(t, ended.Result, ResultFailed)
	assert.Assert(t, !state.Unhealthy("w0"))

	for _, id := range []string{"x", "y", "z"} {
		fail(id, "w0")
	}
	assert.Assert(t, state.Unhealthy("w0"))
	fail("good", "w0")
	fail("good", "w1")
	fail("good", "w3")
	_, live := state.Job("good")
	assert.Assert(t, live, "w0 is unhealthy, so only two failures count")
}

// Guards against memory that grows with ended jobs, and against a wave of cancellations of one
// team that makes another team's late duplicate start again.
func TestEndedMemoryIsBounded(t *testing.T) {
	state, hosts := New(), &fleet{}
	offset := int64(0)
	end := func(id, team string) {
		offset++
		assert.Assert(t, state.Submit(structs.Envelope{Offset: offset}, submitOf(id, team), testDocument, hosts) == nil)
		assert.Assert(t, state.Cancel(structs.Envelope{Offset: offset}, &v1.JobCancel{Job: id, KeyId: "k" + team}, testDocument) == nil)
	}
	end("tally", "b")
	for i := range MaxEnded + 10 {
		end(fmt.Sprintf("wave-%d", i), "a")
	}
	assert.Equal(t, len(state.index), MaxEnded)
	err := state.Submit(structs.Envelope{Offset: offset + 1}, submitOf("tally", "b"), testDocument, hosts)
	assert.Equal(t, err.Kind, fault.JobConflict)
	changed, complete := state.ChangedSince(offset - 1)
	assert.Assert(t, complete)
	assert.Equal(t, len(changed), 2)
}

// Guards against jobs that are accepted though they can never run.
func TestUnplaceable(t *testing.T) {
	p := submitOf("large", "a")
	p.Resources = &v1.Resources{CpuMilli: 2000, MemoryMib: 2000}
	err := New().Submit(structs.Envelope{Offset: 1}, p, testDocument, &fleet{})
	assert.Equal(t, err.Kind, fault.JobUnplaceable)
}
