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

// slots is a placer with a number of slots, and the usage that other gateways report.
type slots struct {
	free      int
	noRight   map[string]bool
	elsewhere map[string]float64
	order     []*pipe.Request
}

func (s *slots) Place(r *pipe.Request) PlaceResult {
	if s.noRight[r.Team] {
		return NoRight
	}
	if s.free == 0 {
		return NoSlot
	}
	s.free--
	s.order = append(s.order, r)
	r.Placement = pipe.Placement{Slot: oneSlot{}}
	return Placed
}

func (s *slots) RunningElsewhere(_, team string) float64 { return s.elsewhere[team] }

// oneSlot is a slot that nothing is sent to.
type oneSlot struct{ pipe.Slot }

func request(team string, share int) *pipe.Request {
	return &pipe.Request{
		PoolName: "desk", Team: team, Share: share, In: &fasthttp.Request{}, Ctx: context.Background(),
		Arrived: time.Now(), QueueDeadline: time.Now().Add(time.Minute),
	}
}

// fill queues waiting requests without a wait.
func fill(q *Queue, r *pipe.Request) *waiter {
	p := q.pool(r.PoolName)
	w := &waiter{request: r, ready: make(chan struct{}, 1), bytes: int64(len(r.In.Body()))}
	p.enter(w, false)
	return w
}

// Guards the pick by share: what gets a slot equals what a naive weighted max-min gives, which
// hands out slot by slot to the team with the lowest usage for its share.
func TestPickAgainstNaiveMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placer := &slots{elsewhere: map[string]float64{}}
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
				r := request(name, team.share)
				arrived = arrived.Add(1)
				r.Arrived = arrived
				fill(q, r)
			}
		}
		placer.free = rapid.IntRange(0, 30).Draw(t, "slots")
		naiveMaxMin(naive, placer.free)
		q.PlaceWaiting("desk")
		got := map[string]int{}
		for _, r := range placer.order {
			got[r.Team]++
		}
		for _, team := range naive {
			if got[team.name] != team.got {
				t.Fatalf("team %s got %d slots, want %d", team.name, got[team.name], team.got)
			}
		}
	})
}

type naiveTeam struct {
	name                      string
	share, demand, usage, got int
}

// naiveMaxMin hands out slots one by one; on equal usage the team whose requests are older goes first.
func naiveMaxMin(teams []*naiveTeam, slots int) {
	for range slots {
		var best *naiveTeam
		for _, team := range teams {
			if team.got == team.demand {
				continue
			}
			if best == nil || float64(team.usage+team.got)/float64(team.share) < float64(best.usage+best.got)/float64(best.share) {
				best = team
			}
		}
		if best == nil {
			return
		}
		best.got++
	}
}

// Guards a team without a right against holding up others, and the order within a team.
func TestTeamWithoutRightDoesNotBlockOthers(t *testing.T) {
	placer := &slots{free: 2, noRight: map[string]bool{"a": true}}
	q := New(Limits{Waiting: 10, Bytes: 1 << 20}, placer, placer, time.Now)
	fill(q, request("a", 100))
	first, second := request("b", 1), request("b", 1)
	fill(q, first)
	fill(q, second)
	q.PlaceWaiting("desk")
	assert.Assert(t, len(placer.order) == 2 && placer.order[0] == first && placer.order[1] == second)
}

// Guards the bounds of the queue: under overload the team furthest above its share loses its
// newest request, whoever comes last.
func TestShedsByShare(t *testing.T) {
	placer := &slots{elsewhere: map[string]float64{"small": 1}}
	q := New(Limits{Waiting: 4, Bytes: 100}, placer, placer, time.Now)
	var floods []*waiter
	for range 4 {
		floods = append(floods, fill(q, request("flood", 1)))
	}
	small := fill(q, request("small", 1))
	assert.Equal(t, floods[3].shed.Kind, fault.QueueFull)
	assert.Assert(t, floods[2].shed == nil && small.shed == nil)
	late := fill(q, request("flood", 1))
	assert.Equal(t, late.shed.Kind, fault.QueueFull)

	heavy := request("small", 1)
	heavy.In.SetBody(make([]byte, 101))
	assert.Equal(t, fill(q, heavy).shed.Kind, fault.QueueFull)
	assert.Assert(t, q.bytes.Load() <= 100 && q.Waiting() <= 4)
}

// Guards the end of a wait: by the deadline with the reason, and by a caller who leaves.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &slots{noRight: map[string]bool{"limited": true}}
		q := New(Limits{Waiting: 4, Bytes: 100}, placer, placer, time.Now)
		start := time.Now()
		assert.Equal(t, q.Enter(request("limited", 1), false).Kind, fault.TeamLimit)
		assert.Equal(t, q.Enter(request("other", 1), false).Kind, fault.QueueTimeout)
		assert.Equal(t, time.Since(start), 2*time.Minute)
		gone := request("other", 1)
		ctx, cancel := context.WithCancel(context.Background())
		gone.Ctx = ctx
		time.AfterFunc(time.Second, cancel)
		assert.Equal(t, q.Enter(gone, false).Kind, fault.CallerGone)
		assert.Equal(t, time.Since(start), 2*time.Minute+time.Second)
		assert.Equal(t, q.Waiting(), 0)
	})
}

// Guards the account of requests behind the first one of their team: they wait for the same reason,
// and an account that names free slots as missing would be false.
func TestAllWaitingRequestsTellTheReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &slots{free: 8, noRight: map[string]bool{"a": true}}
		q := New(Limits{Waiting: 100, Bytes: 1 << 20}, placer, placer, time.Now)
		const waiting = 5
		refused := make(chan *fault.Error, waiting)
		for range waiting {
			go func() { refused <- q.Enter(request("a", 1), false) }()
		}
		for range waiting {
			assert.Equal(t, (<-refused).Kind, fault.TeamLimit)
		}
	})
}
