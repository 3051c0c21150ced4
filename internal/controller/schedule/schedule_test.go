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
	// maxUrgentDelay is the time within which an urgent job must start.
	maxUrgentDelay = 4100 * time.Millisecond
)

// running reports whether an attempt of the job runs on a worker.
func (f *testFleet) running(job string) bool {
	_, _, running := f.workers.Running(job)
	return running
}

// fillWithJobs submits jobs that don't end by themselves, one in eight for team b and the others for team a,
// and waits until they occupy at least three quarters of the workers.
func (f *testFleet) fillWithJobs(t *testing.T, workers int, behaviour workersvc.Behaviour) {
	for i := range 8 * workers {
		team := "a"
		if i%8 == 0 {
			team = "b"
		}
		f.submit(t, fmt.Sprintf("fill-%d", i), team, standard, 1000, behaviour)
	}
	time.Sleep(2 * time.Minute)
	f.update(func() { assert.Assert(t, f.reserved["a"]+f.reserved["b"] >= uint64(6*workers)) })
}

// Guards against urgent jobs that wait longer than 4.1 s in a full fleet when workers of victims, controllers
// or log answers fail, and against preemption of a team that isn't above its share.
func TestUrgentStartsInTime(t *testing.T) {
	cases := map[string]struct {
		faults workersvc.Faults
		// workerSilent makes the first worker stop answering calls 300 ms after the submission of the
		// urgent job, when the preemption has begun.
		workerSilent   bool
		controllerLost bool
		loseLogAnswers bool
		// cpuOnly makes the CPU the only scarce resource.
		cpuOnly         bool
		victimBehaviour workersvc.Behaviour
	}{
		"checkpoint works":             {victimBehaviour: workersvc.Behaviour{CheckpointTime: seconds(0.3)}},
		"checkpoint ignored":           {faults: workersvc.Faults{IgnoreCheckpoint: true}},
		"checkpoint, throttle ignored": {faults: workersvc.Faults{IgnoreCheckpoint: true, IgnoreThrottle: true}},
		"answers lost":                 {faults: workersvc.Faults{LoseResponses: true}},
		"answers slow":                 {faults: workersvc.Faults{ResponseDelay: 300 * time.Millisecond, IgnoreCheckpoint: true}},
		"worker silent":                {faults: workersvc.Faults{IgnoreCheckpoint: true}, workerSilent: true},
		"first controller lost":        {faults: workersvc.Faults{IgnoreCheckpoint: true}, controllerLost: true},
		"throttling is enough":         {cpuOnly: true, faults: workersvc.Faults{IgnoreCheckpoint: true}},
		"only throttling ignored":      {cpuOnly: true, faults: workersvc.Faults{IgnoreThrottle: true}},
		"controller and worker lost":   {faults: workersvc.Faults{IgnoreCheckpoint: true}, controllerLost: true, workerSilent: true, loseLogAnswers: true},
		"log answers lost":             {faults: workersvc.Faults{IgnoreCheckpoint: true}, loseLogAnswers: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T) {
				f := newFleet(t, 4)
				f.memoryDivisor = 1
				if c.cpuOnly {
					f.memoryDivisor = 100
				}
				stop := f.startController(0)
				f.startController(1)
				f.fillWithJobs(t, 4, c.victimBehaviour)
				for _, h := range f.hosts {
					f.workers.SetFaults(h.Name, c.faults)
				}
				if c.controllerLost {
					stop()
				}
				if c.loseLogAnswers {
					f.update(func() { f.loseAnswer = func() bool { return true } })
				}
				f.submit(t, "urgent", "c", urgent, 1000, workersvc.Behaviour{RunFor: seconds(20)})
				if c.workerSilent {
					time.Sleep(300 * time.Millisecond)
					for _, h := range f.hosts[:1] {
						f.workers.SetFaults(h.Name, workersvc.Faults{Unreachable: true})
					}
				}
				took := waitUntil(t, maxUrgentDelay, func() bool { return f.running("urgent") })
				t.Logf("%s: urgent job started after %s", name, took)
				f.update(func() {
					preempted := 0
					for id, job := range f.jobs.Live {
						if job.Preemptions > 0 {
							preempted++
							assert.Equal(t, job.Team, "a", id)
						}
					}
					assert.Assert(t, preempted <= 1 || c.workerSilent, "%d jobs were preempted, want at most 1", preempted)
					if name == "throttling is enough" {
						assert.Equal(t, preempted, 0)
					}
				})
				if !c.workerSilent && !c.faults.LoseResponses {
					time.Sleep(time.Minute)
					f.checkUnthrottled(t)
				}
			})
		})
	}
}

