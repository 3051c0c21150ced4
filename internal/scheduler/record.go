package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Topic is the log topic for jobs. Each job has a key for its definition, written once, and one for its progress, written
// at every change. The work items of a job with more than groupItems of them have keys of their own, one for each group of
// so many items, written when an item of the group changes: the records of a job are bounded, whatever its size, and a
// change of an item doesn't write the whole job.
const Topic = "jobs"

// Key prefixes in Topic; a job's ID follows them, and in the key of a group a slash and the number of the group.
const (
	definitionPrefix = "d/"
	progressPrefix   = "p/"
	groupPrefix      = "g/"
)

// recordEncoding encodes the values of all records. By default, the library writes times in whole seconds.
var recordEncoding = newRecordEncoding()

func newRecordEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

const (
	// groupItems is the number of work items in a group.
	groupItems = 64
	// maxLateStartRecords bounds the late starts of an item in a record that would be too long otherwise.
	maxLateStartRecords = 4
	// maxItemRecordBytes is the most that an itemRecord, a crashRecord and the lateStartRecords of an item take without the
	// checkpoint, with IDs of workers of up to 40 bytes, and maxProgressBytes what a progressRecord takes without its items.
	maxItemRecordBytes = 384
	maxProgressBytes   = 64
)

// progressRecord is the durable state of a job without its definition, or of a group of its work items.
type progressRecord struct {
	Cancelled bool         `cbor:"1,keyasint,omitempty"`
	Failed    bool         `cbor:"2,keyasint,omitempty"`
	Completed bool         `cbor:"3,keyasint,omitempty"`
	Begun     bool         `cbor:"4,keyasint,omitempty"`
	Items     []itemRecord `cbor:"5,keyasint,omitempty"`
	// Crashes has the items on whose workers crashes were counted.
	Crashes []crashRecord `cbor:"6,keyasint,omitempty"`
	// DoneBefore and DoneLater tell which occurrences are done, see doneOccurrences.
	DoneBefore int   `cbor:"7,keyasint,omitempty"`
	DoneLater  []int `cbor:"8,keyasint,omitempty"`
	// LateStarts has the starts without a response of items that aren't done.
	LateStarts []lateStartRecord `cbor:"9,keyasint,omitempty"`
	// Unconfirmed has the positions in Items of the placed items whose starts weren't confirmed at AtMs, the time of the
	// record in Unix milliseconds. AtMs is set if there are any.
	Unconfirmed []int `cbor:"10,keyasint,omitempty"`
	AtMs        int64 `cbor:"11,keyasint,omitempty"`
}

