package gauges

import (
	"github.com/prometheus/client_golang/prometheus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/fold/inventory"
)

const metricPrefix = "turmericyoke_controller_"

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+name, help, labels, nil)
}

// The labels are pools, phases, waves and kinds only: hosts, keys and teams would multiply the series.
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

// emitGauge sends one figure.
type emitGauge func(desc *prometheus.Desc, value float64, labels ...string)

// Collect implements prometheus.Collector.
func (g *Gauges) Collect(metrics chan<- prometheus.Metric) {
	var figures []prometheus.Metric
	send := func(desc *prometheus.Desc, value float64, labels ...string) {
		figures = append(figures, prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...))
	}
	// The figures are sent after the lock is released, since the receiver may be slow.
	g.follower.Read(func(state *fold.State) {
		g.collectPools(state, send)
		collectWaves(state, send)
		collectUnits(state, send)
		g.collectSnapshot(state.Offset(), send)
	})
	g.collectFollower(send)
	for _, figure := range figures {
		metrics <- figure
	}
}

// poolHosts is what the collector adds up for one pool.
type poolHosts struct {
	byPhase map[inventory.Phase]int
	// servingSlots and hosts are those of serving hosts with slots.
	servingSlots, servingWithSlots int
}

func (g *Gauges) collectPools(state *fold.State, send emitGauge) {
	counts := map[string]*poolHosts{}
	for _, pool := range state.Document().Pools {
		counts[pool.Name] = &poolHosts{byPhase: map[inventory.Phase]int{}}
	}
	slots := map[string]int{}
	for i := range state.Document().Hosts {
		slots[state.Document().Hosts[i].Name] = state.Document().Hosts[i].Slots
	}
	for _, host := range state.Inventory.HostsByName {
		if count := counts[host.Pool]; count != nil {
			count.add(host, slots[host.Name])
		}
	}
	for pool, count := range counts {
		for _, phase := range []inventory.Phase{inventory.PhaseServing, inventory.PhaseGranted, inventory.PhaseMoving, inventory.PhaseFailed} {
			send(hostsDesc, float64(count.byPhase[phase]), pool, string(phase))
		}
		if demand, known := g.demand.Slots(pool); known && count.servingSlots > 0 {
			send(idleHostsDesc, count.idleHosts(demand), pool)
		}
		if budget, known := state.Inventory.Budget(pool); known {
			send(budgetLeftDesc, float64(budget.Hosts-budget.Unavailable-budget.Pool.MinAvailable), pool)
		}
	}
}

func (c *poolHosts) add(host *inventory.Host, slots int) {
	c.byPhase[host.Phase]++
	if host.Phase == inventory.PhaseServing {
		c.servingSlots += slots
		c.servingWithSlots++
	}
}

// idleHosts returns the serving hosts beyond the demand; a part of a host counts as a part.
func (c *poolHosts) idleHosts(demand float64) float64 {
	perHost := float64(c.servingSlots) / float64(c.servingWithSlots)
	return max(float64(c.servingSlots)-demand, 0) / perHost
}

func collectWaves(state *fold.State, send emitGauge) {
	phases := map[inventory.WavePhase]int{}
	for name, wave := range state.Inventory.Waves {
		phases[wave.Phase]++
		send(waveHostsDesc, float64(wave.Pending), name, string(inventory.StepPending))
		send(waveHostsDesc, float64(len(wave.Stopped)), name, string(inventory.StepStopped))
		send(waveHostsDesc, float64(wave.Returned), name, string(inventory.StepReturned))
		send(waveHostsDesc, float64(wave.Failed), name, string(inventory.StepFailed))
	}
	for _, phase := range []inventory.WavePhase{inventory.WaveRunning, inventory.WavePaused, inventory.WaveStopped, inventory.WaveDone} {
		send(wavesDesc, float64(phases[phase]), string(phase))
	}
}

func collectUnits(state *fold.State, send emitGauge) {
	var limit, held, jobs, unallocated uint64
	for name, team := range state.Escrow.Teams {
		limit += team.Limit
		held += team.Held
		jobs += team.JobUnits
		unallocated += state.Escrow.Unallocated(name)
	}
	send(unitsDesc, float64(limit), "limit")
	send(unitsDesc, float64(held), "held")
	send(unitsDesc, float64(jobs), "jobs")
	send(unitsDesc, float64(unallocated), "unallocated")
	current, suspected := 0, 0
	for _, member := range state.Escrow.Members(v1.Role_ROLE_GATEWAY) {
		if member.Suspected {
			suspected++
			continue
		}
		current++
	}
	send(holdersDesc, float64(current), "current")
	send(holdersDesc, float64(suspected), "suspected")
}

func (g *Gauges) collectSnapshot(offset int64, send emitGauge) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.snapshotLearnedAt.IsZero() {
		return
	}
	send(snapshotAgeDesc, g.now().Sub(g.snapshotLearnedAt).Seconds())
	send(snapshotLagDesc, float64(max(offset-g.snapshotOffset, 0)))
}

func (g *Gauges) collectFollower(send emitGauge) {
	if lag, known := g.follower.Lag(); known {
		send(foldLagDesc, float64(lag))
	}
	if kind := g.follower.Status().GetFollowerError(); kind != "" {
		send(followerErrorDesc, 1, kind)
	}
	stopped := 0.0
	if g.follower.Stopped() {
		stopped = 1
	}
	send(followerStoppedDesc, stopped)
}