// checkUnthrottled checks that no running job of one core is still throttled.
func (f *testFleet) checkUnthrottled(t *testing.T) {
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

// Guards against jobs that are lost or completed twice when controllers are lost at any step, while answers
// of the log and of a worker are lost at random.
func TestControllerLostAtEachStep(t *testing.T) {
	for killAfter := 0; killAfter < 6000; killAfter += 150 {
		withFakeClock(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(killAfter), 1))
			f := newFleet(t, 3)
			f.loseAnswer = func() bool { return random.IntN(5) == 0 }
			f.workers.SetFaults("w01", workersvc.Faults{LoseResponses: true})
			for i := range 40 {
				f.submit(t, fmt.Sprintf("job-%d", i), "a", standard, 1000, workersvc.Behaviour{RunFor: seconds(1 + float64(i%4))})
			}
			stops := []func(){f.startController(0), f.startController(1)}
			time.Sleep(time.Duration(killAfter) * time.Millisecond)
			stops[0]()
			if killAfter%600 == 0 {
				// Both controllers are lost, and leases lapse before another one takes over.
				stops[1]()
				time.Sleep(30 * time.Second)
			}
			f.startController(0)
			waitUntil(t, 5*time.Minute, func() bool { return f.liveJobCount() == 0 })
			f.mu.Lock()
			defer f.mu.Unlock()
			for i := range 40 {
				id := fmt.Sprintf("job-%d", i)
				ended, found := f.jobs.FindEnded(id)
				assert.Assert(t, found && ended.Result == jobs.ResultSucceeded, "controller lost after %d ms: job %s ended with %+v", killAfter, id, ended)
				attempts := f.workers.Starts(id)
				assert.Assert(t, slices.IsSorted(attempts) && len(slices.Compact(attempts)) == len(f.workers.Starts(id)), "job %s: attempts %v aren't started once each, in order", id, attempts)
				assert.Equal(t, f.workers.Completions(id), 1, id)
			}
			assert.Equal(t, f.reserved["a"], uint64(0))
		})
	}
}

// Guards against a faulty worker that fails many jobs of the queue one after the other, and against a
// quarantine of good workers because of a job that fails everywhere.
func TestWorkerThatFailsEverything(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 6)
		f.workers.SetFaults("w00", workersvc.Faults{FailStarts: true})
		f.startController(0)
		for i := range 200 {
			f.submit(t, fmt.Sprintf("job-%d", i), "a", standard, 1000, workersvc.Behaviour{RunFor: seconds(4)})
		}
		for i := range 5 {
			f.submit(t, fmt.Sprintf("bad-%d", i), "b", standard, 1000, workersvc.Behaviour{FailStart: true})
		}
		took := waitUntil(t, 2*time.Minute, func() bool { return f.liveJobCount() == 0 })
		f.mu.Lock()
		defer f.mu.Unlock()
		failedAttempts := 0
		for i := range 200 {
			id := fmt.Sprintf("job-%d", i)
			ended, _ := f.jobs.FindEnded(id)
			assert.Equal(t, ended.Result, jobs.ResultSucceeded, id)
			failedAttempts += len(f.workers.Starts(id)) - 1
		}
		for i := range 5 {
			ended, _ := f.jobs.FindEnded(fmt.Sprintf("bad-%d", i))
			assert.Equal(t, ended.Result, jobs.ResultFailed)
		}
		t.Logf("200 jobs took %s, %d attempts failed", took, failedAttempts)
		// The bound of 24 allows for three failures before the quarantine, the jobs started together
		// with the first of them, and the retries after the quarantine.
		assert.Assert(t, failedAttempts <= 24, "%d attempts failed, want at most 24", failedAttempts)
	})
}

