package endpoints

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns the slot with the given index on host: the one with the highest
// rendezvous hash, or the lower name if two are equal. It returns "" if there are no members.
func Owner(members []string, host string, index int) string {
	var digest xxhash.Digest
	owner, highest := "", uint64(0)
	for _, member := range members {
		score := rendezvousScore(&digest, member, host, index)
		if owner == "" || score > highest || (score == highest && member < owner) {
			owner, highest = member, score
		}
	}
	return owner
}

// rendezvousScore returns the hash of the member for one slot of host.
func rendezvousScore(digest *xxhash.Digest, member, host string, index int) uint64 {
	var digits [8]byte
	digest.Reset()
	_, _ = digest.WriteString(member)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(host)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(strconv.AppendInt(digits[:0], int64(index), 10))
	return digest.Sum64()
}

// ownedSlots returns the number of slots of host that self owns.
func ownedSlots(members []string, self, host string, slots int) int {
	owned := 0
	for index := range slots {
		if Owner(members, host, index) == self {
			owned++
		}
	}
	return owned
}
