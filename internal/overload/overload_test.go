package overload

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "turmericyoke/internal/fixedseed"
)

// job returns a job of a kind of equal sizes.
func job(due time.Duration, coreSeconds float64) Job {
	return Job{Due: due, Slack: due, Grace: due, Work: coreSeconds, Size: coreSeconds, Typical: coreSeconds, Credit: 1}
}

// Guards against a set of jobs that exceeds the capacity up to a deadline, and against one with fewer jobs than the largest
// feasible one: up to eight jobs on one core.
func TestOrderKeepsTheLargestFeasibleSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Snapshot{Cores: 1, Placed: float64(rapid.IntRange(0, 3).Draw(t, "placed"))}
		for range rapid.IntRange(0, 8).Draw(t, "jobs") {
			s.Jobs = append(s.Jobs, job(time.Duration(rapid.IntRange(1, 5).Draw(t, "due"))*time.Second, float64(rapid.IntRange(1, 20).Draw(t, "work"))))
		}
		slices.SortFunc(s.Jobs, func(a, b Job) int { return int(a.Due - b.Due) })
		feasible := func(set int) bool {
			used := s.Placed
			for n, j := range s.Jobs {
				if set>>n&1 == 1 {
					if used += j.Work; used > overcommitment*j.Due.Seconds() {
						return false
					}
				}
			}
			return true
		}
		most, selected := 0, 0
		for set := range 1 << len(s.Jobs) {
			if feasible(set) {
				most = max(most, bits.OnesCount(uint(set)))
			}
		}
		for n, position := range new(Planner).Order(&s) {
			if position.Group == OnTime {
				selected |= 1 << n
			}
		}
		assert.Assert(t, feasible(selected))
		assert.Equal(t, bits.OnesCount(uint(selected)), most)
	})
}

// Guards against jobs beyond a share, late ones or useless ones that get capacity before those that can be on time, and
// against urgent or nearly finished jobs that give way to equal ones.
func TestOrderOfJobs(t *testing.T) {
	jobs := []Job{job(9*time.Second, 4), job(9*time.Second, 4), job(9*time.Second, 4), job(-time.Second, 1), job(9*time.Second, 1), job(-time.Second, 1)}
	jobs[0].Priority, jobs[2].Work = 1, 1
	jobs[3].Grace, jobs[4].BeyondShare, jobs[5].Grace = 2*time.Second, true, 0
	positions := new(Planner).Order(&Snapshot{Cores: 100, Jobs: jobs})
	order := []int{0, 1, 2, 3, 4, 5}
	slices.SortFunc(order, func(a, b int) int { return positions[a].Compare(positions[b]) })
	assert.DeepEqual(t, order, []int{2, 1, 0, 3, 4, 5})
}

// Guards against rejecting jobs that can be on time, or late but of use, behind a backlog of 100 s of useless work, and
// against accepting those that would end too late behind 10 s of work.
func TestAdmission(t *testing.T) {
	s := Snapshot{Cores: 1, Jobs: []Job{job(60*time.Second, 10), job(-9*time.Second, 100)}}
	var b Backlog
	s.Jobs[0].ID, s.Jobs[1].ID = "first", "useless"
	b.Set(&s, new(Planner).Order(&s))
	jobs, last := b.GivesWayTo(Position{Group: Late})
	assert.Assert(t, jobs == 1 && last == "first", "gives way to %d jobs, the last one %q", jobs, last)
	for _, test := range []struct {
		name        string
		work        float64
		room        time.Duration
		beyondShare bool
		cause       string
	}{{"smaller", 1, 2 * time.Second, false, ""}, {"late", 20, 11 * time.Second, false, ""}, {"too late", 20, 2 * time.Second, false, CauseOverload}, {"beyond share", 1, time.Hour, true, CauseBeyondShare}} {
		offer := Offer{Job: job(time.Minute, test.work), Room: test.room, UntilShare: 3 * time.Second}
		offer.ID, offer.BeyondShare = test.name, test.beyondShare
		verdict := b.Admit(&offer)
		assert.Equal(t, verdict.Cause, test.cause, test.name)
		assert.Equal(t, verdict.RetryAfter > 0, test.cause != "", test.name)
	}
}

// Guards against callers that are rejected together and return at the same second: 1,000 of them behind 4 s of work.
func TestRetryDelaysAreSpread(t *testing.T) {
	returns := map[time.Duration]int{}
	for n := range 1000 {
		returns[spread(fmt.Sprint("job-", n), 4*time.Second)]++
	}
	assert.Assert(t, returns[4*time.Second] > 300 && returns[5*time.Second] > 300, "%v", returns)
}

// Guards against a customer that stays within its share but is cut off, and one that sends six times its share unnoticed.
func TestShares(t *testing.T) {
	var s Shares
	within := map[string]int{}
	for tick := range 600 {
		now := time.Duration(tick) * 100 * time.Millisecond
		for n := range 6 {
			if n == 0 && s.Take("usual", 10, now) {
				within["usual"]++
			}
			if s.Take("excessive", 10, now) {
				within["excessive"]++
			}
		}
	}
	assert.Equal(t, within["usual"], 600)
	assert.Assert(t, within["excessive"] >= 600 && within["excessive"] <= 620, "%v", within)
	s.Forget(func(string) float64 { return 10 }, time.Hour)
	assert.Equal(t, len(s.buckets), 0)
}

// Guards against large jobs that stay costly while none of them is served, and against a credit that outlasts the shortfall.
func TestCreditOfLargeJobs(t *testing.T) {
	var s Sizes
	for n := range 300 {
		now := time.Duration(n) * 10 * time.Millisecond
		size := float64(1 + n%10)
		if class := s.Offered("kind", size, now); class == Ordinary {
			s.Served("kind", class, now)
		}
	}
	class := s.ClassOf("kind", 10)
	assert.Assert(t, class != Ordinary && s.Credit("kind", class) < 0.1 && s.Credit("kind", Ordinary) == 1)
	for range 300 {
		s.Served("kind", class, 3*time.Second)
	}
	assert.Equal(t, s.Credit("kind", class), 1.0)
}
