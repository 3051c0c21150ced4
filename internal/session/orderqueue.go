package session

import (
	"sync"

	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// maxOrdersInFlight bounds the orders of one kind, other than starts, that are sent to one worker at the same time. A
// canceled job may have thousands of runs there, and each order in flight takes a goroutine.
const maxOrdersInFlight = 8

// orderQueues hold the orders of one kind that wait to be sent, by worker, so that a worker without response delays no
// orders to others. The zero value is ready for use.
type orderQueues struct {
	mu       sync.Mutex
	byWorker map[string]*orderQueue
}

// orderQueue holds the orders to one worker.
type orderQueue struct {
	inFlight int
	// waiting holds the runs with an order that waits, in order, and sends what sends each of these orders.
	waiting []runKey
	sends   map[runKey]func()
}

// runKey identifies a run.
type runKey struct {
	item work.ItemID
	run  int64
}

// add calls send in a goroutine as soon as fewer than maxOrdersInFlight orders to the worker are in flight. The order
// replaces one about the same run that waits: an unconfirmed stop is ordered again each second.
func (q *orderQueues) add(order *scheduler.Order, send func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	worker, run := order.Worker.ID, runKey{order.Item, order.Run}
	queue := q.byWorker[worker]
	if queue == nil {
		if q.byWorker == nil {
			q.byWorker = map[string]*orderQueue{}
		}
		queue = &orderQueue{sends: map[runKey]func(){}}
		q.byWorker[worker] = queue
	}
	if queue.inFlight < maxOrdersInFlight {
		queue.inFlight++
		go q.sendAll(worker, queue, send)
		return
	}
	if _, waits := queue.sends[run]; !waits {
		queue.waiting = append(queue.waiting, run)
	}
	queue.sends[run] = send
}

// sendAll calls send, and then sends orders that wait until there are none.
func (q *orderQueues) sendAll(worker string, queue *orderQueue, send func()) {
	for send != nil {
		send()
		send = q.next(worker, queue)
	}
}

// next takes the order that has waited longest from the queue. It returns nil if there is none.
func (q *orderQueues) next(worker string, queue *orderQueue) func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(queue.waiting) > 0 {
		run := queue.waiting[0]
		queue.waiting = queue.waiting[1:]
		send := queue.sends[run]
		delete(queue.sends, run)
		return send
	}
	if queue.inFlight--; queue.inFlight == 0 {
		delete(q.byWorker, worker)
	}
	return nil
}
