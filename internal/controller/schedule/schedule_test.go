package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/standin/workersvc"
)

const (
	batch    = v1.JobClass_JOB_CLASS_BATCH
	standard = v1.JobClass_JOB_CLASS_STANDARD
	urgent   = v1.JobClass_JOB_CLASS_URGENT
	// urgentBound is the time within which urgent work starts.
	urgentBound = 4100 * time.Millisecond
)

func (f *fleet) running(job string) bool {
	_, _, running := f.workers.Running(job)
	return running
}

// fill submits endless jobs of team a until the fleet is full, and some of team b.
func (f *fleet) fill(t *testing.T, workers int, behaviour workersvc.Behaviour) {
	for i := range 8 * workers {
		team := "a"
		if i%8 == 0 {
			team = "b"
		}
		f.submit(t, fmt.Sprintf("fill-%d", i), team, standard, 1000, behaviour)
	}
	time.Sleep(2 * time.Minute)
	f.set(func() { assert.Assert(t, f.reserved["a"]+f.reserved["b"] >= uint64(6*workers)) })
}

// Guards against urgent work that waits longer than 4.1 s in a full fleet, whatever the victims'
// workers or the controllers do, and against victims of a team that isn't the one above its share.
func TestUrgentStartsInTime(t *testing.T) {
	cases := map[string]struct {
		faults workersvc.Faults
		// silent makes the first worker with a victim leave calls unanswered once preemption began.
		silent  bool
		lost    bool
		loseLog bool
		// processor makes the processor the only scarce resource.
		processor bool
		victimOf  workersvc.Behaviour
	}{
		"checkpoint works":             {victimOf: workersvc.Behaviour{CheckpointTime: seconds(0.3)}},
		"checkpoint ignored":           {faults: workersvc.Faults{IgnoreCheckpoint: true}},
		"checkpoint, throttle ignored": {faults: workersvc.Faults{IgnoreCheckpoint: true, IgnoreThrottle: true}},
		"answers lost":                 {faults: workersvc.Faults{LoseResponses: true}},
		"answers slow":                 {faults: workersvc.Faults{ResponseDelay: 300 * time.Millisecond, IgnoreCheckpoint: true}},
		"worker silent":                {faults: workersvc.Faults{IgnoreCheckpoint: true}, silent: true},
		"first controller lost":        {faults: workersvc.Faults{IgnoreCheckpoint: true}, lost: true},
		"throttling is enough":         {processor: true, faults: workersvc.Faults{IgnoreCheckpoint: true}},
		"only throttling ignored":      {processor: true, faults: workersvc.Faults{IgnoreThrottle: true}},
		"controller and worker lost":   {faults: workersvc.Faults{IgnoreCheckpoint: true}, lost: true, silent: true, loseLog: true},
		"log answers lost":             {faults: workersvc.Faults{IgnoreCheckpoint: true}, loseLog: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFleet(t, 4)
				f.memory = 1
				if c.processor {
					f.memory = 100
				}
				stop := f.control(0)
				f.control(1)
				f.fill(t, 4, c.victimOf)
				for _, h := range f.hosts {
					f.workers.SetFaults(h.Name, c.faults)
				}
				if c.lost {
					stop()
				}
				if c.loseLog {
					f.set(func() { f.lose = func() bool { return true } })
				}
				f.submit(t, "urgent", "c", urgent, 1000, workersvc.Behaviour{RunFor: seconds(20)})
				if c.silent {
					time.Sleep(300 * time.Millisecond)
					for _, h := range f.hosts[:1] {
						f.workers.SetFaults(h.Name, workersvc.Faults{Unreachable: true})
					}
				}
				took := until(t, urgentBound, func() bool { return f.running("urgent") })
				t.Logf("%s: started after %s", name, took)
				f.set(func() {
					preempted := 0
					for id, job := range f.jobs.Live {
						if job.Preemptions > 0 {
							preempted++
							assert.Equal(t, job.Team, "a", id)
						}
					}
					assert.Assert(t, preempted <= 1 || c.silent, "%d victims", preempted)
					if name == "throttling is enough" {
						assert.Equal(t, preempted, 0)
					}
				})
				if !c.silent && !c.faults.LoseResponses {
					time.Sleep(time.Minute)
					f.checkUnthrottled(t)
				}
			})
		})
	}
}

