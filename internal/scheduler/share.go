package scheduler

import (
	"time"

	"turmericyoke/internal/work"
)

// Fair sharing protects the other customers of a pool from one that sends many times its usual load. Each
// customer has a guaranteed rate in a pool: its share of the pool's cores among the customers that sent
// jobs recently. The work that a customer submits is booked at that rate, one job after the other. If a
// customer submits no more than its rate allows, its booked time doesn't run ahead of the current time. The
// more it submits beyond its rate, the further its booked time runs ahead. Its jobs are then placed after
// those of customers whose booked time is less far ahead.
const (
	// overuseLevelTime is how far the booked time must run ahead for each overuse level: customers with the same
	// level are treated alike. maxOveruseLevel limits the level, so that no customer waits for ever.
	overuseLevelTime = 2 * time.Second
	maxOveruseLevel  = 4
	// customerActiveTime is how long after its last job a customer counts among those that share a pool.
	customerActiveTime = 10 * time.Second
)

// account is the work that a customer has booked in a pool.
type account struct {
	// bookedUntil is when the submitted jobs of the customer would be done at its guaranteed rate.
	bookedUntil time.Duration
	// lastJob is when the customer's last job was accepted.
	lastJob time.Duration
}

// overuseLevel returns the overuse level of the job's customer in the job's pool.
func (c *Core) overuseLevel(def *work.Job, now time.Duration) int {
	a := c.statsOf(def.Queue.Pool).accounts[def.Customer]
	if a == nil {
		return 0
	}
	return min(maxOveruseLevel, int(max(0, a.bookedUntil-now)/overuseLevelTime))
}

// bookWork books the work of an accepted job for its customer. The active customers share the given cores. It returns
// the booked time.
func (c *Core) bookWork(def *work.Job, cores float64, now time.Duration) time.Duration {
	stats := c.statsOf(def.Queue.Pool)
	a := stats.accounts[def.Customer]
	if a == nil {
		a = &account{}
		stats.accounts[def.Customer] = a
	}
	a.lastJob = now
	totalShares := 0.0
	for name, other := range stats.accounts {
		if now-other.lastJob <= customerActiveTime {
			totalShares += c.shareOf(name)
		}
	}
	if cores <= 0 || totalShares <= 0 {
		return 0
	}
	rate := cores * c.shareOf(def.Customer) / totalShares
	booked := time.Duration(c.predictCoreSeconds(def) / rate * float64(time.Second))
	a.bookedUntil = max(a.bookedUntil, now) + booked
	return booked
}

// cancelBooking takes back the booked work of a job that is rejected after all.
func (c *Core) cancelBooking(j *job) {
	if a := c.statsOf(j.def.Queue.Pool).accounts[j.def.Customer]; a != nil {
		a.bookedUntil -= j.booked
	}
}

// shareOf returns the configured share of a customer, and 1 for a customer that isn't configured.
func (c *Core) shareOf(customer string) float64 {
	if c.config != nil {
		if known, ok := c.config.Customers[customer]; ok {
			return known.Share
		}
	}
	return 1
}
