package scheduler

import "time"

// A statement about what isn't there holds only if no later term has changed the state without this one knowing. An answer
// that makes one waits for an append of this term that is sent after the question arrived: the log refuses it once a later
// term has begun. Neither the clock nor how recent an earlier append is counts, since the process may have been paused.

// maxPendingAge is how old the state may be from which pending jobs are counted. Callers allow for 2 s.
const maxPendingAge = 2 * time.Second

// maxUnconfirmedRejectionAge is how long after the last confirmed append a process that is behind rejects jobs without
// another one. It is below the time after which others take over from a leader that is missing.
const maxUnconfirmedRejectionAge = time.Second

// longestUnconfirmedRun is how long after the last confirmed append work may still run: until then its leases are extended.
func (c *Core) longestUnconfirmedRun() time.Duration {
	return LeaderLease + time.Duration(float64(c.options.Lease)/minClockRate)
}

// unconfirmedAnswer is an answer that waits for an append.
type unconfirmedAnswer struct {
	waiter chan<- Outcome
	// confirmed sends the answer to waiter once the append is confirmed. It is called with the lock of the core held.
	confirmed func()
}

// awaitConfirmation calls confirmed, which sends an answer to waiter, once an append is confirmed that is sent after this
// call.
func (c *Core) awaitConfirmation(waiter chan<- Outcome, confirmed func()) {
	switch {
	case c.closed:
		waiter <- Outcome{Kind: OutcomeTermOver}
	case c.logStalled(c.clock()):
		waiter <- logDownOutcome
	default:
		c.unconfirmed = append(c.unconfirmed, unconfirmedAnswer{waiter, confirmed})
		c.wakeUp()
	}
}

// logDownOutcome is the outcome of requests while the log takes no appends.
var logDownOutcome = Outcome{Kind: OutcomeUnavailable, RetryAfter: time.Second, Reason: "log_down"}

// AwaitsConfirmation reports whether answers wait for the append of the last batch. It then needs an append even if it
// has no records.
func (c *Core) AwaitsConfirmation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.confirming) > 0
}

// sendConfirmed sends the answers that wait for the append that was confirmed.
func (c *Core) sendConfirmed() {
	answers := c.confirming
	c.confirming = nil
	for _, answer := range answers {
		answer.confirmed()
	}
}

// failUnconfirmed sends the outcome instead of all answers that wait for an append.
func (c *Core) failUnconfirmed(outcome Outcome) {
	answers := append(c.confirming, c.unconfirmed...)
	c.confirming, c.unconfirmed = nil, nil
	for _, answer := range answers {
		answer.waiter <- outcome
	}
}