// checkUnthrottled checks that no task is still throttled for a job that has ended.
func (f *fleet) checkUnthrottled(t *testing.T) {
	var names []string
	for _, h := range f.hosts {
		names = append(names, h.Name)
	}
	response, err := f.workers.Report(t.Context(), &v1.ReportRequest{Workers: names})
	assert.NilError(t, err)
	for _, report := range response.GetTasks() {
		if report.GetUsage() != nil {
			assert.Equal(t, report.GetUsage().GetCpuMilli(), uint64(1000), report.GetJob())
		}
	}
}

// Guards against jobs that are lost or run to their end twice when controllers are lost at any
// step, with answers of the log and of workers lost at random.
func TestControllerLostAtEachStep(t *testing.T) {
	for kill := 0; kill < 6000; kill += 150 {
		bubble(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(kill), 1))
			f := newFleet(t, 3)
			f.lose = func() bool { return random.IntN(5) == 0 }
			f.workers.SetFaults("w01", workersvc.Faults{LoseResponses: true})
			for i := range 40 {
				f.submit(t, fmt.Sprintf("job-%d", i), "a", standard, 1000, workersvc.Behaviour{RunFor: seconds(1 + float64(i%4))})
			}
			stops := []func(){f.control(0), f.control(1)}
			time.Sleep(time.Duration(kill) * time.Millisecond)
			stops[0]()
			if kill%600 == 0 {
				// Both are lost, and leases lapse before others take over.
				stops[1]()
				time.Sleep(30 * time.Second)
			}
			f.control(0)
			until(t, 5*time.Minute, func() bool { return f.live() == 0 })
			f.mu.Lock()
			defer f.mu.Unlock()
			for i := range 40 {
				id := fmt.Sprintf("job-%d", i)
				ended, found := f.jobs.FindEnded(id)
				assert.Assert(t, found && ended.Result == jobs.ResultSucceeded, "kill at %d ms: %s %+v", kill, id, ended)
				attempts := f.workers.Starts(id)
				assert.Assert(t, slices.IsSorted(attempts) && len(slices.Compact(attempts)) == len(f.workers.Starts(id)), "%s: %v", id, attempts)
				assert.Equal(t, f.workers.Completions(id), 1, id)
			}
			assert.Equal(t, f.reserved["a"], uint64(0))
		})
	}
}

// Guards against a worker that swallows the queue by failing all that it starts, and against a
// job that fails everywhere and thereby condemns good workers.
func TestWorkerThatFailsEverything(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 6)
		f.workers.SetFaults("w00", workersvc.Faults{FailStarts: true})
		f.control(0)
		for i := range 200 {
			f.submit(t, fmt.Sprintf("job-%d", i), "a", standard, 1000, workersvc.Behaviour{RunFor: seconds(4)})
		}
		for i := range 5 {
			f.submit(t, fmt.Sprintf("bad-%d", i), "b", standard, 1000, workersvc.Behaviour{FailStart: true})
		}
		took := until(t, 2*time.Minute, func() bool { return f.live() == 0 })
		f.mu.Lock()
		defer f.mu.Unlock()
		wasted := 0
		for i := range 200 {
			id := fmt.Sprintf("job-%d", i)
			ended, _ := f.jobs.FindEnded(id)
			assert.Equal(t, ended.Result, jobs.ResultSucceeded, id)
			wasted += len(f.workers.Starts(id)) - 1
		}
		for i := range 5 {
			ended, _ := f.jobs.FindEnded(fmt.Sprintf("bad-%d", i))
			assert.Equal(t, ended.Result, jobs.ResultFailed)
		}
		t.Logf("200 jobs took %s, %d starts failed on the bad worker", took, wasted)
		// Three jobs before the quarantine, those started with the first of them, and the retries.
		assert.Assert(t, wasted <= 24, "%d", wasted)
	})
}

// Guards against a start without an answer that holds its job until a lease would have lapsed, and
// against an attempt that starts after it was given up.
func TestStartWithoutAnswerIsFenced(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.workers.SetFaults("w00", workersvc.Faults{Unreachable: true})
		f.control(0)
		f.submit(t, "job", "a", standard, 1000, workersvc.Behaviour{})
		time.Sleep(DefaultSettings().StartTimeout + 500*time.Millisecond)
		f.workers.SetFaults("w00", workersvc.Faults{})
		until(t, 3*time.Second, func() bool { return f.running("job") })
		worker, attempt, _ := f.workers.Running("job")
		assert.Equal(t, worker, "w01")
		assert.Equal(t, attempt, uint32(2))
		_, err := f.workers.Start(t.Context(), &v1.StartTaskRequest{Worker: "w00", Job: "job", Attempt: 1})
		assert.Equal(t, connect.CodeOf(err), connect.CodeAborted)
	})
}

