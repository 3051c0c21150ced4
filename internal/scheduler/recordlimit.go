package scheduler

import (
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// maxKeyBytes is the length of the longest key of a job's record: its ID with the prefix and the number of a group.
const maxKeyBytes = 64

// maxValueBytes returns the limit for the value of a record; 0 means no limit.
func (c *Core) maxValueBytes() int {
	if c.options.MaxRecordBytes <= 0 {
		return 0
	}
	return max(1, c.options.MaxRecordBytes-infra.RecordOverhead-maxKeyBytes)
}

// isRecordable reports whether the log accepts the definition of the job.
func (c *Core) isRecordable(def *work.Job) bool {
	limit := c.maxValueBytes()
	queue := &def.Queue
	if limit == 0 || definitionBytes(def)+int64(len(queue.Name)+len(queue.Host)+len(queue.Prefix)+len(queue.Pool)+len(def.ID)+len(def.Customer)) <= int64(limit) {
		// The encoding is smaller than the state in memory.
		return true
	}
	value, err := recordEncoding.Marshal(def)
	return err == nil && len(value) <= limit
}

// deleteRecords adds the deletion of a job's records to the next batch. A later term that finds some of them deletes the
// others.
func (c *Core) deleteRecords(id string, groups []int) {
	slices.Sort(groups)
	for _, number := range groups {
		c.deletions = append(c.deletions, infra.Record{Key: groupKey(id, number)})
	}
	c.deletions = append(c.deletions, infra.Record{Key: definitionPrefix + id}, infra.Record{Key: progressPrefix + id})
}

// failUnrecordable fails the jobs of records that the log never accepts, and returns them. Nothing of such a job would
// become durable otherwise, and its ends would stay unacknowledged.
func (c *Core) failUnrecordable(rejected []infra.Record) map[*job]bool {
	unrecorded := map[*job]bool{}
	for n := range rejected {
		c.metrics.recordRejected()
		j := c.jobs[jobOfKey(rejected[n].Key)]
		if j == nil {
			continue
		}
		unrecorded[j] = true
		j.definitionRejected = j.definitionRejected || strings.HasPrefix(rejected[n].Key, definitionPrefix)
		if j.unrecordable {
			c.logger.WithFields(logrus.Fields{"event": "job_unrecordable", "job": j.def.ID, "key": rejected[n].Key}).Error("the log rejects the failure of a job as well; it is known to this term only")
			continue
		}
		j.unrecordable = true
		if !j.finished() {
			c.endAsFailed(j, failedByRecord)
		}
		c.logger.WithFields(logrus.Fields{"event": "job_failed", "job": j.def.ID, "queue": j.def.Queue.Name, "cause": failedByRecord, "key": rejected[n].Key}).Error(
			"job failed: the log never accepts one of its records")
	}
	return unrecorded
}

// unrecordedOutcome is the outcome for callers that wait for a record which the log never accepts.
func (j *job) unrecordedOutcome() Outcome {
	if j.definitionRejected && !j.started {
		return Outcome{Kind: OutcomeInvalid, Reason: failedByRecord}
	}
	return Outcome{Kind: OutcomeUnknown}
}

// noteOmittedCheckpoint logs the first checkpoint of a job that is too long to be recorded.
func (c *Core) noteOmittedCheckpoint(j *job) {
	c.metrics.checkpointOmitted()
	if j.checkpointOmitted {
		return
	}
	j.checkpointOmitted = true
	c.logger.WithFields(logrus.Fields{"event": "checkpoint_unrecorded", "job": j.def.ID, "limit": c.options.MaxRecordBytes}).Warn(
		"checkpoints of the job are too long for the log; after a change of the scheduler its work items start from the beginning")
}

// groupOf returns the number of the group of a recorded item, or -1 if the job has no such item.
func (j *job) groupOf(record itemRecord) int {
	if record.Occurrence < 0 || record.Occurrence >= j.def.Occurrences() || record.Step < 0 || record.Step >= len(j.def.Steps) ||
		record.Index < 0 || record.Index >= j.def.Steps[record.Step].Count {
		return -1
	}
	firstItem := 0
	for n := range record.Step {
		firstItem += j.def.Steps[n].Count
	}
	return j.groupNumber(record.Occurrence, firstItem+record.Index)
}

// recordedItem returns the item to which a record belongs, or nil if the job has no such item or doesn't need it. It creates
// the state of its occurrence. Of a finished job only what may still run is needed.
func (j *job) recordedItem(occurrence, step, index int, state itemState) *item {
	if j.groupOf(itemRecord{Occurrence: occurrence, Step: step, Index: index}) < 0 || j.finished() && state != itemPlaced {
		return nil
	}
	j.createOccurrence(occurrence)
	return j.itemAt(occurrence, step, index)
}

// restoreDone restores which occurrences are done.
func (j *job) restoreDone(progress *progressRecord) {
	total := j.def.Occurrences()
	j.done.first = min(max(0, progress.DoneBefore), total)
	for _, number := range progress.DoneLater {
		if number >= j.done.first && number < total {
			j.done.add(number)
		}
	}
}

// restoreGroups notes which groups of a restored job are in the log. Items in its progress record are of a revision
// without groups, and are written as groups with the next change.
func (j *job) restoreGroups(entry *storedJob) {
	if !j.grouped() {
		return
	}
	clear(j.changedGroups)
	for number := range entry.groups {
		j.recordedGroups[number] = true
	}
	for _, record := range entry.progress.Items {
		if number := j.groupOf(record); number >= 0 && !j.recordedGroups[number] {
			j.changedGroups[number] = true
		}
	}
}
