package overload

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// shortBacklog is the wait of the jobs within their customers' shares from which jobs beyond a share are rejected. Shorter
	// waits arise without overload, from jobs that arrive at the same moment.
	shortBacklog = 250 * time.Millisecond
	// minRetryAfter is the shortest retry delay that the platform passes on, and maxRetryAfter is longer than any peak:
	// the load of a pool isn't known further ahead.
	minRetryAfter, maxRetryAfter = time.Second, 10 * time.Second
	// minSpread is the least time over which the returns of callers are spread that are rejected at the same moment, and
	// spreadShare is this time relative to the delay, since the delay is the less certain the longer it is.
	minSpread, spreadShare = time.Second, 0.5
)

// Causes of rejections.
const (
	// CauseOverload: the job would end after its completion is of use.
	CauseOverload = "overload"
	// CauseBeyondShare: its customer is beyond its share, and other customers' jobs wait.
	CauseBeyondShare = "beyond_share"
)

// Offer is a submitted job.
type Offer struct {
	Job
	// Room is the longest wait after which the completed job is still of use.
	Room time.Duration
	// UntilShare is the time until its customer may send a job within its share.
	UntilShare time.Duration
}

// Verdict is the decision on an offer.
type Verdict struct {
	// Cause is why the job is rejected; empty if it is accepted.
	Cause    string
	Position Position
	// Wait is the predicted wait: the time in which the pool does the work that gets capacity before the job.
	Wait, RetryAfter time.Duration
}

// Admit decides whether a job is accepted. A job that would be late is accepted as long as it would be of use.
func (b *Backlog) Admit(offer *Offer) Verdict {
	verdict := Verdict{Position: b.Place(&offer.Job)}
	verdict.Wait = b.timeFor(b.WorkAhead(verdict.Position))
	needed := verdict.Wait - offer.Room
	switch {
	case offer.BeyondShare && b.timeFor(b.total[OnTime]+b.total[Late]) >= shortBacklog:
		verdict.Cause, needed = CauseBeyondShare, max(needed, offer.UntilShare)
	case needed > 0:
		verdict.Cause = CauseOverload
	default:
		return verdict
	}
	verdict.RetryAfter = spread(offer.ID, needed)
	return verdict
}

// timeFor returns the time in which the pool does the work.
func (b *Backlog) timeFor(coreSeconds float64) time.Duration {
	if coreSeconds <= 0 {
		return 0
	}
	return time.Duration(min(coreSeconds/b.cores, math.MaxInt32) * float64(time.Second))
}

// spread returns a retry delay of whole seconds near the given one. Callers wait for whole seconds, so that delays which
// differ by less would be the same for all of them. The delay follows from the job's ID: a decision can be repeated.
func spread(id string, delay time.Duration) time.Duration {
	hash := fnv.New32a()
	hash.Write([]byte(id)) // Hashes don't return errors.
	fraction := float64(hash.Sum32()) / math.MaxUint32
	delay = min(max(0, delay), maxRetryAfter)
	window := max(minSpread, time.Duration(spreadShare*float64(delay)))
	return max(minRetryAfter, (delay + time.Duration(fraction*float64(window))).Truncate(time.Second))
}
