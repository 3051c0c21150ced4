package gauges

import (
	"github.com/prometheus/client_golang/prometheus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/fold/inventory"
)

const metricPrefix = "turmericyoke_controller_"

// newDesc describes a gauge of the controller with variable labels.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+name, help, labels, nil)
}

// Gauges are labelled by pool, phase, step, wave, state or kind only. A label for hosts, keys or teams would
// multiply the number of time series.
var (
	hostsDesc           = newDesc("hosts", "Hosts by pool and phase: serving, granted, moving or failed.", "pool", "phase")
	idleHostsDesc       = newDesc("idle_hosts", "Serving hosts beyond what requests ask for now, by pool: the buffer cost. Absent while the demand isn't known.", "pool")
	budgetLeftDesc      = newDesc("budget_left_hosts", "Available hosts above minAvailable, by pool; below 0 after failures.", "pool")
	wavesDesc           = newDesc("waves", "Waves by phase: running, paused, stopped or done.", "phase")
	waveHostsDesc       = newDesc("wave_hosts", "Hosts of each wave by step: pending, stopped, returned or failed.", "wave", "step")
	unitsDesc           = newDesc("units", "Units of all teams by kind: limit, held as rights, jobs and unallocated.", "kind")
	holdersDesc         = newDesc("holders", "Gateways that have joined, by state: current or suspected.", "state")
	foldLagDesc         = newDesc("fold_lag_records", "Records between the log's head, as last read, and the state.")
	followerErrorDesc   = newDesc("follower_error", "1 for the error kind that the follower has; absent while all is well.", "kind")
	followerStoppedDesc = newDesc("follower_stopped", "1 after the follower stopped for good.")
	snapshotAgeDesc     = newDesc("snapshot_age_seconds", "Time since the newest snapshot was written, or known to be. Absent before the first.")
	snapshotLagDesc     = newDesc("snapshot_lag_records", "Records folded after the newest known snapshot. Absent before the first.")
)

// Describe implements prometheus.Collector.
func (g *Gauges) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		hostsDesc, idleHostsDesc, budgetLeftDesc, wavesDesc, waveHostsDesc, unitsDesc, holdersDesc,
		foldLagDesc, followerErrorDesc, followerStoppedDesc, snapshotAgeDesc, snapshotLagDesc,
	} {
		descs <- desc
	}
}

// emitGauge adds one gauge value to the collected metrics.
type emitGauge func(desc *prometheus.Desc, value float64, labels ...string)

// Collect implements prometheus.Collector. The gauges of pools, waves, units and the snapshot are taken at one
// offset of the state.
func (g *Gauges) Collect(metrics chan<- prometheus.Metric) {
	var collected []prometheus.Metric
	emit := func(desc *prometheus.Desc, value float64, labels ...string) {
		collected = append(collected, prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...))
	}
	// The metrics are sent after the state's lock is released, since the receiver may be slow.
	g.follower.Read(func(state *fold.State) {
		g.collectPools(state, emit)
		collectWaves(state, emit)
		collectUnits(state, emit)
		g.collectSnapshot(state.Offset(), emit)
	})
	g.collectFollower(emit)
	for _, metric := range collected {
		metrics <- metric
	}
}

// poolHosts counts the hosts of one pool and the slots on them.
type poolHosts struct {
	byPhase map[inventory.Phase]int
	// servingHosts is the number of serving hosts, and servingSlots the number of slots on them.
	servingSlots, servingHosts int
}

// collectPools emits the hosts of each pool by phase, its idle hosts and its remaining budget.
func (g *Gauges) collectPools(state *fold.State, emit emitGauge) {
	hostsByPool := map[string]*poolHosts{}
	for _, pool := range state.Document().Pools {
		hostsByPool[pool.Name] = &poolHosts{byPhase: map[inventory.Phase]int{}}
	}
	slotsByHost := map[string]int{}
	for i := range state.Document().Hosts {
		slotsByHost[state.Document().Hosts[i].Name] = state.Document().Hosts[i].Slots
	}
	for _, host := range state.Inventory.HostsByName {
		if poolCounts := hostsByPool[host.Pool]; poolCounts != nil {
			poolCounts.add(host, slotsByHost[host.Name])
		}
	}
	for pool, poolCounts := range hostsByPool {
		for _, phase := range []inventory.Phase{inventory.PhaseServing, inventory.PhaseGranted, inventory.PhaseMoving, inventory.PhaseFailed} {
			emit(hostsDesc, float64(poolCounts.byPhase[phase]), pool, string(phase))
		}
		if demand, known := g.demand.Slots(pool); known && poolCounts.servingSlots > 0 {
			emit(idleHostsDesc, poolCounts.idleHosts(demand), pool)
		}
		if budget, known := state.Inventory.Budget(pool); known {
			emit(budgetLeftDesc, float64(budget.Hosts-budget.Unavailable-budget.Pool.MinAvailable), pool)
		}
	}
}

