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

// fakeHosts is a HostReader for which every host serves in every pool, unless it is in notServing.
type fakeHosts struct{ notServing map[string]bool }

func (f *fakeHosts) IsServing(host, _ string) bool { return !f.notServing[host] }
func (f *fakeHosts) Capacities(string) []structs.Resources {
	return []structs.Resources{{CPUMilli: 4000, MemoryMiB: 1000}, {CPUMilli: 1000, MemoryMiB: 4000}}
}

// fakeUnits stands in for the escrow. It holds the reserved units of each team, which has a limit of 10.
type fakeUnits map[string]uint64

func (u fakeUnits) ReserveJobUnits(team string, units uint64) *fault.Error {
	if u[team]+units > 10 {
		return fault.New(fault.TeamLimit, "the limit of 10 units is exceeded")
	}
	u[team] += units
	return nil
}
func (u fakeUnits) ReleaseJobUnits(team string, units uint64) { u[team] -= units }

var testDocument = &structs.Document{
	Pools: []structs.Pool{{Name: "tallies"}, {Name: "open", OpenTeam: "b"}},
	Teams: []structs.Team{{Name: "a", Share: 1, UpperLimit: 10}, {Name: "b", Share: 1, UpperLimit: 10}},
	Keys:  []structs.Key{{ID: "ka", Team: "a"}, {ID: "kb", Team: "b"}},
}

// modelJob is a job of the reference model. It keeps all accepted events and derives the state from them.
type modelJob struct {
	submit *v1.JobSubmit
	events []modelEvent
}

// modelEvent is an accepted start, end or cancel.
type modelEvent struct {
	name    string
	worker  string
	outcome v1.JobOutcome
}

// phase returns whether the job is waiting, running or ended, and its current attempt.
func (j *modelJob) phase() (phase string, attempt uint32) {
	phase, attempt = "waiting", 1
	failed := map[string]bool{}
	cancel := false
	worker := ""
	for _, event := range j.events {
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

// newSubmission returns a valid submission of 4 units in pool tallies.
func newSubmission(id, team string) *v1.JobSubmit {
	return &v1.JobSubmit{
		Job: id, Team: team, KeyId: "k" + team, Pool: "tallies", Units: 4, Class: v1.JobClass_JOB_CLASS_BATCH,
		Resources: &v1.Resources{CpuMilli: 500, MemoryMib: 500},
	}
}

// Applies drawn records to State and to a reference model. It guards against jobs that start twice for one
// attempt, after their end or without units, and against units that are reserved or released twice, also when
// the state is reloaded from a snapshot.
func TestStateMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, units, hosts := New(), fakeUnits{}, &fakeHosts{notServing: map[string]bool{}}
		model := map[string]*modelJob{}
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
				p := newSubmission(id, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"))
				accepted := state.Submit(env, p, testDocument, hosts) == nil
				assert.Equal(t, accepted, phase == "unknown", id)
				if accepted {
					model[id] = &modelJob{submit: p}
				}
			case 1, 2:
				hosts.notServing["w2"] = rapid.Bool().Draw(t, "w2NotServing")
				want := phase == "waiting" && attempt == current && !hosts.notServing[worker] && units[job.submit.GetTeam()] <= 6
				accepted := state.Start(env, &v1.JobStart{Job: id, Attempt: attempt, Worker: worker}, hosts, units) == nil
				assert.Equal(t, accepted, want, id)
				if accepted {
					job.events = append(job.events, modelEvent{name: "start", worker: worker})
				}
			case 3, 4:
				outcome := v1.JobOutcome(rapid.SampledFrom([]int32{0, 1, 2, 4, 4, 3}).Draw(t, "outcome"))
				want := phase == "running" && attempt == current && outcome != 0
				accepted := state.End(env, &v1.JobEnd{Job: id, Attempt: attempt, Outcome: outcome}, units) == nil
				assert.Equal(t, accepted, want, id)
				if accepted {
					job.events = append(job.events, modelEvent{name: "end", outcome: outcome})
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
					job.events = append(job.events, modelEvent{name: "cancel"})
				}
			}
			checkUnits(t, state, units, model)
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				state = reloadFromSnapshot(t, state)
			}
		}
	})
}

