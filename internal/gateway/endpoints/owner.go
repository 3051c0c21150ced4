package endpoints

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns slot index of host: the one with the highest rendezvous
// hash. Ties go to the lower name. Without members it returns "".
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

func rendezvousScore(digest *xxhash.Digest, member, host string, index int) uint64 {
	var number [8]byte
	digest.Reset()
	_, _ = digest.WriteString(member)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(host)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(strconv.AppendInt(number[:0], int64(index), 10))
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
