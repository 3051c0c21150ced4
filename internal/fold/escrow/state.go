// Package escrow reduces membership and the rights of holders to the units of each team's limit.
package escrow

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

// Admit settles duplicates and unknown proposers; it runs before the reducer of every payload.
func (s *State) Admit(env structs.Envelope, joining bool) *fault.Error { return nil }

// Join adds a process lifetime.
func (s *State) Join(env structs.Envelope, p *v1.Join) *fault.Error { return nil }

// Leave removes the proposer.
func (s *State) Leave(env structs.Envelope, p *v1.Leave) *fault.Error { return nil }

// Heartbeat accepts a sign of life.
func (s *State) Heartbeat(env structs.Envelope, p *v1.Heartbeat) *fault.Error { return nil }

// Surrender bounds the rights of a team whose limit is to be lowered.
func (s *State) Surrender(env structs.Envelope, p *v1.Surrender) *fault.Error { return nil }

// Claim gives unallocated units to the proposer.
func (s *State) Claim(env structs.Envelope, p *v1.Claim) *fault.Error { return nil }

// Return takes units back from the proposer.
func (s *State) Return(env structs.Envelope, p *v1.Return) *fault.Error { return nil }

// Transfer moves units from the proposer to another holder.
func (s *State) Transfer(env structs.Envelope, p *v1.Transfer) *fault.Error { return nil }

// Suspect bars a holder from further proposals.
func (s *State) Suspect(env structs.Envelope, p *v1.Suspect) *fault.Error { return nil }

// Reclaim makes the rights of a suspected holder unallocated.
func (s *State) Reclaim(env structs.Envelope, p *v1.Reclaim) *fault.Error { return nil }

// ReserveJobUnits counts units of a started job against the team's limit.
func (s *State) ReserveJobUnits(team string, units uint64) *fault.Error { return nil }

// ReleaseJobUnits ends the count of ReserveJobUnits.
func (s *State) ReleaseJobUnits(team string, units uint64) {}

// Unallocated returns the units of the team that no holder and no job has.
func (s *State) Unallocated(team string) uint64 { return 0 }

// Members returns the joined processes of the role in order of name.
func (s *State) Members(role v1.Role) []Member { return nil }

// Member is one joined process lifetime.
type Member struct {
	Name        string            `json:"name"`
	Incarnation string            `json:"incarnation"`
	Zone        string            `json:"zone"`
	Address     string            `json:"address"`
	Role        v1.Role           `json:"role"`
	LastSeq     uint64            `json:"lastSeq"`
	Suspected   bool              `json:"suspected,omitempty"`
	Rights      map[string]uint64 `json:"rights,omitempty"`
}
