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

// zone is a gateway's slots, its rights, and no peers.
type zone struct {
	owned, free, rights int
}

func (z *zone) Take(string, string) pipe.Slot {
	if z.free == 0 {
		return nil
	}
	z.free--
	return slot{}
}
func (z *zone) Room(string) endpoints.SlotCounts {
	return endpoints.SlotCounts{Owned: z.owned, Free: z.free}
}

func (z *zone) Acquire(string) (rights.Use, *fault.Error) {
	if z.rights == 0 {
		return rights.Use{}, fault.New(fault.TeamLimit, "none")
	}
	z.rights--
	return rights.Use{Release: func() { z.rights++ }}, nil
}
func (z *zone) Free(string) uint64                   { return uint64(z.rights) }
func (z *zone) LeaseHeld() bool                      { return true }
func (z *zone) WithSlot(string, string) *pipe.Peer   { return nil }
func (z *zone) WithRight(string, string) *pipe.Peer  { return nil }
func (z *zone) AboveShare(string, string) *pipe.Peer { return nil }
func (z *zone) Spill(string) *pipe.Peer              { return nil }

type slot struct{ pipe.Slot }

// Guards right and slot against being taken alone, and the zone against more work from other zones
// than the bounds permit: a fifth of the slots, and none from 70% busy on.
func TestPlaceTakesBothOrNeither(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := &zone{owned: rapid.IntRange(0, 20).Draw(t, "owned"), rights: rapid.IntRange(0, 20).Draw(t, "rights")}
		z.free = z.owned
		c := New(z, z, z)
		crossed := 0
		for range 40 {
			before := *z
			r := &pipe.Request{PoolName: "desk", Team: "a"}
			r.Forwarded = rapid.Bool().Draw(t, "crossed")
			r.RightHeld, r.CrossedZone = r.Forwarded, r.Forwarded
			placed := c.Place(r) == queue.Placed
			if !placed && *z != before {
				t.Fatalf("kept something of a request without a place: %+v, before %+v", *z, before)
			}
			if placed && (z.free != before.free-1 || (z.rights != before.rights-1) != r.RightHeld) {
				t.Fatalf("took %+v of %+v", *z, before)
			}
			if !r.CrossedZone || !placed {
				continue
			}
			if crossed++; crossed*5 > z.owned || (before.owned-before.free)*10 >= before.owned*7 {
				t.Fatalf("request %d from another zone placed with %+v", crossed, before)
			}
			if rapid.Bool().Draw(t, "ends") {
				crossed--
				z.free++
				c.Ended(r)
			}
		}
		assert.Equal(t, c.crossed["desk"], crossed)
	})
}
