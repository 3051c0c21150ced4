package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// A cancellation may arrive before the submission of its job, which may wait in a process that is paused, or be repeated by
// one. Its acknowledgement promises that the job doesn't run, also in later terms: a tombstone keeps the ID, for as long as a
// finished job is kept. A submission under that ID makes a job that is cancelled from the beginning.

const (
	// tombstonePrefix is the key prefix of tombstones in Topic; the job's ID follows it.
	tombstonePrefix = "t/"
	// maxTombstones limits the tombstones of all customers, and maxCustomerTombstones those of one: whoever has a key can
	// cancel any ID, and a new term loads all of them.
	maxTombstones         = 4000
	maxCustomerTombstones = 1000
)

// tombstone is the state of a cancellation without a job.
type tombstone struct {
	// customer is the one that cancelled the ID.
	customer string
	// keptSince is when the ID was last cancelled, or the tombstone loaded by this term.
	keptSince time.Duration
	// written is set once a batch contains the record, and durable once that is in the log.
	written, durable bool
}

// tombstoneRecord is the value of a tombstone in the log.
type tombstoneRecord struct {
	Customer string `cbor:"1,keyasint,omitempty"`
}

// tombstones are the cancellations without a job, by the IDs of the jobs.
type tombstones struct {
	byID       map[string]*tombstone
	byCustomer map[string]int
	// unwritten are those that no batch contains yet.
	unwritten map[string]*tombstone
}

func newTombstones() tombstones {
	return tombstones{byID: map[string]*tombstone{}, byCustomer: map[string]int{}, unwritten: map[string]*tombstone{}}
}

func (t *tombstones) add(id string, stone *tombstone) {
	t.byID[id] = stone
	t.byCustomer[stone.customer]++
}

func (t *tombstones) remove(id string) {
	stone := t.byID[id]
	delete(t.byID, id)
	delete(t.unwritten, id)
	if t.byCustomer[stone.customer]--; t.byCustomer[stone.customer] == 0 {
		delete(t.byCustomer, stone.customer)
	}
}

// full reports whether there is no room for another tombstone of the customer.
func (t *tombstones) full(customer string) bool {
	return len(t.byID) >= maxTombstones || t.byCustomer[customer] >= maxCustomerTombstones
}

// cancelUnknown keeps the ID of a job that isn't known, and sends OutcomeNotFound once the tombstone is durable.
func (c *Core) cancelUnknown(id, customer string, waiter chan<- Outcome) {
	stone := c.tombstones.byID[id]
	if stone == nil {
		if c.tombstones.full(customer) {
			c.logger.WithFields(logrus.Fields{"event": "cancellation_rejected", "job": id, "customer": customer, "kept": c.tombstones.byCustomer[customer], "kept_in_all": len(c.tombstones.byID)}).Warn(
				"cancellation of a job that isn't known was rejected: too many such cancellations are kept")
			waiter <- Outcome{Kind: OutcomeUnavailable, RetryAfter: minRetryAfter, Reason: "too_many_cancellations"}
			return
		}
		c.logger.WithFields(logrus.Fields{"event": "unknown_job_cancelled", "job": id, "customer": customer, "confirmed_age_ms": (c.clock() - c.confirmedAt).Milliseconds()}).Info(
			"cancellation of a job that isn't known; a submission that arrives later won't run")
		stone = &tombstone{customer: customer}
		c.tombstones.add(id, stone)
		c.tombstones.unwritten[id] = stone
	}
	stone.keptSince = c.clock()
	c.addAnswer(pendingAnswer{waiter: waiter, tombstone: stone, send: func() {
		if !stone.durable {
			waiter <- Outcome{Kind: OutcomeUnknown}
			return
		}
		waiter <- Outcome{Kind: OutcomeNotFound}
	}})
}

// tombstoneRecords returns the records of the tombstones that no batch contains yet.
func (c *Core) tombstoneRecords() ([]infra.Record, map[string]*tombstone) {
	var records []infra.Record
	written := c.tombstones.unwritten
	for _, id := range slices.Sorted(maps.Keys(written)) {
		written[id].written = true
		value, err := recordEncoding.Marshal(tombstoneRecord{Customer: written[id].customer})
		if err != nil {
			c.logger.WithFields(logrus.Fields{"event": "tombstone_unencodable", "job": id}).WithError(err).Error("can't encode the record of a cancellation; it isn't acknowledged")
			c.tombstones.remove(id)
			continue
		}
		records = append(records, infra.Record{Key: tombstonePrefix + id, Value: value})
	}
	c.tombstones.unwritten = map[string]*tombstone{}
	return records, written
}

// commitTombstones marks the tombstones of a batch as durable, but those whose records the log never accepts.
func (c *Core) commitTombstones(written map[string]*tombstone, rejected []infra.Record) {
	for _, stone := range written {
		stone.durable = true
	}
	for n := range rejected {
		id, _ := strings.CutPrefix(rejected[n].Key, tombstonePrefix)
		if stone := written[id]; stone != nil && c.tombstones.byID[id] == stone {
			stone.durable = false
			c.tombstones.remove(id)
		}
	}
}

// submitCancelled adds a job whose cancellation came before it. It is kept like any cancelled job.
func (c *Core) submitCancelled(def *work.Job, timeLeft time.Duration, waiter chan<- Outcome) {
	now := c.clock()
	if !c.hasMemoryFor(definitionBytes(def)) {
		c.rejectOnceConfirmed(def, Outcome{Kind: OutcomeRejected, RetryAfter: memoryRetryAfter, Reason: "memory"}, timeLeft, waiter)
		return
	}
	def.Accepted = c.wallClock()
	j := newJobWithoutState(def)
	j.cancelled, j.acceptedAt, j.offeredAt, j.endedAt = true, now, now, now
	c.addJob(j)
	j.submitters = append(j.submitters, waiter)
	c.logger.WithFields(logrus.Fields{"event": "job_cancelled", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "before_submission": true}).Info(
		"job was submitted after its cancellation; it doesn't run")
	c.markDirty(j)
}

// loadTombstones restores the tombstones of earlier terms.
func (c *Core) loadTombstones(records []infra.Record, now time.Duration) {
	for _, record := range records {
		id, ok := strings.CutPrefix(record.Key, tombstonePrefix)
		if !ok || record.Value == nil || c.tombstones.byID[id] != nil {
			continue
		}
		var stored tombstoneRecord
		if err := cbor.Unmarshal(record.Value, &stored); err != nil {
			// The ID is all that matters.
			c.logger.WithFields(logrus.Fields{"event": "tombstone_customer_unreadable", "key": record.Key}).WithError(err).Error("can't decode the record of a cancellation; it is kept without its customer")
		}
		c.tombstones.add(id, &tombstone{customer: stored.Customer, keptSince: now, written: true, durable: true})
	}
}

// dropExpiredTombstones drops the tombstones that are older than EndedJobRetention.
func (c *Core) dropExpiredTombstones(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.tombstones.byID)) {
		if stone := c.tombstones.byID[id]; stone.durable && now-stone.keptSince > c.options.EndedJobRetention {
			c.tombstones.remove(id)
			c.deletions = append(c.deletions, infra.Record{Key: tombstonePrefix + id})
		}
	}
}
