// Package lease decides how long a gateway may admit work without hearing from the log. A gateway renews its
// lease by heartbeats through the log, or by responses from a quorum of the members of its zone. Members that
// no longer hear a gateway can vow never to renew its lease again; after a quorum of vows, its rights can be
// reclaimed.
package lease

// IsQuorum reports whether the members for which present returns true are more than half of
// members, or exactly half including the lowest name. Any two quorums of the same members have
// a member in common. The names must be distinct.
func IsQuorum(members []string, present func(name string) bool) bool {
	if len(members) == 0 {
		return false
	}
	lowest := members[0]
	count := 0
	for _, name := range members {
		if name < lowest {
			lowest = name
		}
		if present(name) {
			count++
		}
	}
	if 2*count == len(members) {
		return present(lowest)
	}
	return 2*count > len(members)
}
