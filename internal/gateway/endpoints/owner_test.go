package endpoints

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/structs"
)

// Guards the ownership of slots: gateways that hear the same members agree on one owner for each
// slot, in any order of members; only slots of a gateway that left get a new owner; and the slots
// are spread over the gateways.
func TestSlotOwnersAgreeAcrossGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 9).Draw(t, "gateways")
		members := make([]string, count)
		for i := range members {
			members[i] = fmt.Sprintf("g%d", i)
		}
		shuffled := slices.Clone(members)
		seed := rapid.Uint64().Draw(t, "seed")
		rand.New(rand.NewPCG(seed, 1)).Shuffle(count, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		left := members[:count-1]
		owned := map[string]int{}
		const hosts, slots = 20, 8
		for host := range hosts {
			name := fmt.Sprintf("h%d-%d", seed%100, host)
			total := 0
			for _, member := range members {
				total += ownedSlots(members, member, name, slots)
			}
			if total != slots {
				t.Fatalf("%d owners for %d slots", total, slots)
			}
			for index := range slots {
				owner := Owner(members, name, index)
				owned[owner]++
				if Owner(shuffled, name, index) != owner {
					t.Fatalf("the order of members changes the owner")
				}
				if after := Owner(left, name, index); owner != members[count-1] && after != owner {
					t.Fatalf("slot moved from %s to %s, though %s is still there", owner, after, owner)
				}
			}
		}
		for _, member := range members {
			if mean := hosts * slots / count; owned[member] < mean/3 || owned[member] > mean*5/2 {
				t.Fatalf("%s owns %d slots, the mean is %d", member, owned[member], mean)
			}
		}
	})
}

// Guards the table against handing out more slots than the gateway owns, and against slots of
// leaving endpoints, through random views, marks, membership and releases.
func TestTableTakesOnlyOwnedUsableSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Config{Self: "g0", Zone: "z1", Now: func() time.Time { return time.Unix(1, 0) }, OnSlotFreed: func(string) {}})
		members := []string{"g0"}
		epochs := []uint64{1, 1, 1}
		left := map[string]uint64{}
		held := map[string]int{}
		var taken []*endpointSlot
		t.Repeat(map[string]func(*rapid.T){
			"view": func(t *rapid.T) {
				host := rapid.IntRange(0, 2).Draw(t, "host")
				epochs[host] += uint64(rapid.IntRange(0, 1).Draw(t, "rise"))
				table.ApplySnapshot(fleet.NewSnapshot(&structs.View{Endpoints: testEndpoints(epochs)}, time.Time{}))
			},
			"mark": func(t *rapid.T) {
				host := fmt.Sprintf("h%d", rapid.IntRange(0, 2).Draw(t, "host"))
				epoch := rapid.Uint64Range(0, 4).Draw(t, "epoch")
				table.MarkLeaving(host, epoch)
				left[host] = max(left[host], epoch)
			},
			"members": func(*rapid.T) {
				members = []string{"g0", "g1", "g2"}[:rapid.IntRange(1, 3).Draw(t, "members")]
				table.SetMembers(members)
			},
			"take": func(t *rapid.T) {
				slot := table.Take("desk", "")
				if slot == nil {
					return
				}
				l := slot.(*endpointSlot)
				key := fmt.Sprint(l.endpoint.Host, l.endpoint.Epoch)
				held[key]++
				taken = append(taken, l)
				if owned := ownedSlots(members, "g0", l.endpoint.Host, 8); held[key] > owned {
					t.Fatalf("%d slots of %s taken, %d owned", held[key], key, owned)
				}
				if left[l.endpoint.Host] >= l.endpoint.Epoch {
					t.Fatalf("took a slot of %s, which is leaving", key)
				}
			},
			"release": func(t *rapid.T) {
				if len(taken) > 0 {
					l := taken[0]
					taken = taken[1:]
					held[fmt.Sprint(l.endpoint.Host, l.endpoint.Epoch)]--
					l.Release()
				}
			},
		})
	})
}

func testEndpoints(epochs []uint64) []structs.Endpoint {
	var list []structs.Endpoint
	for i, epoch := range epochs {
		list = append(list, structs.Endpoint{Host: fmt.Sprintf("h%d", i), Address: "127.0.0.1:1", Pool: "desk", Zone: "z1", Slots: 8, Epoch: epoch})
	}
	return list
}
