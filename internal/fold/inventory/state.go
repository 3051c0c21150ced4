// Package inventory reduces hosts, their pools, moves, maintenance grants and waves.
package inventory

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

// Move starts the move of a host to another pool.
func (s *State) Move(env structs.Envelope, p *v1.Move) *fault.Error { return nil }

// Grant permits one planned stop.
func (s *State) Grant(env structs.Envelope, p *v1.Grant) *fault.Error { return nil }

// HostDown marks a host as failed.
func (s *State) HostDown(env structs.Envelope, p *v1.HostDown) *fault.Error { return nil }

// HostBack ends a grant, a move or a failure.
func (s *State) HostBack(env structs.Envelope, p *v1.HostBack) *fault.Error { return nil }

// WaveControl pauses, resumes or stops a wave.
func (s *State) WaveControl(env structs.Envelope, p *v1.WaveControl) *fault.Error { return nil }

// Host returns the state of one host.
func (s *State) Host(name string) (Host, bool) { return Host{}, false }

// Hosts returns all hosts in order of name.
func (s *State) Hosts() []Host { return nil }

// Phase is where a host stands.
type Phase string

// Phases of a host.
const (
	// PhaseServing is a host that takes new work.
	PhaseServing Phase = "serving"
	// PhaseGranted is a host with a maintenance grant.
	PhaseGranted Phase = "granted"
	// PhaseMoving is a host that is being released to another pool.
	PhaseMoving Phase = "moving"
	// PhaseFailed is a host that is down without a grant.
	PhaseFailed Phase = "failed"
)

// Host is the state of one host.
type Host struct {
	Name string `json:"name"`
	// Pool is the one pool that the host belongs to.
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	Rack  string `json:"rack"`
	Phase Phase  `json:"phase"`
	// Epoch rises each time that the host is proven back, from 1.
	Epoch uint64 `json:"epoch"`
	// MoveTo is the pool that a moving host goes to.
	MoveTo string `json:"moveTo,omitempty"`
	// Wave is the wave that the grant belongs to.
	Wave string `json:"wave,omitempty"`
	// SinceOffset is the offset of the record that started the phase.
	SinceOffset int64 `json:"sinceOffset"`
}
