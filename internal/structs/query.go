package structs

// TeamStatus is the state of one team, as controllers answer the query "teams".
type TeamStatus struct {
	Name       string `json:"name"`
	Share      int    `json:"share"`
	UpperLimit uint64 `json:"upperLimit"`
	// JobUnits is the number of units that running jobs take.
	JobUnits uint64 `json:"jobUnits"`
	// Held is the number of rights that holders have.
	Held uint64 `json:"held"`
	// Unallocated is the number of units that no holder and no job has.
	Unallocated uint64 `json:"unallocated"`
	// SurrenderTarget bounds Held and JobUnits together while a lower limit is prepared; nil when there is none.
	SurrenderTarget *uint64 `json:"surrenderTarget,omitempty"`
}

// HostStatus is the state of one host, as controllers answer the query "hosts".
type HostStatus struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	Rack  string `json:"rack"`
	Phase string `json:"phase"`
	Epoch uint64 `json:"epoch"`
	// MoveTo is the pool that a moving host goes to.
	MoveTo string `json:"moveTo,omitempty"`
	// Wave is the wave that a maintenance grant belongs to.
	Wave string `json:"wave,omitempty"`
	// SinceOffset is the offset of the record that started the phase.
	SinceOffset int64 `json:"sinceOffset"`
}

// VerdictStatus is one settled proposal, as controllers answer the query "verdicts".
type VerdictStatus struct {
	Offset   int64  `json:"offset"`
	Proposer string `json:"proposer"`
	// TimeUnixMS is the writer's wall clock in milliseconds.
	TimeUnixMS int64 `json:"timeUnixMS"`
	// Payload is the name of the record's payload, such as change_set.
	Payload string `json:"payload"`
	// Author is the operator, when there is one.
	Author string `json:"author,omitempty"`
	// Subject is the host, wave, job or change set that the proposal is about.
	Subject  string `json:"subject,omitempty"`
	Accepted bool   `json:"accepted"`
	// Kind and Detail say why a proposal was rejected.
	Kind   string `json:"kind,omitempty"`
	Detail string `json:"detail,omitempty"`
	// ConfigVersion is the version of the document after the record.
	ConfigVersion uint64 `json:"configVersion"`
}

// DocumentStatus is the accepted document, as controllers answer the query "document".
type DocumentStatus struct {
	Version  uint64   `json:"version"`
	Document Document `json:"document"`
}

// WaveStatus is the progress of one wave, as controllers answer the query "waves".
type WaveStatus struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// State is running, paused, stopped or done.
	State string `json:"state"`
	// Reason says why the wave is paused or stopped.
	Reason string `json:"reason,omitempty"`
	// Done, Outstanding and Waiting are hosts that are back, stopped now, and still to come.
	Done        []string `json:"done,omitempty"`
	Outstanding []string `json:"outstanding,omitempty"`
	Waiting     []string `json:"waiting,omitempty"`
	// Failed are hosts that failed while the wave had stopped them.
	Failed []string `json:"failed,omitempty"`
}

// JobStatus is the state of one job, as controllers answer the query "jobs".
type JobStatus struct {
	// ID is the team and the submitter's key. An ended job has only its id and state.
	ID    string `json:"id"`
	Team  string `json:"team,omitempty"`
	Pool  string `json:"pool,omitempty"`
	Class string `json:"class,omitempty"`
	// State is waiting or running, or how the job ended.
	State   string `json:"state"`
	Worker  string `json:"worker,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	Units   uint64 `json:"units,omitempty"`
	// SubmitOffset is the offset of the record that submitted the job.
	SubmitOffset int64 `json:"submitOffset,omitempty"`
}