// lateStartRecord holds a start that a process under the worker's ID may carry out until then. It is encoded as an array.
type lateStartRecord struct {
	_           struct{} `cbor:",toarray"`
	Occurrence  int
	Step        int
	Index       int
	Run         int64
	Worker      string
	UntilUnixMs int64
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

// grouped reports whether the job's work items are recorded in groups.
func (j *job) grouped() bool { return j.itemCount > groupItems }

// group returns the number of the item's group.
func (i *item) group() int {
	return i.step.job.groupNumber(i.step.occurrence, i.step.firstItem+i.index)
}

// groupNumber returns the number of the group of an item, given its position in its occurrence.
func (j *job) groupNumber(occurrence, position int) int {
	return (occurrence*j.occurrenceItems + position) / groupItems
}

// addItem adds the records of the item, unless nothing has happened to it since the job was accepted. maxCheckpoint is the
// longest checkpoint that is recorded. It reports whether the checkpoint was left out.
func (record *progressRecord) addItem(i *item, maxCheckpoint int) (omitted bool) {
	step := i.step
	if i.crashes.sum() > 0 {
		record.Crashes = append(record.Crashes, crashRecord{Occurrence: step.occurrence, Step: step.number, Index: i.index,
			Known: i.crashes.known, Possible: i.crashes.possible, Late: i.crashes.late, GivenUp: i.givenUp})
	}
	if i.state == itemWaiting && i.run == 0 && i.failures == 0 && i.checkpoint == "" {
		return false
	}
	entry := itemRecord{Occurrence: step.occurrence, Step: step.number, Index: i.index, State: i.state,
		Run: i.run, Failures: i.failures, Checkpoint: i.checkpoint}
	if omitted = len(i.checkpoint) > maxCheckpoint; omitted {
		entry.Checkpoint = ""
	}
	if i.worker != nil {
		entry.Worker = i.worker.entry.ID
	}
	record.Items = append(record.Items, entry)
	return omitted
}

// jobEncoder encodes the records of jobs within the limit of the log.
type jobEncoder struct {
	// maxValueBytes limits the value of a record; 0 means no limit.
	maxValueBytes int
	// checkpointOmitted is called when a checkpoint is too long to be recorded.
	checkpointOmitted func(j *job)
	// lateStarts returns the records of an item's late starts; nil if no item has any.
	lateStarts func(i *item) []lateStartRecord
	// atMs is the time of the records in Unix milliseconds.
	atMs int64
}

// encodeItems encodes the record with the items added. If it gets too long, it leaves out long checkpoints, whose items
// start from the beginning if the term ends before they do, and all but the latest late starts of an item.
func (e *jobEncoder) encodeItems(record progressRecord, items []*item) ([]byte, error) {
	encode := func(maxCheckpoint, maxLateStarts int) ([]byte, bool, error) {
		full, omitted := record, false
		full.Items = make([]itemRecord, 0, len(items))
		for _, i := range items {
			omitted = full.addItem(i, maxCheckpoint) || omitted
			if i.awaitsConfirmation() {
				full.Unconfirmed, full.AtMs = append(full.Unconfirmed, len(full.Items)-1), e.atMs
			}
			if e.lateStarts != nil {
				lateStarts := e.lateStarts(i)
				full.LateStarts = append(full.LateStarts, lateStarts[max(0, len(lateStarts)-maxLateStarts):]...)
			}
		}
		value, err := recordEncoding.Marshal(full)
		return value, omitted, err
	}
	value, _, err := encode(math.MaxInt, math.MaxInt)
	if err != nil || e.maxValueBytes <= 0 || len(value) <= e.maxValueBytes {
		return value, err
	}
	value, omitted, err := encode(max(0, (e.maxValueBytes-maxProgressBytes)/groupItems-maxItemRecordBytes), maxLateStartRecords)
	if omitted && e.checkpointOmitted != nil {
		e.checkpointOmitted(items[0].step.job)
	}
	return value, err
}

// encodeJob returns the records that make the job's state durable. Groups that haven't changed are left out.
func (e *jobEncoder) encodeJob(j *job, withDefinition bool) ([]infra.Record, error) {
	var records []infra.Record
	if withDefinition {
		value, err := recordEncoding.Marshal(j.def)
		if err != nil {
			return nil, err
		}
		records = append(records, infra.Record{Key: definitionPrefix + j.def.ID, Value: value})
	}
	progress := progressRecord{Cancelled: j.cancelled, Failed: j.failed, Completed: j.completed, Begun: j.begun}
	if !j.completed {
		progress.DoneBefore, progress.DoneLater = j.done.first, j.done.laterList()
	}
	// A completed job needs no records of its items, and the items of one that can't be recorded are the reason.
	var items []*item
	if withItems := !j.completed && !j.unrecordable; withItems && j.grouped() {
		groups, err := e.encodeGroups(j)
		if err != nil {
			return nil, err
		}
		records = append(records, groups...)
	} else if withItems {
		items = j.allItems()
	}
	value, err := e.encodeItems(progress, items)
	if err != nil {
		return nil, err
	}
	records = append(records, infra.Record{Key: progressPrefix + j.def.ID, Value: value})
	// Until the record above is durable, a new term needs the groups of what is done.
	return append(records, groupDeletions(j)...), nil
}

// encodeGroups returns the records of the changed groups, in the order of their numbers: the groups of steps come before
// those of the steps that depend on them.
func (e *jobEncoder) encodeGroups(j *job) ([]infra.Record, error) {
	changed := make(map[int][]*item, len(j.changedGroups))
	for _, i := range j.allItems() {
		if number := i.group(); j.changedGroups[number] {
			changed[number] = append(changed[number], i)
		}
	}
	var records []infra.Record
	for _, number := range slices.Sorted(maps.Keys(changed)) {
		value, err := e.encodeItems(progressRecord{}, changed[number])
		if err != nil {
			return nil, err
		}
		records = append(records, infra.Record{Key: groupKey(j.def.ID, number), Value: value})
	}
	for number := range changed {
		j.recordedGroups[number] = true
	}
	clear(j.changedGroups)
	return records, nil
}

// groupDeletions returns the records that delete the groups of which the progress record says that all items are done.
func groupDeletions(j *job) []infra.Record {
	first := j.done.first * j.occurrenceItems / groupItems
	if j.completed {
		first = math.MaxInt
	}
	var records []infra.Record
	for _, number := range slices.Sorted(maps.Keys(j.recordedGroups)) {
		if number < first {
			records = append(records, infra.Record{Key: groupKey(j.def.ID, number)})
			delete(j.recordedGroups, number)
		}
	}
	return records
}

func groupKey(job string, number int) string {
	return groupPrefix + job + "/" + strconv.Itoa(number)
}

// parseGroupKey returns the job and the number in the key of a group.
func parseGroupKey(key string) (job string, number int, ok bool) {
	id, isGroup := strings.CutPrefix(key, groupPrefix)
	slash := strings.LastIndexByte(id, '/')
	if !isGroup || slash < 0 {
		return "", 0, false
	}
	number, err := strconv.Atoi(id[slash+1:])
	return id[:slash], number, err == nil && number >= 0 && number < work.MaxItems
}

// jobOfKey returns the ID of the job to which the record belongs; "" if it belongs to none.
func jobOfKey(key string) string {
	for _, prefix := range []string{definitionPrefix, progressPrefix} {
		if id, ok := strings.CutPrefix(key, prefix); ok {
			return id
		}
	}
	id, _, _ := parseGroupKey(key)
	return id
}

// storedJob is a job as read from the log; def is nil if its definition is missing or, with unreadable set, can't be used.
type storedJob struct {
	def        *work.Job
	unreadable bool
	progress   progressRecord
	groups     map[int]progressRecord
}

// itemRecords returns the records that hold the state of the work items. Items in the progress record are of a revision
// without groups, and count unless their group has been recorded since.
func (s *storedJob) itemRecords(groupOf func(itemRecord) int) []progressRecord {
	if len(s.groups) == 0 {
		return []progressRecord{s.progress}
	}
	var earlier progressRecord
	for _, i := range s.progress.Items {
		if _, recorded := s.groups[groupOf(i)]; !recorded {
			earlier.Items = append(earlier.Items, i)
		}
	}
	for _, c := range s.progress.Crashes {
		if _, recorded := s.groups[groupOf(itemRecord{Occurrence: c.Occurrence, Step: c.Step, Index: c.Index})]; !recorded {
			earlier.Crashes = append(earlier.Crashes, c)
		}
	}
	records := []progressRecord{earlier}
	for _, number := range slices.Sorted(maps.Keys(s.groups)) {
		records = append(records, s.groups[number])
	}
	return records
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
	for n, record := range records {
		records[n] = infra.Record{}
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
		} else if id, number, ok := parseGroupKey(record.Key); ok {
			var group progressRecord
			if err = cbor.Unmarshal(record.Value, &group); err == nil {
				if entry(id).groups == nil {
					entry(id).groups = map[int]progressRecord{}
				}
				entry(id).groups[number] = group
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
