package queue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericyoke/internal/fault"
	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/gateway/pipe"
)

// slotPlacer is a Placer with a number of free slots. It is also the FleetUsage of the tests.
type slotPlacer struct {
	free      int
	noRight   map[string]bool
	elsewhere map[string]float64
	// placed holds the placed requests in order.
	placed []*pipe.Request
}

func (s *slotPlacer) Place(r *pipe.Request) PlaceResult {
	if s.noRight[r.Team] {
		return NoRight
	}
	if s.free == 0 {
		return NoSlot
	}
	s.free--
	s.placed = append(s.placed, r)
	r.Placement = pipe.Placement{Slot: fakeSlot{}}
	return Placed
}

func (s *slotPlacer) RunningElsewhere(_, team string) float64 { return s.elsewhere[team] }

// fakeSlot is a slot on which no request is sent.
type fakeSlot struct{ pipe.Slot }

func newRequest(team string, share int) *pipe.Request {
	return &pipe.Request{
		PoolName: "desk", Team: team, Share: share, HTTPRequest: &fasthttp.Request{}, Ctx: context.Background(),
		Arrived: time.Now(), QueueDeadline: time.Now().Add(time.Minute),
	}
}

// enqueue adds r to the queue without blocking or placing requests.
func enqueue(q *Queue, r *pipe.Request) *waiter {
	p := q.poolQueue(r.PoolName)
	w := &waiter{request: r, ready: make(chan struct{}, 1), bytes: int64(len(r.HTTPRequest.Body()))}
	p.enqueue(w, false)
	return w
}

// Slots must be divided among teams in proportion to their shares. The expected numbers come from a naive
// weighted max-min, which gives each slot to the team with the lowest usage for its share.
func TestPickAgainstNaiveMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placer := &slotPlacer{elsewhere: map[string]float64{}}
		q := New(Limits{Waiting: 1000, Bytes: 1 << 20}, placer, placer, time.Now)
		var naive []*naiveTeam
		arrived := time.Unix(0, 0)
		for _, name := range []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "teams")] {
			team := &naiveTeam{
				name: name, share: rapid.IntRange(1, 9).Draw(t, "share"),
				demand: rapid.IntRange(0, 12).Draw(t, "demand"), usage: rapid.IntRange(0, 5).Draw(t, "elsewhere"),
			}
			naive = append(naive, team)
			placer.elsewhere[name] = float64(team.usage)
			for range team.demand {
				r := newRequest(name, team.share)
				arrived = arrived.Add(1)
				r.Arrived = arrived
				enqueue(q, r)
			}
		}
		placer.free = rapid.IntRange(0, 30).Draw(t, "slots")
		naiveMaxMin(naive, placer.free)
		q.PlaceWaiting("desk")
		slotsByTeam := map[string]int{}
		for _, r := range placer.placed {
			slotsByTeam[r.Team]++
		}
		for _, team := range naive {
			if slotsByTeam[team.name] != team.slots {
				t.Fatalf("team %s got %d slots, want %d", team.name, slotsByTeam[team.name], team.slots)
			}
		}
	})
}

type naiveTeam struct {
	name                        string
	share, demand, usage, slots int
}

// naiveMaxMin gives out slots one by one. On equal usage the first team in the list gets the slot, whose
// requests are older.
func naiveMaxMin(teams []*naiveTeam, slots int) {
	for range slots {
		var best *naiveTeam
		for _, team := range teams {
			if team.slots == team.demand {
				continue
			}
			if best == nil || float64(team.usage+team.slots)/float64(team.share) < float64(best.usage+best.slots)/float64(best.share) {
				best = team
			}
		}
		if best == nil {
			return
		}
		best.slots++
	}
}

// A team without a free right must not delay other teams, and the requests of a team are placed in order.
func TestTeamWithoutRightDoesNotBlockOthers(t *testing.T) {
	placer := &slotPlacer{free: 2, noRight: map[string]bool{"a": true}}
	q := New(Limits{Waiting: 10, Bytes: 1 << 20}, placer, placer, time.Now)
	enqueue(q, newRequest("a", 100))
	first, second := newRequest("b", 1), newRequest("b", 1)
	enqueue(q, first)
	enqueue(q, second)
	q.PlaceWaiting("desk")
	assert.Assert(t, len(placer.placed) == 2 && placer.placed[0] == first && placer.placed[1] == second)
}

// The queue must keep its bounds. Under overload the newest request of the team furthest above its share is
// shed, whichever team's request came last.
func TestShedsByShare(t *testing.T) {
	placer := &slotPlacer{elsewhere: map[string]float64{"small": 1}}
	q := New(Limits{Waiting: 4, Bytes: 100}, placer, placer, time.Now)
	var flood []*waiter
	for range 4 {
		flood = append(flood, enqueue(q, newRequest("flood", 1)))
	}
	small := enqueue(q, newRequest("small", 1))
	assert.Equal(t, flood[3].shedFault.Kind, fault.QueueFull)
	assert.Assert(t, flood[2].shedFault == nil && small.shedFault == nil)
	late := enqueue(q, newRequest("flood", 1))
	assert.Equal(t, late.shedFault.Kind, fault.QueueFull)

	tooLarge := newRequest("small", 1)
	tooLarge.HTTPRequest.SetBody(make([]byte, 101))
	assert.Equal(t, enqueue(q, tooLarge).shedFault.Kind, fault.QueueFull)
	assert.Assert(t, q.waitingBytes.Load() <= 100 && q.Waiting() <= 4)
}

// A wait must end at the queue deadline, with the reason for the wait, or when the caller disconnects.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &slotPlacer{noRight: map[string]bool{"limited": true}}
		q := New(Limits{Waiting: 4, Bytes: 100}, placer, placer, time.Now)
		start := time.Now()
		assert.Equal(t, q.AwaitPlacement(newRequest("limited", 1), false).Kind, fault.TeamLimit)
		assert.Equal(t, q.AwaitPlacement(newRequest("other", 1), false).Kind, fault.QueueTimeout)
		assert.Equal(t, time.Since(start), 2*time.Minute)
		cancelled := newRequest("other", 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancelled.Ctx = ctx
		time.AfterFunc(time.Second, cancel)
		assert.Equal(t, q.AwaitPlacement(cancelled, false).Kind, fault.CallerGone)
		assert.Equal(t, time.Since(start), 2*time.Minute+time.Second)
		assert.Equal(t, q.Waiting(), 0)
	})
}

// Only the first waiting request of a team is tried, but those behind it wait for the same reason: here a
// right is missing and slots are free, so a refusal that names a missing slot would be false.
func TestAllWaitingRequestsAreRefusedWithTheReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &slotPlacer{free: 8, noRight: map[string]bool{"a": true}}
		q := New(Limits{Waiting: 100, Bytes: 1 << 20}, placer, placer, time.Now)
		const waiting = 5
		refused := make(chan *fault.Error, waiting)
		for range waiting {
			go func() { refused <- q.AwaitPlacement(newRequest("a", 1), false) }()
		}
		for range waiting {
			assert.Equal(t, (<-refused).Kind, fault.TeamLimit)
		}
	})
}
