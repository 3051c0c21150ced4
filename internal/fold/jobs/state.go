// Package jobs reduces jobs from submission to their end.
package jobs

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// State is the section of the fleet state that the package reduces.
type State struct{}

// New returns an empty section.
func New() *State { return &State{} }

// CheckDocument returns an error when the state forbids the next document.
func (s *State) CheckDocument(*structs.Document) *fault.Error { return nil }

// AdoptDocument brings the state in line with an accepted document.
func (s *State) AdoptDocument(*structs.Document) {}

// Fleet is what the reducer asks about hosts.
type Fleet interface {
	// Serving reports whether the host takes new work in the pool.
	Serving(host, pool string) bool
	// Capacities returns the distinct worker capacities of the pool.
	Capacities(pool string) []structs.Resources
}

// Units counts running jobs against the limits of teams.
type Units interface {
	ReserveJobUnits(team string, units uint64) *fault.Error
	ReleaseJobUnits(team string, units uint64)
}

// Submit accepts a job.
func (s *State) Submit(env structs.Envelope, p *v1.JobSubmit, doc *structs.Document, fleet Fleet) *fault.Error {
	return nil
}

// Start accepts one attempt of a waiting job.
func (s *State) Start(env structs.Envelope, p *v1.JobStart, fleet Fleet, units Units) *fault.Error {
	return nil
}

// End ends an attempt.
func (s *State) End(env structs.Envelope, p *v1.JobEnd, units Units) *fault.Error { return nil }

// Cancel ends a waiting job, or asks for the stop of a running one.
func (s *State) Cancel(env structs.Envelope, p *v1.JobCancel, doc *structs.Document) *fault.Error {
	return nil
}