// add counts a host of the pool with the given number of slots.
func (c *poolHosts) add(host *inventory.Host, slots int) {
	c.byPhase[host.Phase]++
	if host.Phase == inventory.PhaseServing {
		c.servingSlots += slots
		c.servingHosts++
	}
}

// idleHosts returns how many serving hosts the demand in slots doesn't need. The result may be a fraction.
func (c *poolHosts) idleHosts(demandSlots float64) float64 {
	slotsPerHost := float64(c.servingSlots) / float64(c.servingHosts)
	return max(float64(c.servingSlots)-demandSlots, 0) / slotsPerHost
}

// collectWaves emits the waves by phase and the hosts of each wave by step.
func collectWaves(state *fold.State, emit emitGauge) {
	wavesByPhase := map[inventory.WavePhase]int{}
	for name, wave := range state.Inventory.Waves {
		wavesByPhase[wave.Phase]++
		emit(waveHostsDesc, float64(wave.Pending), name, string(inventory.StepPending))
		emit(waveHostsDesc, float64(len(wave.Stopped)), name, string(inventory.StepStopped))
		emit(waveHostsDesc, float64(wave.Returned), name, string(inventory.StepReturned))
		emit(waveHostsDesc, float64(wave.Failed), name, string(inventory.StepFailed))
	}
	for _, phase := range []inventory.WavePhase{inventory.WaveRunning, inventory.WavePaused, inventory.WaveStopped, inventory.WaveDone} {
		emit(wavesDesc, float64(wavesByPhase[phase]), string(phase))
	}
}

// collectUnits emits the rights and units of all teams and the number of joined gateways.
func collectUnits(state *fold.State, emit emitGauge) {
	var limit, heldRights, jobUnits, unallocated uint64
	for name, team := range state.Escrow.Teams {
		limit += team.Limit
		heldRights += team.Held
		jobUnits += team.JobUnits
		unallocated += state.Escrow.Unallocated(name)
	}
	emit(unitsDesc, float64(limit), "limit")
	emit(unitsDesc, float64(heldRights), "held")
	emit(unitsDesc, float64(jobUnits), "jobs")
	emit(unitsDesc, float64(unallocated), "unallocated")
	current, suspected := 0, 0
	for _, member := range state.Escrow.Members(v1.Role_ROLE_GATEWAY) {
		if member.Suspected {
			suspected++
			continue
		}
		current++
	}
	emit(holdersDesc, float64(current), "current")
	emit(holdersDesc, float64(suspected), "suspected")
}

// collectSnapshot emits the age and the lag of the newest known snapshot. It emits nothing before one is known.
func (g *Gauges) collectSnapshot(stateOffset int64, emit emitGauge) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.snapshotLearnedAt.IsZero() {
		return
	}
	emit(snapshotAgeDesc, g.now().Sub(g.snapshotLearnedAt).Seconds())
	emit(snapshotLagDesc, float64(max(stateOffset-g.snapshotOffset, 0)))
}

// collectFollower emits the follower's lag, its error and whether it has stopped.
func (g *Gauges) collectFollower(emit emitGauge) {
	if lag, known := g.follower.Lag(); known {
		emit(foldLagDesc, float64(lag))
	}
	if kind := g.follower.Status().GetFollowerError(); kind != "" {
		emit(followerErrorDesc, 1, kind)
	}
	stopped := 0.0
	if g.follower.Stopped() {
		stopped = 1
	}
	emit(followerStoppedDesc, stopped)
}
