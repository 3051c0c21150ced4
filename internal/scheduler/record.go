package scheduler

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Topic is the log's topic of the jobs. Each job has two keys: its definition, written once, and its
// progress, written whenever it changes.
const Topic = "jobs"

// Prefixes of keys.
const (
	definitionPrefix = "d/"
	progressPrefix   = "p/"
)

// progressRecord is the durable state of a job besides its definition.
type progressRecord struct {
	Cancelled bool         `cbor:"1,keyasint,omitempty"`
	Failed    bool         `cbor:"2,keyasint,omitempty"`
	Completed bool         `cbor:"3,keyasint,omitempty"`
	Begun     bool         `cbor:"4,keyasint,omitempty"`
	Items     []itemRecord `cbor:"5,keyasint,omitempty"`
}

// itemRecord is a work item that isn't as it was when the job was accepted.
type itemRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	State      itemState
	// Run is the last run. Worker is where it is placed; without one, its end is accounted for.
	Run        int64
	Worker     string
	Failures   int
	Checkpoint string
}

// progressOf describes the job.
func progressOf(j *job) progressRecord {
	record := progressRecord{Cancelled: j.cancelled, Failed: j.failed, Completed: j.completed, Begun: j.begun}
	if j.completed {
		return record
	}
	for _, step := range j.steps {
		for _, i := range step.items {
			if i.state == itemWaiting && i.run == 0 && i.failures == 0 && i.checkpoint == "" {
				continue
			}
			entry := itemRecord{Occurrence: step.occurrence, Step: step.number, Index: i.index, State: i.state,
				Run: i.run, Failures: i.failures, Checkpoint: i.checkpoint}
			if i.worker != nil {
				entry.Worker = i.worker.entry.ID
			}
			record.Items = append(record.Items, entry)
		}
	}
	return record
}

// encodeJob returns the records that make the job's state durable.
func encodeJob(j *job, withDefinition bool) ([]infra.Record, error) {
	var records []infra.Record
	if withDefinition {
		value, err := cbor.Marshal(j.def)
		if err != nil {
			return nil, err
		}
		records = append(records, infra.Record{Key: definitionPrefix + j.def.ID, Value: value})
	}
	value, err := cbor.Marshal(progressOf(j))
	if err != nil {
		return nil, err
	}
	return append(records, infra.Record{Key: progressPrefix + j.def.ID, Value: value}), nil
}

// storedJob is a job as read from the log.
type storedJob struct {
	def      *work.Job
	progress progressRecord
}

// decodeJobs reads the newest records of all jobs. Records that can't be read are returned by key.
func decodeJobs(records []infra.Record) (map[string]*storedJob, []string) {
	jobs := map[string]*storedJob{}
	var unreadable []string
	entry := func(id string) *storedJob {
		if jobs[id] == nil {
			jobs[id] = &storedJob{}
		}
		return jobs[id]
	}
	for _, record := range records {
		if record.Value == nil {
			continue
		}
		var err error
		if id, ok := strings.CutPrefix(record.Key, definitionPrefix); ok {
			def := &work.Job{}
			if err = cbor.Unmarshal(record.Value, def); err == nil {
				entry(id).def = def
			}
		} else if id, ok := strings.CutPrefix(record.Key, progressPrefix); ok {
			err = cbor.Unmarshal(record.Value, &entry(id).progress)
		}
		if err != nil {
			unreadable = append(unreadable, record.Key)
		}
	}
	return jobs, unreadable
}
