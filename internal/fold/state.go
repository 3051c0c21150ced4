package fold

import (
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/escrow"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/structs"
)

// State is the fleet state after the record at Offset. It isn't safe for concurrent use.
type State struct {
	offset  int64
	version uint64
	// hash is the running hash over the previous hash, the offset, the record and the verdict.
	hash  []byte
	doc   *structs.Document
	index *document.Index
	// recentVerdicts and changes keep verdicts for operators. Operators' proposals have a ring of their own,
	// because at 45 gateways the holders' records push all others out of 1,000 within a minute.
	recentVerdicts   verdictRing
	operatorVerdicts verdictRing

	Escrow    *escrow.State
	Inventory *inventory.State
	Jobs      *jobs.State
}

// Numbers of verdicts that the state keeps.
const (
	MaxRecentVerdicts   = 1000
	MaxOperatorVerdicts = 256
)

// New returns the state before the first record.
func New() *State {
	doc := &structs.Document{}
	index, err := document.NewIndex(doc)
	if err != nil {
		// An empty document has no value that JSON can't encode.
		panic(err)
	}
	return &State{
		doc: doc, index: index, hash: make([]byte, hashBytes),
		recentVerdicts:   verdictRing{capacity: MaxRecentVerdicts},
		operatorVerdicts: verdictRing{capacity: MaxOperatorVerdicts},
		Escrow:           escrow.New(), Inventory: inventory.New(), Jobs: jobs.New(),
	}
}

// Offset returns the offset of the last folded record, or 0.
func (s *State) Offset() int64 { return s.offset }

// Version returns the version of the accepted document, or 0 before the first.
func (s *State) Version() uint64 { return s.version }

// Hash returns the running hash.
func (s *State) Hash() []byte { return append([]byte(nil), s.hash...) }

// Document returns the accepted document. It is immutable and stays valid after later records.
func (s *State) Document() *structs.Document { return s.doc }

// DocumentHash returns the hash of the accepted document.
func (s *State) DocumentHash() []byte { return s.index.Hash() }

// RecentVerdicts returns the last RecentVerdicts verdicts, oldest first.
func (s *State) RecentVerdicts() []Verdict { return s.recentVerdicts.list() }

// VerdictsAfter returns the kept verdicts with a higher offset, oldest first.
func (s *State) VerdictsAfter(offset int64) []Verdict { return s.recentVerdicts.after(offset) }

// OperatorVerdicts returns the last ChangeVerdicts verdicts on operators' proposals, oldest first.
func (s *State) OperatorVerdicts() []Verdict { return s.operatorVerdicts.list() }

// VerdictOf returns the verdict on the first copy of a proposal, if it is still kept. Later copies
// are rejected, as duplicates or as records of a proposer that has left.
func (s *State) VerdictOf(incarnation string, seq uint64) (Verdict, bool) {
	return s.recentVerdicts.find(func(v *Verdict) bool {
		return v.Seq == seq && v.Incarnation == incarnation && v.Kind != fault.ProposalDuplicate
	})
}

// DuplicateVerdictOf returns the oldest kept verdict that rejected a proposal as a duplicate.
func (s *State) DuplicateVerdictOf(incarnation string, seq uint64) (Verdict, bool) {
	return s.recentVerdicts.find(func(v *Verdict) bool {
		return v.Seq == seq && v.Incarnation == incarnation && v.Kind == fault.ProposalDuplicate
	})
}

// LastSeq returns the highest proposal number that the state has read from the incarnation, or 0
// when the incarnation is no member.
func (s *State) LastSeq(incarnation string) uint64 {
	for _, role := range memberRoles {
		for _, member := range s.Escrow.Members(role) {
			if member.Incarnation == incarnation {
				return member.LastSeq
			}
		}
	}
	return 0
}

func (s *State) sections() []Section { return []Section{s.Escrow, s.Inventory, s.Jobs} }
