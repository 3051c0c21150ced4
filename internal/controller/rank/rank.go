// Package rank orders the controllers for each subject by rendezvous hashing. Each controller computes the
// same order without exchanging messages. The first one acts, and the next ones take over in turn if the work
// isn't done.
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

// DelayPerRank is how long a controller waits, for each controller ranked before it, until it takes over pending work.
const DelayPerRank = 5 * time.Second

// SnapshotSubject is the subject for which controllers are ranked to write snapshots.
const SnapshotSubject = "snapshots"

// PoolSubject returns the subject for which controllers are ranked to control the hosts of a pool.
func PoolSubject(pool string) string { return "pool/" + pool }

// Score returns the rendezvous score of name for subject. The name with the highest score has rank 0.
func Score(subject, name string) uint64 {
	sum := sha256.Sum256([]byte(subject + "\x00" + name))
	return binary.BigEndian.Uint64(sum[:])
}

// Order returns a copy of names, sorted by rank for subject.
func Order(subject string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(subject, b), Score(subject, a)), cmp.Compare(a, b))
	})
	return ordered
}

// Position returns the rank of name among names for subject, from 0. A name that isn't in names ranks after
// all others.
func Position(subject string, names []string, name string) int {
	rank := 0
	ownScore := Score(subject, name)
	for _, other := range names {
		otherScore := Score(subject, other)
		if other != name && (otherScore > ownScore || (otherScore == ownScore && other < name) || !slices.Contains(names, name)) {
			rank++
		}
	}
	return rank
}

// Controllers returns the names of the joined controllers that aren't suspected to have failed.
func Controllers(state *fold.State) []string {
	var names []string
	for _, member := range state.Escrow.Members(v1.Role_ROLE_CONTROLLER) {
		if !member.Suspected {
			names = append(names, member.Name)
		}
	}
	return names
}
