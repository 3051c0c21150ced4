package scheduler

import "turmericyoke/internal/infra"

// tearAppend makes the first records of the append in progress durable, a random number of them.
func (s *sim) tearAppend() {
	if len(s.schedulers) == 0 || s.leader().ended || s.leader().batch == nil {
		return
	}
	records := s.leader().batch.Records
	for _, record := range records[:s.rng.IntN(len(records)+1)] {
		s.store(record)
	}
}

// store makes a record durable.
func (s *sim) store(record infra.Record) {
	if record.Value == nil {
		delete(s.log, record.Key)
		return
	}
	s.log[record.Key] = record.Value
}

// commitBatch makes the current batch durable two ticks after it was collected, unless the log is down or a
// later term has fenced the scheduler, and sends its starts. It then collects the next batch, and sends its other orders
// immediately.
func (s *sim) commitBatch(scheduler *simScheduler) {
	if scheduler.batch != nil {
		if s.now < scheduler.commitDueAt || s.logDown {
			return
		}
		if scheduler.term < s.term {
			scheduler.core.Abandon(scheduler.batch)
			scheduler.ended = true
			return
		}
		for _, record := range scheduler.batch.Records {
			s.store(record)
		}
		scheduler.confirmedAt = scheduler.sentAt
		s.sendOrders(scheduler, scheduler.core.Committed(scheduler.batch))
		scheduler.batch = nil
	}
	if scheduler.core.Fenced() {
		scheduler.ended = true
		return
	}
	batch := scheduler.core.Collect()
	s.sendOrders(scheduler, batch.Orders)
	if s.unrecordedStarts {
		s.sendOrders(scheduler, batch.starts)
		batch.starts = nil
	}
	scheduler.batch, scheduler.sentAt, scheduler.commitDueAt = &batch, s.now, s.now+2*simTickTime
	s.checkPlacedItems(scheduler)
}

// sendOrders sends orders to their workers.
func (s *sim) sendOrders(scheduler *simScheduler, orders []Order) {
	for i := range orders {
		s.sendOrder(scheduler, orders[i])
	}
}