// Guards against cancellations that hold up urgent work, and against cancelled jobs that run on.
func TestCancelWave(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.control(0)
		f.control(1)
		for i := range 10_000 {
			f.submit(t, fmt.Sprintf("wave-%d", i), "a", batch, 1000, workersvc.Behaviour{})
		}
		time.Sleep(30 * time.Second)
		f.set(func() {
			for i := range 10_000 {
				err := f.apply(&v1.Record{Payload: &v1.Record_JobCancel{JobCancel: &v1.JobCancel{Job: fmt.Sprintf("wave-%d", i), KeyId: "ka"}}})
				assert.Assert(t, err == nil)
			}
		})
		f.submit(t, "urgent", "c", urgent, 1000, workersvc.Behaviour{})
		until(t, urgentBound, func() bool { return f.running("urgent") })
		until(t, time.Minute, func() bool { return f.live() == 1 })
		for i := range 10_000 {
			assert.Assert(t, !f.running(fmt.Sprintf("wave-%d", i)))
		}
	})
}

// Guards against tasks that keep a granted host from draining, progress that is lost there, and
// ends that are forgotten while the log is down.
func TestGrantedHostIsVacated(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.control(0)
		f.submit(t, "job", "a", batch, 1000, workersvc.Behaviour{CheckpointTime: seconds(3), RunFor: seconds(60)})
		until(t, time.Second, func() bool { return f.running("job") })
		time.Sleep(30 * time.Second)
		first, _, _ := f.workers.Running("job")
		f.set(func() {
			f.offset++
			for i := range f.hosts {
				if f.hosts[i].Name == first {
					f.hosts[i].Phase = inventory.PhaseGranted
				}
			}
		})
		until(t, 10*time.Second, func() bool {
			worker, _, running := f.workers.Running("job")
			return running && worker != first
		})
		// The log is down when the job ends: the end is proposed again until it is accepted.
		f.set(func() { f.down = true })
		time.Sleep(40 * time.Second)
		assert.Assert(t, !f.running("job"))
		f.set(func() { f.down = false })
		until(t, 5*time.Second, func() bool { return f.live() == 0 })
	})
}

// Guards against jobs that are acknowledged before they are in the log, that are doubled by a
// repeated submission, or taken over by another team's key.
func TestSubmit(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1)
		s := &Submitter{Proposer: f.fakeFold, Lookup: f.fakeFold}
		submission := Submission{Pool: "counts", Team: "a", KeyID: "ka", IdempotencyKey: "tally-7", Body: []byte(`{"class":"batch","resources":{"cpuMilli":500,"memoryMiB":1}}`)}
		f.down = true
		_, err := s.Submit(t.Context(), submission)
		assert.Equal(t, err.Kind, fault.LogUnavailable)
		f.down = false
		f.lose = func() bool { return true }
		_, err = s.Submit(t.Context(), submission)
		assert.Equal(t, err.Kind, fault.AppendUnsettled)
		f.lose = nil
		answer, err := s.Submit(t.Context(), submission)
		assert.Assert(t, err == nil)
		assert.Equal(t, answer, Accepted{Job: "a/tally-7", Repeated: true})
		submission.Body = []byte(`{"resources":{"cpuMilli":500,"memoryMiB":2}}`)
		_, err = s.Submit(t.Context(), submission)
		assert.Equal(t, err.Kind, fault.JobConflict)
		submission.KeyID = "kb"
		submission.IdempotencyKey = ""
		_, err = s.Submit(t.Context(), submission)
		assert.Equal(t, err.Kind, fault.KeyUnknown)
		submission.Body = []byte(`{"resources":{"cpuMilli":500},"uid":0}`)
		_, err = s.Submit(t.Context(), submission)
		assert.Equal(t, err.Kind, fault.RequestInvalid)
		assert.Equal(t, f.live(), 1)
	})
}
