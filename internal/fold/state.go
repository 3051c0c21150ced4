package fold

import (
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/escrow"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/structs"
)

// State is the fleet state after folding the record at offset. It isn't safe for concurrent use.
type State struct {
	offset  int64
	version uint64
	// hash is the running hash: it covers the previous hash, the offset, the record and the verdict.
	hash  []byte
	doc   *structs.Document
	index *document.Index
	// recentVerdicts has the newest verdicts on all proposals, operatorVerdicts those on proposals by
	// operators. With 45 gateways, the records of the holders alone fill a ring of 1,000 verdicts
	// within a minute and would evict those of the operators.
	recentVerdicts   verdictRing
	operatorVerdicts verdictRing

	Escrow    *escrow.State
	Inventory *inventory.State
	Jobs      *jobs.State
}

// Bounds on the number of verdicts that the state keeps.
const (
	MaxRecentVerdicts   = 1000
	MaxOperatorVerdicts = 256
)

// New returns the state before the first record.
func New() *State {
	doc := &structs.Document{}
	index, err := document.NewIndex(doc)
	if err != nil {
		// NewIndex fails only if the document can't be encoded as JSON, and an empty one always can.
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

// Version returns the version of the accepted document, or 0 before the first change set is accepted.
func (s *State) Version() uint64 { return s.version }

// Hash returns a copy of the running hash.
func (s *State) Hash() []byte { return append([]byte(nil), s.hash...) }

// Document returns the accepted document. It is immutable and stays valid after later records.
func (s *State) Document() *structs.Document { return s.doc }

// DocumentHash returns the hash of the accepted document.
func (s *State) DocumentHash() []byte { return s.index.Hash() }

// RecentVerdicts returns the last MaxRecentVerdicts verdicts, oldest first.
func (s *State) RecentVerdicts() []Verdict { return s.recentVerdicts.list() }

// VerdictsAfter returns those of the recent verdicts whose offset is above the given one, oldest first.
func (s *State) VerdictsAfter(offset int64) []Verdict { return s.recentVerdicts.after(offset) }

// OperatorVerdicts returns the last MaxOperatorVerdicts verdicts on operators' proposals, oldest first.
func (s *State) OperatorVerdicts() []Verdict { return s.operatorVerdicts.list() }

// VerdictOf returns the verdict on the first copy of a proposal in the log, if it is still kept. Later
// copies are rejected, either as duplicates or because their proposer has left.
func (s *State) VerdictOf(incarnation string, seq uint64) (Verdict, bool) {
	return s.recentVerdicts.find(func(v *Verdict) bool {
		return v.Seq == seq && v.Incarnation == incarnation && v.Kind != fault.ProposalDuplicate
	})
}

// DuplicateVerdictOf returns the oldest kept verdict that rejected a copy of a proposal as a duplicate.
func (s *State) DuplicateVerdictOf(incarnation string, seq uint64) (Verdict, bool) {
	return s.recentVerdicts.find(func(v *Verdict) bool {
		return v.Seq == seq && v.Incarnation == incarnation && v.Kind == fault.ProposalDuplicate
	})
}

// LastSeq returns the highest sequence number among the incarnation's proposals that were folded, or 0
// if the incarnation isn't a member.
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
