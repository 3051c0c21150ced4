package schedule

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// conflictingLog rejects each submission because its job exists.
type conflictingLog struct{}

func (conflictingLog) Propose(context.Context, *v1.Record) error {
	return fault.New(fault.JobConflict, "the job was accepted before")
}

// fixedLookup returns the same result for each job.
type fixedLookup struct {
	result LookupResult
	err    error
}

func (l fixedLookup) LookupJob(context.Context, string) (LookupResult, error) { return l.result, l.err }

// Guards against a submitter who is told that its job hasn't run and never will, although the job was accepted from
// an earlier submission that can't be looked up at the moment.
func TestConflictWithoutLookupIsUnsettled(t *testing.T) {
	lookups := map[string]fixedLookup{
		"no controller answers": {err: fault.New(fault.NotReady, "no controller answered")},
		"the state is older":    {},
		"the lookup times out":  {err: context.DeadlineExceeded},
	}
	for name, lookup := range lookups {
		t.Run(name, func(t *testing.T) {
			s := &Submitter{Proposer: conflictingLog{}, Lookup: lookup}
			_, err := s.Submit(t.Context(), Submission{Pool: "counts", Team: "a", KeyID: "ka", IdempotencyKey: "tally-7", Body: []byte(`{}`)})
			assert.Equal(t, err.Kind, fault.AppendUnsettled)
			assert.Assert(t, !fault.ResponseFor(err.Kind).NotRun)
		})
	}
}
