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

// Gateways that know the same members must agree on one owner for each slot, whatever the order of the
// members. Otherwise two gateways use one slot and none uses another. When a gateway leaves, only its slots may
// get a new owner. The slots must be spread over the gateways.
func TestSlotOwnersAgreeAcrossGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memberCount := rapid.IntRange(2, 9).Draw(t, "gateways")
		members := make([]string, memberCount)
		for i := range members {
			members[i] = fmt.Sprintf("g%d", i)
		}
		shuffled := slices.Clone(members)
		seed := rapid.Uint64().Draw(t, "seed")
		rand.New(rand.NewPCG(seed, 1)).Shuffle(memberCount, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		remaining := members[:memberCount-1]
		owned := map[string]int{}
		const hosts, slots = 20, 8
		for host := range hosts {
			name := fmt.Sprintf("h%d-%d", seed%100, host)
			ownedByAll := 0
			for _, member := range members {
				ownedByAll += ownedSlots(members, member, name, slots)
			}
			if ownedByAll != slots {
				t.Fatalf("all members together own %d slots: want %d", ownedByAll, slots)
			}
			for index := range slots {
				owner := Owner(members, name, index)
				owned[owner]++
				if Owner(shuffled, name, index) != owner {
					t.Fatalf("another order of the members changes the owner of a slot")
				}
				if newOwner := Owner(remaining, name, index); owner != members[memberCount-1] && newOwner != owner {
					t.Fatalf("a slot moved from %s to %s although %s is still a member", owner, newOwner, owner)
				}
			}
		}
		for _, member := range members {
			if mean := hosts * slots / memberCount; owned[member] < mean/3 || owned[member] > mean*5/2 {
				t.Fatalf("%s owns %d slots: want near the mean of %d", member, owned[member], mean)
			}
		}
	})
}

// The table must never give out more slots of an endpoint than the gateway owns, nor slots of leaving
// endpoints, whatever the sequence of new views, leaving hosts, changes of members, takes and releases.
func TestTableTakesOnlyOwnedUsableSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Config{Self: "g0", Zone: "z1", Now: func() time.Time { return time.Unix(1, 0) }, OnSlotFreed: func(string) {}})
		members := []string{"g0"}
		epochs := []uint64{1, 1, 1}
		leavingAt := map[string]uint64{}
		busy := map[string]int{}
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
				leavingAt[host] = max(leavingAt[host], epoch)
			},
			"members": func(*rapid.T) {
				members = []string{"g0", "g1", "g2"}[:rapid.IntRange(1, 3).Draw(t, "members")]
				table.SetMembers(members)
			},
			"take": func(t *rapid.T) {
				slot := table.TakeSlot("desk", "")
				if slot == nil {
					return
				}
				s := slot.(*endpointSlot)
				key := fmt.Sprint(s.endpoint.Host, s.endpoint.Epoch)
				busy[key]++
				taken = append(taken, s)
				if owned := ownedSlots(members, "g0", s.endpoint.Host, 8); busy[key] > owned {
					t.Fatalf("%d slots of %s are taken, but the gateway owns only %d", busy[key], key, owned)
				}
				if leavingAt[s.endpoint.Host] >= s.endpoint.Epoch {
					t.Fatalf("TakeSlot returned a slot of %s, which is leaving", key)
				}
			},
			"release": func(t *rapid.T) {
				if len(taken) > 0 {
					s := taken[0]
					taken = taken[1:]
					busy[fmt.Sprint(s.endpoint.Host, s.endpoint.Epoch)]--
					s.Release()
				}
			},
		})
	})
}

func testEndpoints(epochs []uint64) []structs.Endpoint {
	var endpoints []structs.Endpoint
	for i, epoch := range epochs {
		endpoints = append(endpoints, structs.Endpoint{Host: fmt.Sprintf("h%d", i), Address: "127.0.0.1:1", Pool: "desk", Zone: "z1", Slots: 8, Epoch: epoch})
	}
	return endpoints
}
