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

// MaxSubmissionBytes bounds the body of a submission, which has the spec in base64 and a few small fields.
const MaxSubmissionBytes = 2 * jobs.MaxSpecBytes

// Submission is a request to POST /v1/pools/{pool}/jobs whose API key has been checked.
type Submission struct {
	Pool string
	// Team is the team of the API key, or the open team of the pool if the request has no key.
	Team  string
	KeyID string
	// IdempotencyKey identifies the job within the team. Without one, each submission is a new job.
	IdempotencyKey string
	Body           []byte
}

// submissionBody is the JSON body of a submission.
type submissionBody struct {
	Units     uint64            `json:"units"`
	Class     string            `json:"class"`
	Resources structs.Resources `json:"resources"`
	Spec      []byte            `json:"spec"`
}

// classes maps the class names in the JSON body to job classes.
var classes = map[string]v1.JobClass{
	"batch":    v1.JobClass_JOB_CLASS_BATCH,
	"standard": v1.JobClass_JOB_CLASS_STANDARD,
	"urgent":   v1.JobClass_JOB_CLASS_URGENT,
}

// SubmitResult is the JSON body of the response to an accepted submission.
type SubmitResult struct {
	Job string `json:"job"`
	// Repeated is set if the same submission had already been accepted.
	Repeated bool `json:"repeated,omitempty"`
}

// LookupResult tells whether a job id is known and from which submission. It is sent as JSON under the names
// of its fields.
type LookupResult struct {
	Found bool
	// Digest is the digest of the accepted submission.
	Digest string
}

// Lookup finds a live or ended job. A job that it doesn't find may still exist, since its state may be older.
type Lookup interface {
	LookupJob(ctx context.Context, job string) (LookupResult, error)
}

// FindJob looks up a live or ended job.
func FindJob(state *jobs.State, id string) LookupResult {
	if job, live := state.Job(id); live {
		return LookupResult{Found: true, Digest: job.Digest}
	}
	if ended, found := state.FindEnded(id); found {
		return LookupResult{Found: true, Digest: ended.Digest}
	}
	return LookupResult{}
}

// JobID returns the id of the team's job with the key. The id begins with the team, whose name has no slash,
// so that no team can use the id of another team's job.
func JobID(team, key string) string { return team + "/" + key }

// Submitter proposes submitted jobs for a gateway.
type Submitter struct {
	Proposer Proposer
	Lookup   Lookup
}

// Submit returns once the job is in the log and accepted by the fold. After an error whose outcome isn't
// NotRun, the job may have been accepted, and the caller repeats the submission with the same
// Idempotency-Key. The result contains the job id in that case too.
func (s *Submitter) Submit(ctx context.Context, submission Submission) (SubmitResult, *fault.Error) {
	record, err := parseSubmission(submission)
	if err != nil {
		return SubmitResult{}, err
	}
	result := SubmitResult{Job: record.GetJob()}
	proposeErr := s.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_JobSubmit{JobSubmit: record}})
	if proposeErr == nil {
		return result, nil
	}
	if fault.KindOf(proposeErr) == fault.JobConflict {
		return s.resolveConflict(ctx, result, record, proposeErr)
	}
	return result, asFault(proposeErr)
}

// resolveConflict handles a submission whose job id is in use. It succeeds if the job comes from the same
// submission, and returns the conflict if it comes from another one. While the job can't be found, the outcome is
// unknown: the conflict proves that the id is in use.
func (s *Submitter) resolveConflict(ctx context.Context, result SubmitResult, record *v1.JobSubmit, conflict error) (SubmitResult, *fault.Error) {
	known, err := s.Lookup.LookupJob(ctx, record.GetJob())
	if err != nil || !known.Found {
		return result, fault.Wrap(fault.AppendUnsettled, errors.Join(conflict, err), "job %s was accepted before; it isn't known from which submission", record.GetJob())
	}
	if known.Digest == jobs.Digest(record) {
		result.Repeated = true
		return result, nil
	}
	return result, asFault(conflict)
}

// asFault returns the *fault.Error in the chain of err, or wraps err in a new one.
func asFault(err error) *fault.Error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	return fault.Wrap(fault.KindOf(err), err, "job submission")
}

// parseSubmission parses and checks a submission. It rejects unknown fields.
func parseSubmission(submission Submission) (*v1.JobSubmit, *fault.Error) {
	if len(submission.Body) > MaxSubmissionBytes {
		return nil, fault.New(fault.RequestTooLarge, "%d bytes: want at most %d", len(submission.Body), MaxSubmissionBytes)
	}
	body := submissionBody{Units: 1, Class: "standard"}
	decoder := json.NewDecoder(bytes.NewReader(submission.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil || decoder.More() {
		return nil, fault.Wrap(fault.RequestInvalid, err, "want one JSON object with units, class, resources and spec")
	}
	class, known := classes[body.Class]
	if !known {
		return nil, fault.Invalid(fault.RequestInvalid, "class", "%q: want batch, standard or urgent", body.Class)
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
		Job: id, Team: submission.Team, KeyId: submission.KeyID, Pool: submission.Pool, Units: body.Units, Class: class, Spec: body.Spec,
		Resources: &v1.Resources{CpuMilli: body.Resources.CPUMilli, MemoryMib: body.Resources.MemoryMiB, Accelerators: body.Resources.Accelerators},
	}, nil
}
