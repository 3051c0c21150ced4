package scheduler

import (
	"time"

	"turmericyoke/internal/work"
)

// Shares answer the load of a customer that sends many times its usual. Each customer has a
// guaranteed rate in a pool, its share of the pool's cores among the customers that sent lately. A
// customer that stays within it is never ahead; the work of one that sends more is numbered further
// and further ahead of time, and goes after the work of those who are less ahead.
const (
	// shareStep is by how much of its guaranteed rate customers must differ to be told apart, and
	// maxShareSteps bounds the difference, so that nobody waits for ever.
	shareStep     = 2 * time.Second
	maxShareSteps = 4
	// customerActiveTime is how long a customer counts as sending after its last job.
	customerActiveTime = 10 * time.Second
)

// account is what a customer was promised in a pool.
type account struct {
	// bookedUntil is until when its guaranteed rate is taken by the jobs that it sent.
	bookedUntil time.Duration
	lastJob     time.Duration
}

// stepsAheadOfShare returns by how many steps the customer of the job is ahead of its share.
func (c *Core) stepsAheadOfShare(def *work.Job, now time.Duration) int {
	a := c.statsOf(def.Queue.Pool).accounts[def.Customer]
	if a == nil {
		return 0
	}
	return min(maxShareSteps, int(max(0, a.bookedUntil-now)/shareStep))
}

// bookWork books the work of an accepted job.
func (c *Core) bookWork(def *work.Job, cores float64, now time.Duration) {
	p := c.statsOf(def.Queue.Pool)
	a := p.accounts[def.Customer]
	if a == nil {
		a = &account{}
		p.accounts[def.Customer] = a
	}
	a.lastJob = now
	shares := 0.0
	for name, other := range p.accounts {
		if now-other.lastJob <= customerActiveTime {
			shares += c.shareOf(name)
		}
	}
	if cores <= 0 || shares <= 0 {
		return
	}
	rate := cores * c.shareOf(def.Customer) / shares
	a.bookedUntil = max(a.bookedUntil, now) + time.Duration(c.predictCoreSeconds(def)/rate*float64(time.Second))
}

// shareOf is the weight of a customer.
func (c *Core) shareOf(customer string) float64 {
	if c.config != nil {
		if known, ok := c.config.Customers[customer]; ok {
			return known.Share
		}
	}
	return 1
}
