package scheduler

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against the loss of a job whose definition this revision refuses: its records were deleted at the first takeover.
func TestRecordsOfAnUnusableDefinitionAreKept(t *testing.T) {
	definition, err := cbor.Marshal(&work.Job{ID: "job", Steps: []work.Step{{Count: 1, MaxPerHost: -1}}})
	assert.NilError(t, err)
	progress, err := cbor.Marshal(progressRecord{Begun: true})
	assert.NilError(t, err)
	tc := newTestCore(2)
	tc.Load([]infra.Record{{Key: definitionPrefix + "job", Value: definition}, {Key: progressPrefix + "job", Value: progress}})
	batch := tc.Collect()
	assert.Equal(t, len(batch.Records), 0)
}

// Guards against the loss of a job that is submitted under the ID of one whose leftover records are being deleted: the
// deletion followed the records of the new job.
func TestLeftoverRecordsAreDeletedBeforeNewOnes(t *testing.T) {
	progress, err := cbor.Marshal(progressRecord{Begun: true})
	assert.NilError(t, err)
	tc := newTestCore(2)
	tc.Load([]infra.Record{{Key: progressPrefix + "job", Value: progress}})
	tc.Submit(&work.Job{ID: "job", Queue: tc.config.Queues[0], Steps: []work.Step{needStep(1)}}, make(chan Outcome, 1))
	batch := tc.Collect()
	for _, prefix := range []string{definitionPrefix, progressPrefix} {
		records := slices.Clone(batch.Records)
		slices.Reverse(records)
		newest := slices.IndexFunc(records, func(r infra.Record) bool { return r.Key == prefix+"job" })
		assert.Assert(t, newest >= 0 && records[newest].Value != nil, "the new job's record %s is deleted", prefix)
	}
}