// checkUnits compares the reserved units with those of the model's running jobs. The model doesn't end jobs
// that failed on all three workers: when such a job has ended in the state, it is cancelled in the model.
func checkUnits(t *rapid.T, state *State, units fakeUnits, model map[string]*modelJob) {
	want := fakeUnits{}
	for id, job := range model {
		phase, _ := job.phase()
		ended, found := state.FindEnded(id)
		if found && phase != "ended" {
			assert.Equal(t, ended.Result, ResultFailed)
			assert.Equal(t, phase, "waiting")
			job.events = append(job.events, modelEvent{name: "cancel"})
		}
		if phase == "ended" {
			assert.Assert(t, found, "job %s has ended in the model: want it among the ended jobs", id)
		}
		if phase == "running" {
			want[job.submit.GetTeam()] += job.submit.GetUnits()
		}
	}
	assert.Equal(t, units["a"], want["a"])
	assert.Equal(t, units["b"], want["b"])
}

// reloadFromSnapshot returns the state decoded from a snapshot, and checks that encoding it again is identical.
func reloadFromSnapshot(t *rapid.T, state *State) *State {
	data, err := json.Marshal(state)
	assert.NilError(t, err)
	decoded := New()
	assert.NilError(t, json.Unmarshal(data, decoded))
	again, err := json.Marshal(decoded)
	assert.NilError(t, err)
	assert.Equal(t, string(data), string(again))
	return decoded
}

// Guards against a faulty job that makes healthy workers unhealthy, and against an unhealthy worker whose
// failures end good jobs.
func TestWorkerFailuresAreAttributed(t *testing.T) {
	state, units, hosts := New(), fakeUnits{}, &fakeHosts{}
	offset := int64(0)
	fail := func(id, worker string) {
		offset++
		if _, live := state.Job(id); !live {
			assert.Assert(t, state.Submit(structs.Envelope{Offset: offset}, newSubmission(id, "a"), testDocument, hosts) == nil)
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
	assert.Assert(t, !state.IsUnhealthy("w0"))

	for _, id := range []string{"x", "y", "z"} {
		fail(id, "w0")
	}
	assert.Assert(t, state.IsUnhealthy("w0"))
	fail("good", "w0")
	fail("good", "w1")
	fail("good", "w3")
	_, live := state.Job("good")
	assert.Assert(t, live, "job good has ended: w0 is unhealthy, so that only the failures on w1 and w3 should count")
}

// Guards against memory that grows with ended jobs, and against many cancellations by one team that evict the
// ended job of another team, so that a late duplicate of its submission would run again.
func TestEndedJobsAreBounded(t *testing.T) {
	state, hosts := New(), &fakeHosts{}
	offset := int64(0)
	end := func(id, team string) {
		offset++
		assert.Assert(t, state.Submit(structs.Envelope{Offset: offset}, newSubmission(id, team), testDocument, hosts) == nil)
		assert.Assert(t, state.Cancel(structs.Envelope{Offset: offset}, &v1.JobCancel{Job: id, KeyId: "k" + team}, testDocument) == nil)
	}
	end("tally", "b")
	for i := range MaxEnded + 10 {
		end(fmt.Sprintf("cancelled-%d", i), "a")
	}
	assert.Equal(t, len(state.endedByID), MaxEnded)
	err := state.Submit(structs.Envelope{Offset: offset + 1}, newSubmission("tally", "b"), testDocument, hosts)
	assert.Equal(t, err.Kind, fault.JobConflict)
	changed, complete := state.ChangedSince(offset - 1)
	assert.Assert(t, complete)
	assert.Equal(t, len(changed), 2)
}

// Guards against jobs that are accepted although no worker can ever run them: here each resource fits some
// worker, but no worker has both.
func TestSubmitRejectsUnplaceableJob(t *testing.T) {
	p := newSubmission("large", "a")
	p.Resources = &v1.Resources{CpuMilli: 2000, MemoryMib: 2000}
	err := New().Submit(structs.Envelope{Offset: 1}, p, testDocument, &fakeHosts{})
	assert.Equal(t, err.Kind, fault.JobUnplaceable)
}
