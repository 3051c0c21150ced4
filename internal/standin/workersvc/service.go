// Package workersvc is a stand-in for the platform's WorkerService. It simulates tasks that run under
// leases, report their usage with a lag, and can be checkpointed, throttled and stopped, and it can
// simulate faults. A Service is a handler for connect and, in tests, a client.
package workersvc

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/structs"
)

// Service simulates the tasks of all workers. Nothing runs in the background: each call first advances
// its tasks to the present time.
type Service struct {
	now      func() time.Time
	settings Settings

	mu     sync.Mutex
	faults map[string]Faults
	// latestAttempts holds the newest attempt of each job, whether it was started or fenced.
	latestAttempts map[string]*task
	// tasksByWorker holds the tasks of each worker by job. Ended tasks remain until they are replaced or
	// ended longer ago than EndedRetention.
	tasksByWorker   map[string]map[string]*task
	startedAttempts map[string][]uint32
	// completed is the number of attempts of a job that ran to completion.
	completed map[string]int
}

var _ turmericyokev1connect.WorkerServiceHandler = (*Service)(nil)
var _ turmericyokev1connect.WorkerServiceClient = (*Service)(nil)

// Settings apply to all workers.
type Settings struct {
	// UsageLag is the time after its start for which a task reports no usage.
	UsageLag time.Duration
	// EndedRetention is how long ended tasks are reported.
	EndedRetention time.Duration
}

// DefaultSettings returns settings with a usage lag of 2 s that report ended tasks for ten minutes.
func DefaultSettings() Settings {
	return Settings{UsageLag: 2 * time.Second, EndedRetention: 10 * time.Minute}
}

// Faults are the simulated faults of a worker.
type Faults struct {
	// FailStarts makes all starts of tasks on the worker fail.
	FailStarts bool
	// Dead ends all tasks immediately; calls get no response.
	Dead bool
	// Unreachable leaves calls without a response, while tasks run until their leases expire.
	Unreachable bool
	// ResponseDelay delays responses; calls take effect immediately.
	ResponseDelay time.Duration
	// LoseResponses makes calls fail after they took effect.
	LoseResponses bool
	// IgnoreCheckpoint and IgnoreThrottle make the tasks of the worker ignore the action.
	IgnoreCheckpoint bool
	IgnoreThrottle   bool
}

// Behaviour is the simulated behaviour of a task, read from its spec as JSON. A task with an empty spec
// runs until it is stopped.
type Behaviour struct {
	// RunFor is the run time of the task without throttling; with 0 it runs until it is stopped.
	RunFor structs.Duration `json:"runFor,omitempty"`
	// UsageFactor is the usage as a fraction of the declared resources; 0 means 1.
	UsageFactor float64 `json:"usageFactor,omitempty"`
	// CheckpointTime is the duration of a checkpoint.
	CheckpointTime structs.Duration `json:"checkpointTime,omitempty"`
	// Fail makes the task end as failed, and FailStart makes its start fail on every worker.
	Fail      bool `json:"fail,omitempty"`
	FailStart bool `json:"failStart,omitempty"`
}

// Encode returns the behaviour as a spec.
func (b Behaviour) Encode() []byte {
	// Encoding can't fail, since all fields have plain types.
	data, _ := json.Marshal(b)
	return data
}

// New returns a service without tasks that reads the time from now.
func New(settings Settings, now func() time.Time) *Service {
	return &Service{
		now: now, settings: settings, faults: map[string]Faults{}, latestAttempts: map[string]*task{},
		tasksByWorker: map[string]map[string]*task{}, startedAttempts: map[string][]uint32{}, completed: map[string]int{},
	}
}

// SetFaults replaces the faults of a worker. With Dead set, its tasks end as preempted.
func (s *Service) SetFaults(worker string, faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[worker] = faults
	if !faults.Dead {
		return
	}
	for _, t := range s.tasksByWorker[worker] {
		t.advance(s.now())
		t.finish(s.now(), v1.JobOutcome_JOB_OUTCOME_PREEMPTED)
	}
}

// Starts returns the started attempts of a job in the order of their starts.
func (s *Service) Starts(job string) []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint32(nil), s.startedAttempts[job]...)
}

// Completions returns the number of attempts of a job that ran to completion.
func (s *Service) Completions(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tasks := range s.tasksByWorker {
		if t := tasks[job]; t != nil {
			t.advance(s.now())
		}
	}
	return s.completed[job]
}

// Running returns the worker and the number of the job's newest attempt, and whether that
// attempt is running.
func (s *Service) Running(job string) (worker string, attempt uint32, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.latestAttempts[job]
	if t == nil {
		return "", 0, false
	}
	t.advance(s.now())
	return t.worker, t.attempt, !t.ended
}

