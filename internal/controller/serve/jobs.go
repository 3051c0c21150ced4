package serve

import (
	"strings"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/structs"
)

// jobClassPrefix is the common prefix of the names of job classes in the protocol.
const jobClassPrefix = "JOB_CLASS_"

// jobStatuses returns the named job, live or ended, or all live jobs if the name is empty, in order of ID. The
// specs of the jobs are left out.
func jobStatuses(state *fold.State, name string) []structs.JobStatus {
	statuses := []structs.JobStatus{}
	for _, id := range state.Jobs.LiveIDs() {
		job, live := state.Jobs.Job(id)
		if !live || (name != "" && name != id) {
			continue
		}
		statuses = append(statuses, structs.JobStatus{
			ID: job.ID, Team: job.Team, Pool: job.Pool, Class: jobClassName(job.Class), State: string(job.Phase),
			Worker: job.Worker, Attempt: job.Attempt, Units: job.Units, SubmitOffset: job.SubmitOffset,
		})
	}
	if ended, found := state.Jobs.FindEnded(name); found {
		statuses = append(statuses, structs.JobStatus{ID: ended.ID, State: string(ended.Result)})
	}
	return statuses
}

// jobClassName returns the class in lower case and without its protocol prefix, such as "batch".
func jobClassName(class v1.JobClass) string {
	return strings.ToLower(strings.TrimPrefix(class.String(), jobClassPrefix))
}