// Guards against an unanswered start that holds up its job until a lease would have lapsed, and against an
// attempt that still starts after it was given up.
func TestStartWithoutAnswerIsFenced(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.workers.SetFaults("w00", workersvc.Faults{Unreachable: true})
		f.startController(0)
		f.submit(t, "job", "a", standard, 1000, workersvc.Behaviour{})
		time.Sleep(DefaultSettings().StartTimeout + 500*time.Millisecond)
		f.workers.SetFaults("w00", workersvc.Faults{})
		waitUntil(t, 3*time.Second, func() bool { return f.running("job") })
		worker, attempt, _ := f.workers.Running("job")
		assert.Equal(t, worker, "w01")
		assert.Equal(t, attempt, uint32(2))
		_, err := f.workers.Start(t.Context(), &v1.StartTaskRequest{Worker: "w00", Job: "job", Attempt: 1})
		assert.Equal(t, connect.CodeOf(err), connect.CodeAborted)
	})
}

// Guards against many cancellations that delay an urgent job, and against cancelled jobs that keep running.
func TestMassCancellation(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.startController(0)
		f.startController(1)
		for i := range 10_000 {
			f.submit(t, fmt.Sprintf("wave-%d", i), "a", batch, 1000, workersvc.Behaviour{})
		}
		time.Sleep(30 * time.Second)
		f.update(func() {
			for i := range 10_000 {
				err := f.apply(&v1.Record{Payload: &v1.Record_JobCancel{JobCancel: &v1.JobCancel{Job: fmt.Sprintf("wave-%d", i), KeyId: "ka"}}})
				assert.Assert(t, err == nil)
			}
		})
		f.submit(t, "urgent", "c", urgent, 1000, workersvc.Behaviour{})
		waitUntil(t, maxUrgentDelay, func() bool { return f.running("urgent") })
		waitUntil(t, time.Minute, func() bool { return f.liveJobCount() == 1 })
		for i := range 10_000 {
			assert.Assert(t, !f.running(fmt.Sprintf("wave-%d", i)))
		}
	})
}

// Guards against tasks that keep a host with a maintenance grant from draining, against loss of their
// progress, and against ends that are never proposed because the log was down.
func TestGrantedHostIsVacated(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.startController(0)
		f.submit(t, "job", "a", batch, 1000, workersvc.Behaviour{CheckpointTime: seconds(3), RunFor: seconds(60)})
		waitUntil(t, time.Second, func() bool { return f.running("job") })
		time.Sleep(30 * time.Second)
		firstWorker, _, _ := f.workers.Running("job")
		f.update(func() {
			f.offset++
			for i := range f.hosts {
				if f.hosts[i].Name == firstWorker {
					f.hosts[i].Phase = inventory.PhaseGranted
				}
			}
		})
		waitUntil(t, 10*time.Second, func() bool {
			worker, _, running := f.workers.Running("job")
			return running && worker != firstWorker
		})
		// The log is down when the job ends: the end is proposed again until it is accepted.
		f.update(func() { f.logDown = true })
		time.Sleep(40 * time.Second)
		assert.Assert(t, !f.running("job"))
		f.update(func() { f.logDown = false })
		waitUntil(t, 5*time.Second, func() bool { return f.liveJobCount() == 0 })
	})
}

// Guards against jobs that are acknowledged before they are in the log, against a second job from a repeated
// submission, and against submissions with the key of another team.
func TestSubmit(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 1)
		s := &Submitter{Proposer: f.fakeFold, Lookup: f.fakeFold}
		submission := Submission{Pool: "counts", Team: "a", KeyID: "ka", IdempotencyKey: "tally-7", Body: []byte(`{"class":"batch","resources":{"cpuMilli":500,"memoryMiB":1}}`)}
		f.logDown = true
		_, err := s.Submit(t.Context(), submission)
		assert.Equal(t, err.Kind, fault.LogUnavailable)
		f.logDown = false
		f.loseAnswer = func() bool { return true }
		_, err = s.Submit(t.Context(), submission)
		assert.Equal(t, err.Kind, fault.AppendUnsettled)
		f.loseAnswer = nil
		answer, err := s.Submit(t.Context(), submission)
		assert.Assert(t, err == nil)
		assert.Equal(t, answer, SubmitResult{Job: "a/tally-7", Repeated: true})
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
		assert.Equal(t, f.liveJobCount(), 1)
	})
}
