package endpoints

import v1 "turmericyoke/api/turmericyoke/v1"

// maxLeavingHosts bounds the marks of hosts that the view doesn't have; the design scale is 2,800 hosts.
const maxLeavingHosts = 4096

// leavingEpochs holds for each leaving host the highest host epoch that is known to be leaving. A higher
// epoch isn't covered by the mark, so a stale report can't bring the endpoint back.
type leavingEpochs map[string]uint64

// add notes that the host is leaving at epoch, and reports whether that is new.
func (m leavingEpochs) add(host string, epoch uint64) bool {
	known, marked := m[host]
	if marked && known >= epoch {
		return false
	}
	if !marked && len(m) >= maxLeavingHosts {
		return false
	}
	m[host] = epoch
	return true
}

// isLeaving reports whether the host is leaving at epoch.
func (m leavingEpochs) isLeaving(host string, epoch uint64) bool {
	known, marked := m[host]
	return marked && known >= epoch
}

// prune drops marks that newer epochs have cleared, and those of hosts that left the view when
// there are too many.
func (m leavingEpochs) prune(epochs map[string]uint64) {
	for host, epoch := range m {
		current, present := epochs[host]
		cleared := present && current > epoch
		foreign := !present && len(m) > maxLeavingHosts/2
		if cleared || foreign {
			delete(m, host)
		}
	}
}

// Leaving returns the marks for the exchange with peers.
func (t *Table) Leaving() []*v1.LeavingEndpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*v1.LeavingEndpoint, 0, len(t.leaving))
	for host, epoch := range t.leaving {
		list = append(list, &v1.LeavingEndpoint{Endpoint: host, HostEpoch: epoch})
	}
	return list
}

// MarkLeaving notes that the host takes no new work at epoch.
func (t *Table) MarkLeaving(host string, epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving.add(host, epoch)
}
