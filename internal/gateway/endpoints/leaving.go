package endpoints

import v1 "turmericyoke/api/turmericyoke/v1"

// maxLeavingHosts bounds the number of recorded hosts, since peers also report hosts that aren't in
// this gateway's view. The design scale is 2,800 hosts.
const maxLeavingHosts = 4096

// leavingEpochs holds for each leaving host the highest host epoch at which it is known to be leaving.
// The host is in use again only at a higher epoch, so a stale report can't bring it back.
type leavingEpochs map[string]uint64

// add records that the host is leaving at epoch, and reports whether it did. It does nothing if the same or a
// higher epoch is recorded already, or if maxLeavingHosts other hosts are.
func (m leavingEpochs) add(host string, epoch uint64) bool {
	leavingEpoch, found := m[host]
	if found && leavingEpoch >= epoch {
		return false
	}
	if !found && len(m) >= maxLeavingHosts {
		return false
	}
	m[host] = epoch
	return true
}

// isLeaving reports whether the host is leaving at epoch.
func (m leavingEpochs) isLeaving(host string, epoch uint64) bool {
	leavingEpoch, found := m[host]
	return found && leavingEpoch >= epoch
}

// prune deletes the entries of hosts that have a higher epoch in the view. If more than half of
// maxLeavingHosts are recorded, it also deletes the entries of hosts that aren't in the view. epochs holds
// the host epochs in the view.
func (m leavingEpochs) prune(epochs map[string]uint64) {
	for host, epoch := range m {
		current, present := epochs[host]
		superseded := present && current > epoch
		unlisted := !present && len(m) > maxLeavingHosts/2
		if superseded || unlisted {
			delete(m, host)
		}
	}
}

// Leaving returns the leaving hosts for the report to peers.
func (t *Table) Leaving() []*v1.LeavingEndpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaving := make([]*v1.LeavingEndpoint, 0, len(t.leaving))
	for host, epoch := range t.leaving {
		leaving = append(leaving, &v1.LeavingEndpoint{Endpoint: host, HostEpoch: epoch})
	}
	return leaving
}

// MarkLeaving records that the host takes no new requests until its host epoch is higher than epoch.
func (t *Table) MarkLeaving(host string, epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving.add(host, epoch)
}
