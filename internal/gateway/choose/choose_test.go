package choose

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericyoke/internal/fault"
	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/rights"
)

// fakeGateway implements Slots, rights.Source and Peers for a gateway without peers.
type fakeGateway struct {
	// owned and free are the numbers of owned and free slots, and rights the number of free rights.
	owned, free, rights int
}

func (g *fakeGateway) TakeSlot(string, string) pipe.Slot {
	if g.free == 0 {
		return nil
	}
	g.free--
	return fakeSlot{}
}
func (g *fakeGateway) SlotCounts(string) endpoints.SlotCounts {
	return endpoints.SlotCounts{Owned: g.owned, Free: g.free}
}

func (g *fakeGateway) Acquire(string) (rights.AcquiredRight, *fault.Error) {
	if g.rights == 0 {
		return rights.AcquiredRight{}, fault.New(fault.TeamLimit, "none")
	}
	g.rights--
	return rights.AcquiredRight{Release: func() { g.rights++ }}, nil
}
func (g *fakeGateway) Free(string) uint64                         { return uint64(g.rights) }
func (g *fakeGateway) LeaseHeld() bool                            { return true }
func (g *fakeGateway) PickWithFreeSlot(string, string) *pipe.Peer { return nil }
func (g *fakeGateway) PickWithRight(string, string) *pipe.Peer    { return nil }
func (g *fakeGateway) PickAboveShare(string, string) *pipe.Peer   { return nil }
func (g *fakeGateway) PickForSpill(string) *pipe.Peer             { return nil }

// fakeSlot is a slot whose methods the test doesn't call.
type fakeSlot struct{ pipe.Slot }

// Guards against a right or slot that is taken without the other one, and against more requests from other
// zones than the limits permit: they may use a fifth of the slots, and none is accepted if 70% of the slots
// are busy.
func TestPlaceTakesRightAndSlotOrNeither(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gw := &fakeGateway{owned: rapid.IntRange(0, 20).Draw(t, "owned"), rights: rapid.IntRange(0, 20).Draw(t, "rights")}
		gw.free = gw.owned
		placer := New(gw, gw, gw)
		fromOtherZones := 0
		for range 40 {
			before := *gw
			r := &pipe.Request{PoolName: "desk", Team: "a"}
			r.Forwarded = rapid.Bool().Draw(t, "crossed")
			r.RightHeld, r.CrossedZone = r.Forwarded, r.Forwarded
			placed := placer.Place(r) == queue.Placed
			if !placed && *gw != before {
				t.Fatalf("a request that wasn't placed changed the slots or rights to %+v, from %+v", *gw, before)
			}
			if placed && (gw.free != before.free-1 || (gw.rights != before.rights-1) != r.RightHeld) {
				t.Fatalf("a placed request took the wrong slots or rights: %+v are left of %+v", *gw, before)
			}
			if !r.CrossedZone || !placed {
				continue
			}
			if fromOtherZones++; fromOtherZones*5 > gw.owned || (before.owned-before.free)*10 >= before.owned*7 {
				t.Fatalf("request %d from another zone was placed beyond the limits, with %+v", fromOtherZones, before)
			}
			if rapid.Bool().Draw(t, "ends") {
				fromOtherZones--
				gw.free++
				placer.AttemptEnded(r)
			}
		}
		assert.Equal(t, placer.runningFromOtherZones["desk"], fromOtherZones)
	})
}
