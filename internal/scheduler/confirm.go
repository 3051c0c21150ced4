package scheduler

import (
	"slices"
	"time"
)

// Reads of what isn't there are linearizable: a statement that there is no such job holds only if no later term has changed
// the state without this one knowing. Its answer waits for an append of this term that is sent after the question arrived,
// which the log refuses once a later term has begun. Neither the clock nor how recent an earlier append is counts, since
// the process may have been paused.

// maxPendingAge is how old the state may be from which pending jobs are counted. Callers allow for 2 s.
const maxPendingAge = 2 * time.Second

const (
	// maxRejectionWait is how long a rejection waits for its append, which takes some milliseconds unless the log is slow.
	maxRejectionWait = 50 * time.Millisecond
	// rejectionMargin is the time that a caller must have left for its rejection to wait: rejections that have waited long
	// enough are sent with a delay. A caller whose time has passed can only be told that the outcome isn't known.
	rejectionMargin = maxRejectionWait + 100*time.Millisecond
)

// longestUnconfirmedRun is how long after the last confirmed append work may still run: until then its leases are extended.
func (c *Core) longestUnconfirmedRun() time.Duration {
	return LeaderLease + time.Duration(float64(c.options.Lease)/minClockRate)
}

// pendingAnswer is an answer that waits for an append.
type pendingAnswer struct {
	waiter chan<- Outcome
	// send sends the answer to waiter once the append is confirmed. It is called with the lock of the core held.
	send func()
	// rejectAt is when a rejection is sent even if no append is confirmed; 0 for other answers.
	rejectAt time.Duration
	// tombstone is that of the ID whose cancellation is answered; nil for other answers.
	tombstone *tombstone
}

// answerOnceConfirmed calls send, which sends an answer to waiter, once an append is confirmed that is sent after this call.
func (c *Core) answerOnceConfirmed(waiter chan<- Outcome, send func()) {
	c.addAnswer(pendingAnswer{waiter: waiter, send: send})
}

// addAnswer is answerOnceConfirmed for any answer.
func (c *Core) addAnswer(answer pendingAnswer) {
	switch {
	case c.closed:
		answer.waiter <- Outcome{Kind: OutcomeTermOver}
	case c.logStalled(c.clock()):
		answer.waiter <- logDownOutcome
	default:
		c.nextAnswers = append(c.nextAnswers, answer)
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
	return len(c.answersInAppend) > 0
}

// sendConfirmed sends the answers that wait for the append that was confirmed.
func (c *Core) sendConfirmed() {
	answers := c.answersInAppend
	c.answersInAppend = nil
	for _, answer := range answers {
		answer.send()
	}
}

// sendOverdueRejections sends the rejections that have waited for maxRejectionWait.
func (c *Core) sendOverdueRejections(now time.Duration) {
	for _, answers := range []*[]pendingAnswer{&c.answersInAppend, &c.nextAnswers} {
		*answers = slices.DeleteFunc(*answers, func(answer pendingAnswer) bool {
			overdue := answer.rejectAt > 0 && now >= answer.rejectAt
			if overdue {
				answer.send()
			}
			return overdue
		})
	}
}

// failAnswers sends the outcome instead of all answers that wait for an append. Cancellations that the append in progress
// records may take effect, and others don't.
func (c *Core) failAnswers(outcome Outcome) {
	answers := append(c.answersInAppend, c.nextAnswers...)
	c.answersInAppend, c.nextAnswers = nil, nil
	for id := range c.tombstones.unwritten {
		c.tombstones.remove(id)
	}
	for _, answer := range answers {
		if answer.tombstone != nil && !answer.tombstone.durable && answer.tombstone.written {
			answer.waiter <- Outcome{Kind: OutcomeUnknown}
			continue
		}
		answer.waiter <- outcome
	}
}
