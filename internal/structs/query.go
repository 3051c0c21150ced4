package structs

// TeamStatus is the state of one team in the response to the query "teams" of controllers.
type TeamStatus struct {
	Name       string `json:"name"`
	Share      int    `json:"share"`
	UpperLimit uint64 `json:"upperLimit"`
	// JobUnits is the number of units that running jobs use.
	JobUnits uint64 `json:"jobUnits"`
	// Held is the number of rights that all holders have together.
	Held uint64 `json:"held"`
	// Unallocated is the number of units that neither a holder nor a job has.
	Unallocated uint64 `json:"unallocated"`
	// SurrenderTarget limits the sum of Held and JobUnits while a lower UpperLimit is being prepared;
	// otherwise it is nil.
	SurrenderTarget *uint64 `json:"surrenderTarget,omitempty"`
}

// HostStatus is the state of one host in the response to the query "hosts" of controllers.
type HostStatus struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	Rack  string `json:"rack"`
	Phase string `json:"phase"`
	Epoch uint64 `json:"epoch"`
	// MoveTo is the destination pool of a moving host.
	MoveTo string `json:"moveTo,omitempty"`
	// Wave is the name of the wave to which the host's maintenance grant belongs.
	Wave string `json:"wave,omitempty"`
	// SinceOffset is the offset of the record that started the phase.
	SinceOffset int64 `json:"sinceOffset"`
}

// VerdictStatus is the verdict on one proposal in the response to the query "verdicts" of controllers.
type VerdictStatus struct {
	Offset   int64  `json:"offset"`
	Proposer string `json:"proposer"`
	// TimeUnixMS is the writer's wall clock in Unix milliseconds.
	TimeUnixMS int64 `json:"timeUnixMS"`
	// Payload is the name of the record's payload field, such as change_set.
	Payload string `json:"payload"`
	// Author is the operator who made the proposal; empty if there is none.
	Author string `json:"author,omitempty"`
	// Subject is the host, wave, job or change set that the proposal is about.
	Subject  string `json:"subject,omitempty"`
	Accepted bool   `json:"accepted"`
	// Kind and Detail describe why a proposal was rejected.
	Kind   string `json:"kind,omitempty"`
	Detail string `json:"detail,omitempty"`
	// ConfigVersion is the version of the document after the record was applied.
	ConfigVersion uint64 `json:"configVersion"`
}

// DocumentStatus is the accepted document in the response to the query "document" of controllers.
type DocumentStatus struct {
	Version  uint64   `json:"version"`
	Document Document `json:"document"`
}

// WaveStatus is the progress of one wave in the response to the query "waves" of controllers.
type WaveStatus struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// State is running, paused, stopped or done.
	State string `json:"state"`
	// Reason describes why the wave is paused or stopped.
	Reason string `json:"reason,omitempty"`
	// Done lists the hosts that are back, Outstanding those that are stopped now, and Waiting those that
	// haven't been stopped yet.
	Done        []string `json:"done,omitempty"`
	Outstanding []string `json:"outstanding,omitempty"`
	Waiting     []string `json:"waiting,omitempty"`
	// Failed lists the hosts that failed while they were stopped for the wave.
	Failed []string `json:"failed,omitempty"`
}

// JobStatus is the state of one job in the response to the query "jobs" of controllers.
type JobStatus struct {
	// ID consists of the team and the key that the submitter chose. An ended job has only ID and State.
	ID    string `json:"id"`
	Team  string `json:"team,omitempty"`
	Pool  string `json:"pool,omitempty"`
	Class string `json:"class,omitempty"`
	// State is waiting, running, or the outcome of an ended job.
	State   string `json:"state"`
	Worker  string `json:"worker,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	Units   uint64 `json:"units,omitempty"`
	// SubmitOffset is the offset of the record that submitted the job.
	SubmitOffset int64 `json:"submitOffset,omitempty"`
}
