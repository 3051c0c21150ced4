package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// wavePrefix is the prefix of the keys under which the progress of waves is kept.
	wavePrefix = "w/"
	// cordonAhead is how many hosts of a wave are emptied besides those that are down.
	cordonAhead = 2
	// downUnseen is how long a host that was ordered down counts as down although the list, which
	// lags, still shows it up.
	downUnseen = 1500 * time.Millisecond
	// inheritedStops is how long a new term stops no lasting work: what its predecessor stopped is still
	// listed as at work until it has ended.
	inheritedStops = 2 * time.Second
)

// wave is a wave of upkeep.
type wave struct {
	infra.Wave
	// ordered are the hosts whose upkeep has begun, with the time of the order.
	ordered map[string]time.Duration
	// inFlight is a host whose order has no known outcome yet.
	inFlight map[string]bool
	// uncertain are hosts of which an order had no answer. It may still be carried out, so that they
	// count as down until an order has succeeded.
	uncertain map[string]bool
	cordoned  map[string]bool
	retryAt   map[string]time.Duration
	// completed is set once all hosts have begun; shown are what operators were told.
	completed bool
	shown     infra.WaveState
	seen      time.Duration
}

// waveRecord is the durable part of a wave.
type waveRecord struct {
	Ordered   []string `cbor:"1,keyasint,omitempty"`
	Completed bool     `cbor:"2,keyasint,omitempty"`
}

// WaveNews is the state of a wave that operators are to be told.
type WaveNews struct {
	Wave  int64
	State infra.WaveState
}

// SetWaves takes waves that operators published.
func (c *Core) SetWaves(waves []infra.Wave) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, published := range waves {
		w := c.wave(published.ID)
		if len(w.Hosts) == 0 {
			c.logger.WithFields(logrus.Fields{"event": "wave_published", "wave": published.ID, "hosts": len(published.Hosts), "max_down": published.MaxDown,
				"within_ms": published.TimeLimit.Milliseconds()}).Info("wave of upkeep is due")
		}
		w.Wave = published
	}
}

func (c *Core) wave(id int64) *wave {
	w := c.hosts.waves[id]
	if w == nil {
		w = &wave{ordered: map[string]time.Duration{}, inFlight: map[string]bool{}, uncertain: map[string]bool{}, cordoned: map[string]bool{}, retryAt: map[string]time.Duration{}, seen: c.clock()}
		w.ID = id
		c.hosts.waves[id] = w
	}
	return w
}

// WaveShown notes that operators were told of the state.
func (c *Core) WaveShown(news WaveNews) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts.waves[news.Wave].shown = news.State
}

// planWave empties hosts of the wave and returns those that are ready to go down.
func (c *Core) planWave(w *wave, now time.Duration) []HostOrder {
	down, left := 0, 0
	var candidates []string
	var repeated []HostOrder
	for _, id := range w.Hosts {
		host, exists := c.hosts.hosts[id]
		ordered, begun := w.ordered[id]
		switch {
		case len(c.hosts.hosts) == 0:
			left++
		case begun:
			if exists && host.State == infra.HostMaintenance || now-ordered < downUnseen {
				down++
			}
		case !exists:
			// The host left the fleet for good.
		case w.inFlight[id], now < c.hosts.heldBack[id]:
			// The outcome of an order isn't known, be it this term's or that of an earlier one.
			down++
			left++
			c.hosts.pending[id] = true
		case w.uncertain[id]:
			down++
			left++
			c.hosts.pending[id] = true
			if host.State == infra.HostUp && now >= w.retryAt[id] && c.emptied(w, id) {
				repeated = append(repeated, HostOrder{Wave: w.ID, Host: id})
			}
		default:
			left++
			c.hosts.pending[id] = true
			if host.State == infra.HostMaintenance {
				// An earlier term's order of which there is no record.
				down++
			}
			if host.State == infra.HostUp && now >= w.retryAt[id] && c.hosts.moves[id] == nil {
				candidates = append(candidates, id)
			}
		}
	}
	if left == 0 {
		c.completeWave(w)
		return nil
	}
	return append(repeated, c.emptyHosts(w, candidates, w.MaxDown-down)...)
}

// emptyHosts cordons as many candidates as may soon go down, the emptiest first, and orders those
// that are empty.
func (c *Core) emptyHosts(w *wave, candidates []string, room int) []HostOrder {
	slices.SortStableFunc(candidates, func(a, b string) int {
		return cmp.Or(falseFirst(!w.cordoned[a], !w.cordoned[b]), cmp.Compare(c.itemsOn(a), c.itemsOn(b)), cmp.Compare(a, b))
	})
	var orders []HostOrder
	for n, id := range candidates {
		if n >= max(0, room)+cordonAhead {
			break
		}
		if c.emptied(w, id) && len(orders) < room {
			orders = append(orders, HostOrder{Wave: w.ID, Host: id})
		}
	}
	return orders
}

// emptied keeps new work from the host, moves its lasting work away as far as that may be, and reports
// whether nothing runs there.
func (c *Core) emptied(w *wave, id string) bool {
	host := c.hosts.hosts[id]
	if host.WorkerID == "" {
		// A host in standby is off and runs nothing.
		return true
	}
	worker := c.workers[host.WorkerID]
	if worker == nil || !worker.known {
		// What runs there isn't known.
		return false
	}
	w.cordoned[id], worker.cordoned = true, true
	c.moveLasting(worker)
	return len(worker.items) == 0
}

// moveLasting stops lasting work of a cordoned worker as far as its availability budget allows; it
// starts again elsewhere.
func (c *Core) moveLasting(w *worker) {
	for i := range w.items {
		if i.step.def.Lasting && !i.stopping && i.answered > 0 && c.mayStop(i) {
			c.logger.WithFields(logrus.Fields{"event": "lasting_item_moved", "item": i.id().String(), "worker": w.entry.ID}).Info("lasting work leaves a host that goes down")
			c.stop(i)
		}
	}
}

// mayStop reports whether the step's availability budget lets the item be away.
func (c *Core) mayStop(i *item) bool {
	if i.step.def.MayMiss <= 0 {
		return true
	}
	if c.term > 1 && c.clock()-c.started < inheritedStops {
		return false
	}
	away := 0
	for _, other := range i.step.items {
		if other == i {
			continue
		}
		if other.state != itemPlaced || !other.atWork || other.stopping || other.worker.failing > 0 || other.worker.gone {
			away++
		}
	}
	return away+1 <= i.step.def.MayMiss
}

func (c *Core) completeWave(w *wave) {
	w.completed = true
	c.logger.WithFields(logrus.Fields{"event": "wave_completed", "wave": w.ID, "hosts": len(w.ordered), "took_ms": (c.clock() - w.seen).Milliseconds()}).Info("all hosts of the wave have begun their upkeep")
	for id := range w.cordoned {
		if worker := c.workers[c.hosts.hosts[id].WorkerID]; worker != nil {
			worker.cordoned = false
		}
	}
	c.touchWave(w)
}

// touchWave adds the wave's record to the next batch.
func (c *Core) touchWave(w *wave) {
	record := waveRecord{Completed: w.completed}
	for host := range w.ordered {
		record.Ordered = append(record.Ordered, host)
	}
	slices.Sort(record.Ordered)
	value, err := cbor.Marshal(record)
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "wave_unencodable", "wave": w.ID}).WithError(err).Error("wave can't be encoded")
		return
	}
	c.records = append(c.records, infra.Record{Key: wavePrefix + strconv.FormatInt(w.ID, 10), Value: value})
	c.poke()
}
