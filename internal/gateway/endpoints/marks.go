package endpoints

import v1 "turmericyoke/api/turmericyoke/v1"

// maxMarks bounds the marks of hosts that the view doesn't have; the design scale is 2,800 hosts.
const maxMarks = 4096

// marks holds for each leaving host the highest host epoch that is known to be leaving. A higher
// epoch isn't covered by the mark, so a stale report can't bring the endpoint back.
type marks map[string]uint64

// add notes that the host is leaving at epoch, and reports whether that is new.
func (m marks) add(host string, epoch uint64) bool {
	known, marked := m[host]
	if marked && known >= epoch {
		return false
	}
	if !marked && len(m) >= maxMarks {
		return false
	}
	m[host] = epoch
	return true
}

// covers reports whether the host is leaving at epoch.
func (m marks) covers(host string, epoch uint64) bool {
	known, marked := m[host]
	return marked && known >= epoch
}

// prune drops marks that newer epochs have cleared, and those of hosts that left the view when
// there are too many.
func (m marks) prune(epochs map[string]uint64) {
	for host, epoch := range m {
		current, present := epochs[host]
		cleared := present && current > epoch
		foreign := !present && len(m) > maxMarks/2
		if cleared || foreign {
			delete(m, host)
		}
	}
}

// Leaving returns the marks for the exchange with peers.
func (t *Table) Leaving() []*v1.LeavingEndpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*v1.LeavingEndpoint, 0, len(t.marks))
	for host, epoch := range t.marks {
		list = append(list, &v1.LeavingEndpoint{Endpoint: host, HostEpoch: epoch})
	}
	return list
}

// MarkLeaving notes that the host takes no new work at epoch.
func (t *Table) MarkLeaving(host string, epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marks.add(host, epoch)
}
