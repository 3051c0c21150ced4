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
	// maxRejectionWait is how long a rejection waits for its append, which takes some milliseconds unless the log is slow. A
	// caller is answered within 400 ms (docs/HARD-LOAD.md): overdue rejections are looked for every 50 ms.
	maxRejectionWait = 350 * time.Millisecond
	// rejectionMargin is the part of a caller's time that is kept for that look, and for the response on its way.
	rejectionMargin = 100 * time.Millisecond
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
	// expiresAt is when a rejection is given up that no append has confirmed, and expire sends the answer in its place, with
	// the lock of the core held. They aren't set for other answers.
	expiresAt time.Duration
	expire    func(reason string)
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
	case c.logStalled(c.clock()) && answer.expire != nil:
		answer.expire(unconfirmedLogDown)
	case c.logStalled(c.clock()):
		answer.waiter <- logDownOutcome
	default:
		c.nextAnswers = append(c.nextAnswers, answer)
		c.wakeUp()
	}
}

// logDownOutcome is the outcome of cancellations and queries while the log takes no appends. Submissions get
// OutcomeUnconfirmed instead, since logDownOutcome would promise to their callers that no other term has accepted the job.
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

// expireRejections gives up the rejections that have waited for maxRejectionWait, or for as long as their callers have time.
func (c *Core) expireRejections(now time.Duration) {
	for _, answers := range []*[]pendingAnswer{&c.answersInAppend, &c.nextAnswers} {
		*answers = slices.DeleteFunc(*answers, func(answer pendingAnswer) bool {
			overdue := answer.expire != nil && now >= answer.expiresAt
			if overdue {
				answer.expire(unconfirmedTooSlow)
			}
			return overdue
		})
	}
}

// failAnswers sends the outcome instead of all answers that wait for an append. Cancellations that the append in progress
// records may take effect, and others don't. Rejections expire instead while the term lasts.
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
		if answer.expire != nil && !c.closed {
			answer.expire(unconfirmedLogDown)
			continue
		}
		answer.waiter <- outcome
	}
}
