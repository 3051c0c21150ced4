package schedule

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/structs"
)

// MaxSubmissionBytes bounds the body of a submission: the spec in base64 with its other fields.
const MaxSubmissionBytes = 2 * jobs.MaxSpecBytes

// Submission is a request of POST /v1/pools/{pool}/jobs whose key was checked.
type Submission struct {
	Pool string
	// Team is that of the key, or the open team of the pool when there is no key.
	Team  string
	KeyID string
	// IdempotencyKey names the job within the team; without one, each submission is a new job.
	IdempotencyKey string
	Body           []byte
}

// body is the JSON of a submission.
type body struct {
	Units     uint64            `json:"units"`
	Class     string            `json:"class"`
	Resources structs.Resources `json:"resources"`
	Spec      []byte            `json:"spec"`
}

var classes = map[string]v1.JobClass{
	"batch":    v1.JobClass_JOB_CLASS_BATCH,
	"standard": v1.JobClass_JOB_CLASS_STANDARD,
	"urgent":   v1.JobClass_JOB_CLASS_URGENT,
}

// SubmitResult is the answer to an accepted submission.
type SubmitResult struct {
	Job string `json:"job"`
	// Repeated is set when the same submission was accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// LookupResult is what the fleet state has of a job id.
type LookupResult struct {
	Found bool
	// Digest is that of the accepted submission.
	Digest string
}

// Lookup finds a live or ended job in the newest state.
type Lookup interface {
	LookupJob(ctx context.Context, job string) (LookupResult, error)
}

// FindJob returns what the section knows of a job id.
func FindJob(state *jobs.State, id string) LookupResult {
	if job, live := state.Job(id); live {
		return LookupResult{Found: true, Digest: job.Digest}
	}
	if ended, found := state.FindEnded(id); found {
		return LookupResult{Found: true, Digest: ended.Digest}
	}
	return LookupResult{}
}

// JobID returns the id of a team's job. The team is part of it, so that no team can take an id of
// another; a team's name has no slash.
func JobID(team, key string) string { return team + "/" + key }

// Submitter accepts submissions for a gateway.
type Submitter struct {
	Proposer Proposer
	Lookup   Lookup
}

// Submit answers only once the job is in the log and accepted by the fold. After an error whose
// answer isn't NotRun, the caller repeats the submission with the same Idempotency-Key; the answer
// names the job also then.
func (s *Submitter) Submit(ctx context.Context, submission Submission) (SubmitResult, *fault.Error) {
	record, err := parse(submission)
	if err != nil {
		return SubmitResult{}, err
	}
	answer := SubmitResult{Job: record.GetJob()}
	proposed := s.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_JobSubmit{JobSubmit: record}})
	if proposed == nil {
		return answer, nil
	}
	if fault.KindOf(proposed) == fault.JobConflict {
		return s.repeated(ctx, answer, record, proposed)
	}
	return answer, asFault(proposed)
}

// repeated answers a submission whose id is taken: by the same submission, or by another one.
func (s *Submitter) repeated(ctx context.Context, answer SubmitResult, record *v1.JobSubmit, conflict error) (SubmitResult, *fault.Error) {
	known, err := s.Lookup.LookupJob(ctx, record.GetJob())
	if err != nil {
		return answer, asFault(err)
	}
	if known.Found && known.Digest == jobs.Digest(record) {
		answer.Repeated = true
		return answer, nil
	}
	return answer, asFault(conflict)
}

func asFault(err error) *fault.Error {
	var known *fault.Error
	if errors.As(err, &known) {
		return known
	}
	return fault.Wrap(fault.KindOf(err), err, "job submission")
}

// parse reads a submission strictly.
func parse(submission Submission) (*v1.JobSubmit, *fault.Error) {
	if len(submission.Body) > MaxSubmissionBytes {
		return nil, fault.New(fault.RequestTooLarge, "%d bytes: want at most %d", len(submission.Body), MaxSubmissionBytes)
	}
	b := body{Units: 1, Class: "standard"}
	decoder := json.NewDecoder(bytes.NewReader(submission.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil || decoder.More() {
		return nil, fault.Wrap(fault.RequestInvalid, err, "want one JSON object with units, class, resources and spec")
	}
	class, known := classes[b.Class]
	if !known {
		return nil, fault.Invalid(fault.RequestInvalid, "class", "%q: want batch, standard or urgent", b.Class)
	}
	key := submission.IdempotencyKey
	if key == "" {
		key = rand.Text()
	}
	id := JobID(submission.Team, key)
	if len(id) > jobs.MaxIDBytes {
		return nil, fault.Invalid(fault.RequestInvalid, "Idempotency-Key", "%d bytes: want a job id of at most %d", len(key), jobs.MaxIDBytes)
	}
	return &v1.JobSubmit{
		Job: id, Team: submission.Team, KeyId: submission.KeyID, Pool: submission.Pool, Units: b.Units, Class: class, Spec: b.Spec,
		Resources: &v1.Resources{CpuMilli: b.Resources.CPUMilli, MemoryMib: b.Resources.MemoryMiB, Accelerators: b.Resources.Accelerators},
	}, nil
}