// Start implements WorkerService. If the worker fails the start, started is unset in the response. An
// attempt that was already started is rejected with AlreadyExists, and an attempt that was fenced or is
// older than the newest attempt with Aborted.
func (s *Service) Start(ctx context.Context, request *v1.StartTaskRequest) (*v1.StartTaskResponse, error) {
	var response *v1.StartTaskResponse
	err := s.callWorker(ctx, request.GetWorker(), func(faults Faults) error {
		var err error
		response, err = s.start(request, faults)
		return err
	})
	return response, err
}

func (s *Service) start(request *v1.StartTaskRequest, faults Faults) (*v1.StartTaskResponse, error) {
	previous := s.latestAttempts[request.GetJob()]
	if previous != nil && previous.attempt == request.GetAttempt() && !previous.fenced {
		return nil, connect.NewError(connect.CodeAlreadyExists, errAlreadyStarted)
	}
	if previous != nil && previous.attempt >= request.GetAttempt() {
		return nil, connect.NewError(connect.CodeAborted, errFenced)
	}
	t := newTask(request, s.now())
	t.onCompleted = func() { s.completed[t.job]++ }
	if previous != nil {
		previous.advance(s.now())
		previous.finish(s.now(), v1.JobOutcome_JOB_OUTCOME_PREEMPTED)
		t.progress = previous.savedProgress
		t.savedProgress = previous.savedProgress
	}
	s.addTask(t)
	s.startedAttempts[t.job] = append(s.startedAttempts[t.job], t.attempt)
	if faults.FailStarts || t.behaviour.FailStart {
		t.finish(s.now(), v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED)
		return &v1.StartTaskResponse{Detail: "the worker failed the start"}, nil
	}
	return &v1.StartTaskResponse{Started: true}, nil
}

func (s *Service) addTask(t *task) {
	s.latestAttempts[t.job] = t
	if s.tasksByWorker[t.worker] == nil {
		s.tasksByWorker[t.worker] = map[string]*task{}
	}
	s.tasksByWorker[t.worker][t.job] = t
}

// Control implements WorkerService. A stop is done when the attempt no longer runs and can no longer be
// started. A renewal of the lease ends throttling.
func (s *Service) Control(ctx context.Context, request *v1.ControlTaskRequest) (*v1.ControlTaskResponse, error) {
	response := &v1.ControlTaskResponse{}
	err := s.callWorker(ctx, request.GetWorker(), func(faults Faults) error {
		response.Done = s.control(request, faults)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

func (s *Service) control(request *v1.ControlTaskRequest, faults Faults) bool {
	now := s.now()
	t := s.latestAttempts[request.GetJob()]
	if t == nil || t.attempt < request.GetAttempt() {
		if request.GetAction() == v1.TaskAction_TASK_ACTION_STOP {
			s.fence(request, t)
			return true
		}
		return false
	}
	if t.attempt > request.GetAttempt() {
		return request.GetAction() == v1.TaskAction_TASK_ACTION_STOP
	}
	t.advance(now)
	return t.apply(request, faults, now)
}

// fence prevents the start of an attempt that hasn't been started.
func (s *Service) fence(request *v1.ControlTaskRequest, previous *task) {
	fenced := &task{worker: request.GetWorker(), job: request.GetJob(), attempt: request.GetAttempt(), fenced: true, ended: true}
	if previous != nil {
		fenced.savedProgress = previous.savedProgress
	}
	s.latestAttempts[fenced.job] = fenced
}

// Report implements WorkerService. It omits workers that are dead or unreachable.
func (s *Service) Report(_ context.Context, request *v1.ReportRequest) (*v1.ReportResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	response := &v1.ReportResponse{}
	for _, worker := range request.GetWorkers() {
		if s.faults[worker].Dead || s.faults[worker].Unreachable {
			continue
		}
		for job, t := range s.tasksByWorker[worker] {
			t.advance(now)
			if t.ended && now.Sub(t.endedAt) > s.settings.EndedRetention {
				delete(s.tasksByWorker[worker], job)
				continue
			}
			response.Tasks = append(response.Tasks, t.report(now, s.settings.UsageLag))
		}
	}
	return response, nil
}

// callWorker runs a call subject to the faults of the worker. If the worker is dead or unreachable,
// callWorker waits until ctx is done.
func (s *Service) callWorker(ctx context.Context, worker string, call func(Faults) error) error {
	s.mu.Lock()
	faults := s.faults[worker]
	if faults.Dead || faults.Unreachable {
		s.mu.Unlock()
		<-ctx.Done()
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	err := call(faults)
	s.mu.Unlock()
	if faults.ResponseDelay > 0 {
		select {
		case <-time.After(faults.ResponseDelay):
		case <-ctx.Done():
			return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
	if faults.LoseResponses {
		return connect.NewError(connect.CodeUnavailable, errResponseLost)
	}
	return err
}
