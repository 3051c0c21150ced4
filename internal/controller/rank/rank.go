// Package rank decides which controller acts first for a subject, without messages.
package rank

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
)

// Delays between ranks.
const (
	// TakeoverDelay is the time after which the next rank acts on undone work.
	TakeoverDelay = 5 * time.Second
	// PlacementTakeoverDelay is that of job placement, since urgent work starts within 4.1 s.
	PlacementTakeoverDelay = 500 * time.Millisecond
)

// SnapshotSubject is the subject of writing snapshots.
const SnapshotSubject = "snapshots"

// PoolSubject returns the subject of acting on a pool.
func PoolSubject(pool string) string { return "pool/" + pool }

// Score returns the rendezvous weight of name for subject; the highest comes first.
func Score(subject, name string) uint64 {
	sum := sha256.Sum256([]byte(subject + "\x00" + name))
	return binary.BigEndian.Uint64(sum[:])
}

// Order returns names in order of rank for subject.
func Order(subject string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(subject, b), Score(subject, a)), cmp.Compare(a, b))
	})
	return ordered
}

// Of returns the rank of name for subject, from 0. A name that isn't in names comes last.
func Of(subject string, names []string, name string) int {
	rank := 0
	own := Score(subject, name)
	for _, other := range names {
		score := Score(subject, other)
		if other != name && (score > own || (score == own && other < name) || !slices.Contains(names, name)) {
			rank++
		}
	}
	return rank
}

// Controllers returns the names of joined controllers that aren't suspected. Those for which gone
// returns true are left out; gone may be nil.
func Controllers(state *fold.State, gone func(name string) bool) []string {
	var names []string
	for _, member := range state.Escrow.Members(v1.Role_ROLE_CONTROLLER) {
		if !member.Suspected && (gone == nil || !gone(member.Name)) {
			names = append(names, member.Name)
		}
	}
	return names
}
