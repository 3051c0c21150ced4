package serve

import (
	"strings"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/structs"
)

// jobClassPrefix precedes the name of a class in the protocol.
const jobClassPrefix = "JOB_CLASS_"

// jobStatuses returns the named job, or all live jobs in order of id, without their specs.
func jobStatuses(state *fold.State, name string) []structs.JobStatus {
	list := []structs.JobStatus{}
	for _, id := range state.Jobs.LiveIDs() {
		job, live := state.Jobs.Job(id)
		if !live || (name != "" && name != id) {
			continue
		}
		list = append(list, structs.JobStatus{
			ID: job.ID, Team: job.Team, Pool: job.Pool, Class: jobClassName(job.Class), State: string(job.Phase),
			Worker: job.Worker, Attempt: job.Attempt, Units: job.Units, SubmitOffset: job.SubmitOffset,
		})
	}
	if ended, found := state.Jobs.FindEnded(name); found {
		list = append(list, structs.JobStatus{ID: ended.ID, State: string(ended.Result)})
	}
	return list
}

func jobClassName(class v1.JobClass) string {
	return strings.ToLower(strings.TrimPrefix(class.String(), jobClassPrefix))
}
