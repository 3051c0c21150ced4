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
	// activeFor is how long a customer counts as sending after its last job.
	activeFor = 10 * time.Second
)

// account is what a customer was promised in a pool.
type account struct {
	// served is until when its guaranteed rate is taken by the jobs that it sent.
	served time.Duration
	last   time.Duration
}

// ahead books the work of a job and returns by how many steps the customer is ahead of its share.
func (c *Core) ahead(def *work.Job, cores float64, now time.Duration) int {
	p := c.pool(def.Queue.Pool)
	a := p.accounts[def.Customer]
	if a == nil {
		a = &account{}
		p.accounts[def.Customer] = a
	}
	a.last = now
	shares := 0.0
	for name, other := range p.accounts {
		if now-other.last <= activeFor {
			shares += c.shareOf(name)
		}
	}
	if cores <= 0 || shares <= 0 {
		return 0
	}
	rate := cores * c.shareOf(def.Customer) / shares
	ahead := max(0, a.served-now)
	a.served = now + ahead + time.Duration(c.workOf(def)/rate*float64(time.Second))
	return min(maxShareSteps, int(ahead/shareStep))
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
