package scheduler

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/overload"
	"turmericyoke/internal/work"
)

// costOrderInterval is how long the selection of the jobs of a pool that can be on time together is kept. Planning runs up
// to 200 times a second, and the predictions behind the selection are as old: see supplyCacheTime.
const costOrderInterval = supplyCacheTime

// costOrder is the state of the rule policy.OrderByCost.
type costOrder struct {
	shares overload.Shares
	sizes  overload.Sizes
	pools  map[string]*poolOrder
}

// poolOrder is the order by cost of the waiting jobs of a pool, as of its last selection.
type poolOrder struct {
	planner   overload.Planner
	snapshot  overload.Snapshot
	members   []*rankedJob
	expiresAt time.Duration
	backlog   overload.Backlog
}

// takeShare counts an accepted job against its customer's share, and reports whether it is beyond it.
func (c *Core) takeShare(def *work.Job, now time.Duration) bool {
	return c.options.Policy.Overload.ByCost() && !c.cost.shares.Take(def.Customer, c.shareOf(def.Customer), now)
}

// poolOrderOf returns the order of the pool, and adds it if there is none.
func (c *Core) poolOrderOf(pool string) *poolOrder {
	if c.cost.pools == nil {
		c.cost.pools = map[string]*poolOrder{}
	}
	order := c.cost.pools[pool]
	if order == nil {
		order = &poolOrder{expiresAt: -1}
		c.cost.pools[pool] = order
	}
	return order
}

// rankByCost sets the keys of the ready jobs so that compareRanked sorts them by the cost of their delay. Jobs that are new
// since the last selection get a provisional position.
func (c *Core) rankByCost(waiting *waitingJobs, now time.Duration) {
	if len(waiting.ranked) == 0 {
		return
	}
	pool := c.poolOf(waiting.ranked[0].job)
	order := c.poolOrderOf(pool)
	if now >= order.expiresAt {
		c.selectByCost(order, waiting, pool, now)
		return
	}
	for n := range waiting.ranked {
		if r := &waiting.ranked[n]; r.ready && !r.lasting && !r.positioned {
			offered := c.waitingJob(r.job, now)
			r.setPosition(order.backlog.Place(&offered))
		}
	}
}

// selectByCost selects the jobs of the pool that can be on time together.
func (c *Core) selectByCost(order *poolOrder, waiting *waitingJobs, pool string, now time.Duration) {
	order.expiresAt = now + costOrderInterval
	supply, cores := c.supplyOf(pool, now)
	order.snapshot.Cores, order.snapshot.Placed = cores, supply.placed
	order.snapshot.Jobs, order.members = order.snapshot.Jobs[:0], order.members[:0]
	for n := range waiting.ranked {
		if r := &waiting.ranked[n]; r.ready && !r.lasting {
			order.snapshot.Jobs = append(order.snapshot.Jobs, c.waitingJob(r.job, now))
			order.members = append(order.members, r)
		}
	}
	positions := order.planner.Order(&order.snapshot)
	order.backlog.Set(&order.snapshot, positions)
	for n, r := range order.members {
		r.setPosition(positions[n])
		c.explainDelay(r.job, positions[n], &order.backlog, now)
	}
	clear(order.members)
}

// explainDelay logs once for each job why it gives way to others.
func (c *Core) explainDelay(j *job, position overload.Position, backlog *overload.Backlog, now time.Duration) {
	if position.Group == overload.OnTime || j.delayExplained {
		return
	}
	j.delayExplained = true
	c.metrics.jobDelayed(position.Group.String())
	jobs, last := backlog.GivesWayTo(position)
	c.logger.WithFields(logrus.Fields{"event": "job_delayed", "job": j.def.ID, "queue": j.def.Queue.Name, "customer": j.def.Customer, "cause": position.Group.String(),
		"jobs_ahead": jobs, "gives_way_to": last, "age_ms": (now - j.acceptedAt).Milliseconds()}).Info("job gives way to others")
}

// waitingJob returns what the order by cost needs to know of the job.
func (c *Core) waitingJob(j *job, now time.Duration) overload.Job {
	predicted, kind := c.predict(j), j.def.Queue.Name
	waiting, _ := c.remainingWork(j, now)
	due := j.offeredAt + predicted.relativeDeadline - now
	return overload.Job{ID: j.def.ID, Priority: j.def.Queue.Priority, Due: due, Slack: due - predicted.remainingPath,
		Grace: (latenessCutoff - 1) * predicted.relativeDeadline, Work: waiting, Size: predicted.coreSeconds,
		Typical: c.cost.sizes.Typical(kind, predicted.coreSeconds), Credit: c.cost.sizes.Credit(kind, j.sizeClass), BeyondShare: j.beyondShare}
}

// setPosition sets the keys of compareRanked to the position.
func (r *rankedJob) setPosition(position overload.Position) {
	r.positioned, r.tier, r.slack = true, int(position.Group), costKey(position.Key)
	r.started, r.priority, r.overuseLevel = false, 0, 0
}

// costKey returns the key of a position in the units of rankedJob.slack: nanoseconds of core time.
func costKey(cost float64) time.Duration {
	return time.Duration(min(cost*float64(time.Second), math.MaxInt64/2))
}

// admitByCost decides whether a job is accepted that was first submitted at offeredAt.
func (c *Core) admitByCost(def *work.Job, path, maxWait, offeredAt, now time.Duration) admission {
	order := c.poolOrderOf(def.Queue.Pool)
	if now >= order.expiresAt {
		waiting := c.waiting[def.Queue.Pool]
		if waiting == nil {
			waiting = &waitingJobs{}
		}
		c.selectByCost(order, waiting, def.Queue.Pool, now)
	}
	size, kind, sizes := c.predictCoreSeconds(def), def.Queue.Name, &c.cost.sizes
	class := sizes.ClassOf(kind, size)
	if offeredAt == now {
		class = sizes.Offered(kind, size, now)
	}
	deadline := relativeDeadline(def, path)
	due, share := offeredAt+deadline-now, c.shareOf(def.Customer)
	offer := overload.Offer{Room: maxWait, UntilShare: c.cost.shares.UntilNext(def.Customer, share, now)}
	offer.Job = overload.Job{ID: def.ID, Priority: def.Queue.Priority, Due: due, Slack: due - path, Grace: (latenessCutoff - 1) * deadline,
		Work: size, Size: size, Typical: sizes.Typical(kind, size), Credit: sizes.Credit(kind, class), BeyondShare: c.cost.shares.Available(def.Customer, share, now) < 1}
	verdict := order.backlog.Admit(&offer)
	c.metrics.placedInOrder(verdict.Position.Group.String())
	jobs, last := order.backlog.GivesWayTo(verdict.Position)
	explanation := logrus.Fields{"group": verdict.Position.Group.String(), "jobs_ahead": jobs, "gives_way_to": last, "wait_ms": verdict.Wait.Milliseconds()}
	return admission{explanation: explanation, accepted: verdict.Cause == "", reason: verdict.Cause, predictedWait: verdict.Wait, maxWait: maxWait, retryAfter: verdict.RetryAfter, sizeClass: class, forecast: c.forecastFor(def, path, verdict.Wait)}
}

// noteServed counts a completed job whose completion is of use.
func (c *Core) noteServed(j *job, now time.Duration) {
	if j.sizeClass != 0 && now-j.offeredAt <= latenessCutoff*c.predict(j).relativeDeadline {
		c.cost.sizes.Served(j.def.Queue.Name, j.sizeClass, now)
	}
}
