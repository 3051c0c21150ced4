package relay

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// usageLogInterval is the interval at which the use of relays is logged.
const usageLogInterval = 5 * time.Second

// counters are the totals of Usage.
type counters struct {
	calls, direct, batches, batched, notSent, unlisted, unknown atomic.Int64
}

func (c *counters) batch(calls int) {
	c.batches.Add(1)
	c.batched.Add(int64(calls))
}

func (c *counters) resolved(result *resolved) {
	switch result.fate {
	case fateNotSent:
		c.notSent.Add(1)
		if result.reason == reasonUnlisted {
			c.unlisted.Add(1)
		}
	case fateUnknown:
		c.unknown.Add(1)
	}
}

// Usage are totals of the calls to workers.
type Usage struct {
	// Calls are all calls, and Direct those that this process made itself.
	Calls, Direct int64
	// Batches are the batches written to relays, and Batched the calls in them.
	Batches, Batched int64
	// NotSent are the calls that a relay didn't send, and Unlisted those of them whose workers it doesn't know.
	NotSent, Unlisted int64
	// Unknown are the calls whose outcome a relay didn't return.
	Unknown int64
}

// Usage returns the totals since the router was made.
func (r *Router) Usage() Usage {
	c := &r.counters
	return Usage{c.calls.Load(), c.direct.Load(), c.batches.Load(), c.batched.Load(), c.notSent.Load(), c.unlisted.Load(), c.unknown.Load()}
}

// fields returns the change since an earlier reading as log fields.
func (u Usage) fields(before Usage) logrus.Fields {
	return logrus.Fields{"event": "relay_usage", "calls": u.Calls - before.Calls, "direct": u.Direct - before.Direct, "batches": u.Batches - before.Batches,
		"batched": u.Batched - before.Batched, "not_sent": u.NotSent - before.NotSent, "unlisted": u.Unlisted - before.Unlisted, "unknown": u.Unknown - before.Unknown}
}
