package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// suspendableHost has a monotonic clock that stops while the host is suspended, and a boot clock that doesn't.
type suspendableHost struct {
	monotonic time.Time
	boot      time.Duration
}

func (h *suspendableHost) run(span time.Duration) {
	h.monotonic, h.boot = h.monotonic.Add(span), h.boot+span
}
func (h *suspendableHost) suspend(span time.Duration) { h.boot += span }

// Guards against a gateway that admits work under a lease that ran out while its host was suspended: the monotonic clock
// stood still, so that the lease seemed valid although the others had taken its rights.
func TestLeaseEndsWithASuspension(t *testing.T) {
	host := &suspendableHost{monotonic: time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC), boot: time.Hour}
	self, peer, other := Ref{Name: "gw-1", Incarnation: "1"}, Ref{Name: "gw-2", Incarnation: "1"}, Ref{Name: "gw-3", Incarnation: "1"}
	m := NewManager(func() time.Time { return host.monotonic }, func() time.Duration { return host.boot })
	m.SetMembers(self, []Ref{self, peer, other}, func(Ref) bool { return true })
	m.RecordRenewal(peer, host.monotonic)
	host.run(Duration / 2)
	assert.Assert(t, m.Valid())

	sentBefore := host.monotonic
	host.suspend(time.Minute)
	host.run(time.Millisecond)
	assert.Assert(t, !m.Valid(), "the lease is valid after the host was suspended for a minute")
	m.RecordRenewal(peer, sentBefore)
	m.RecordHeartbeat(self.Incarnation, sentBefore)
	assert.Assert(t, !m.Valid(), "a response to a request from before the suspension renews the lease")
	assert.Assert(t, m.NeedsHeartbeat())

	host.run(time.Millisecond)
	m.RecordRenewal(peer, host.monotonic)
	host.run(time.Millisecond)
	assert.Assert(t, m.Valid(), "the lease isn't renewed after the suspension")
}
