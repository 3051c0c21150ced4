package scheduler

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Topic is the log topic for jobs. Each job has two keys: one for its definition, written once, and one
// for its progress, written at every change.
const Topic = "jobs"

// Key prefixes in Topic; a job's ID follows them.
const (
	definitionPrefix = "d/"
	progressPrefix   = "p/"
)

// progressRecord is the durable state of a job without its definition.
type progressRecord struct {
	Cancelled bool         `cbor:"1,keyasint,omitempty"`
	Failed    bool         `cbor:"2,keyasint,omitempty"`
	Completed bool         `cbor:"3,keyasint,omitempty"`
	Started   bool         `cbor:"4,keyasint,omitempty"`
	Items     []itemRecord `cbor:"5,keyasint,omitempty"`
	// Crashes has the items on whose workers crashes were counted.
	Crashes []crashRecord `cbor:"6,keyasint,omitempty"`
}

// crashRecord holds the crash counts of one work item. It is encoded as an array.
type crashRecord struct {
	_                     struct{} `cbor:",toarray"`
	Occurrence            int
	Step                  int
	Index                 int
	Known, Possible, Late int
	GivenUp               bool
}

// itemRecord is the durable state of a work item that has changed since the job was accepted. It is
// encoded as an array, so the order of its fields is part of the format.
type itemRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	State      itemState
	// Run is the number of the last run. Worker is the worker on which the item is placed; if empty, the run's
	// end is accounted for.
	Run        int64
	Worker     string
	Failures   int
	Checkpoint string
}

// progressOf returns the progress record of the job. A completed job needs no item records.
func progressOf(j *job) progressRecord {
	record := progressRecord{Cancelled: j.cancelled, Failed: j.failed, Completed: j.completed, Started: j.started}
	if j.completed {
		return record
	}
	for _, step := range j.steps {
		for _, i := range step.items {
			if i.crashes.sum() > 0 {
				record.Crashes = append(record.Crashes, crashRecord{Occurrence: step.occurrence, Step: step.number, Index: i.index,
					Known: i.crashes.known, Possible: i.crashes.possible, Late: i.crashes.late, GivenUp: i.givenUp})
			}
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

// storedJob is a job as read from the log; def is nil if its definition is missing or, with unreadable set, can't be used.
type storedJob struct {
	def        *work.Job
	unreadable bool
	progress   progressRecord
}

// decodeJobs decodes the newest records of all jobs. It returns the jobs by ID, and the keys of records
// that can't be decoded.
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
			var def *work.Job
			if def, err = decodeDefinition(id, record.Value); err == nil {
				entry(id).def = def
			} else {
				entry(id).unreadable = true
			}
		} else if id, ok := strings.CutPrefix(record.Key, progressPrefix); ok {
			var progress progressRecord
			if err = cbor.Unmarshal(record.Value, &progress); err == nil {
				entry(id).progress = progress
			}
		}
		if err != nil {
			unreadable = append(unreadable, record.Key)
		}
	}
	return jobs, unreadable
}

// decodeDefinition decodes the definition of the job with the ID. Its numbers are checked, since the log may hold
// records of another writer.
func decodeDefinition(id string, value []byte) (*work.Job, error) {
	def := &work.Job{}
	if err := cbor.Unmarshal(value, def); err != nil {
		return nil, err
	}
	if def.ID != id {
		return nil, fmt.Errorf("definition of job %q has the ID %q", id, def.ID)
	}
	def.Normalize()
	return def, def.Check()
}
