package rights

import (
	"maps"
	"slices"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// planMemory is what plans remember of one life.
type planMemory struct {
	sampled time.Time
	// planned is when the last plan was made, and shares what the newest view says, by team.
	planned time.Time
	// nextRecord is when the next record that moves rights is due, and claimedEarly whether a claim
	// was made before that.
	nextRecord   time.Time
	claimedEarly bool
	shares       map[string][]holderShare
	samples      map[string]sample
	granted      map[string]uint64
	// gained holds when rights of a team last came in; surplusSince and idleSince since when the
	// surplus is large, or above 0.
	gained       map[string]time.Time
	surplusSince map[string]time.Time
	idleSince    map[string]time.Time
}

func newPlanMemory() planMemory {
	return planMemory{
		samples: map[string]sample{}, granted: map[string]uint64{}, gained: map[string]time.Time{},
		surplusSince: map[string]time.Time{}, idleSince: map[string]time.Time{},
	}
}

// observe notes which teams got rights.
func (m *planMemory) observe(granted map[string]uint64, now time.Time) {
	for team, units := range granted {
		if units > m.granted[team] {
			m.gained[team] = now
		}
	}
	m.granted = granted
}

// since starts, continues or ends a span, and returns its length.
func since(spans map[string]time.Time, team string, on bool, now time.Time) time.Duration {
	if !on {
		delete(spans, team)
		return 0
	}
	start, running := spans[team]
	if !running {
		spans[team] = now
		return 0
	}
	return now.Sub(start)
}

// plan needs the lock. It decides about all teams and says the most useful thing. Records that take
// and records that give alternate, so that neither waits for long.
func (h *Holder) plan(current *life, entry *structs.GatewayEntry, now time.Time) (*v1.Record, map[string]uint64) {
	due := !now.Before(h.plans.nextRecord)
	if now.Sub(h.plans.planned) < recordInterval || (!due && h.plans.claimedEarly) {
		return nil, nil
	}
	h.plans.planned = now
	plans := h.divideTeams(current, entry, now, due)
	if !due {
		return h.earlyClaim(plans), nil
	}
	h.plans.claimedEarly = false
	take, gave := claimRecord(plans), h.gaveLast
	if take != nil && gave {
		h.gaveLast = false
		return take, nil
	}
	if record, out := giveRecord(current, plans); record != nil {
		h.gaveLast = true
		return record, out
	}
	h.gaveLast = false
	return take, nil
}

// earlyClaim needs the lock. It claims what is unallocated for requests that wait, though the next
// record isn't due. Only one claim is early; the record after it waits for the intervals of both.
func (h *Holder) earlyClaim(plans []teamDecision) *v1.Record {
	plans = slices.DeleteFunc(plans, func(p teamDecision) bool { return p.claim == 0 || h.view.Unallocated[p.team] == 0 })
	record := claimRecord(plans)
	h.plans.claimedEarly = record != nil
	return record
}

const (
	// bytesPerSecond bounds the records of all holders together, since each controller reads all of
	// them and may spend 3 KB/s on control. Requests meanwhile go to a gateway that has a right.
	bytesPerSecond = 1500
	// recordOverhead is the size of a record's offset and framing for a reader, in bytes.
	recordOverhead = 16
)

// charge needs the lock. It sets when the next record is due, so that all holders together stay
// within bytesPerSecond when each of them has something to say.
func (h *Holder) charge(size int, now time.Time) {
	bytes := time.Duration((size + recordOverhead) * len(h.view.Gateways))
	next := h.plans.nextRecord
	if next.Before(now) {
		next = now
	}
	h.plans.nextRecord = next.Add(bytes * time.Second / bytesPerSecond)
}

// teamDecision is the plan for one team.
type teamDecision struct {
	team string
	teamPlan
}

// divideTeams needs the lock. Before a record is due, only teams with unallocated units matter, and no
// rights are kept back, since none can be given.
func (h *Holder) divideTeams(current *life, entry *structs.GatewayEntry, now time.Time, due bool) []teamDecision {
	accounts := *current.accounts.Load()
	if h.plans.shares == nil {
		h.plans.shares = sharesByTeam(h.view)
	}
	shares := h.plans.shares
	var plans []teamDecision
	for _, team := range h.view.Teams {
		if !due && h.view.Unallocated[team.Name] == 0 {
			continue
		}
		a := accounts[team.Name]
		in := h.teamInput(current, team, shares[team.Name], now)
		if !due {
			// Only requests that wait are a reason for an early claim.
			in.reserve = 0
		}
		if in.need == 0 && in.held == 0 && in.reserve == 0 && entry.Wants[team.Name] == 0 {
			continue
		}
		plan := divide(in)
		if due {
			a.setHoldback(plan.holdback)
		}
		if plan.claims || plan.give > 0 {
			plans = append(plans, teamDecision{team.Name, plan})
		}
	}
	return plans
}

func (h *Holder) teamInput(current *life, team structs.Team, holders []holderShare, now time.Time) teamInput {
	wanted := current.demands[team.Name]
	if wanted == nil {
		wanted = &demand{}
	}
	held := current.account(team.Name).sampleHeld()
	in := teamInput{
		self: current.ref, held: held, need: wanted.now, keep: wanted.keep(),
		reserve:     reserveOf(team.UpperLimit, len(h.view.Gateways)),
		unallocated: h.view.Unallocated[team.Name], limit: team.UpperLimit,
		holders: holders, sinceGain: now.Sub(h.plans.gained[team.Name]),
	}
	in.bound, in.surrender = h.view.SurrenderTargets[team.Name]
	needed := max(in.need, in.keep, in.reserve)
	extra := in.held - min(in.held, needed)
	in.surplusFor = since(h.plans.surplusSince, team.Name, largeSurplus(extra, needed), now)
	in.idleFor = since(h.plans.idleSince, team.Name, extra > 0, now)
	return in
}

// sharesByTeam lists the holders of each team in order of name.
func sharesByTeam(view *structs.View) map[string][]holderShare {
	shares := map[string][]holderShare{}
	for i := range view.Gateways {
		gateway := &view.Gateways[i]
		ref := lease.Ref{Name: gateway.Name, Incarnation: gateway.Incarnation}
		for team, units := range gateway.Rights {
			shares[team] = append(shares[team], holderShare{ref, units, gateway.Wants[team], gateway.Suspected})
		}
		for team, units := range gateway.Wants {
			if gateway.Rights[team] == 0 {
				shares[team] = append(shares[team], holderShare{ref, 0, units, gateway.Suspected})
			}
		}
	}
	return shares
}

// clearHoldbacks needs the lock. While rights can't move, none is kept back from requests.
func (h *Holder) clearHoldbacks(current *life) {
	for _, a := range *current.accounts.Load() {
		a.setHoldback(0)
	}
}

// claimRecord claims for all teams at once, or returns nil.
func claimRecord(plans []teamDecision) *v1.Record {
	claim := &v1.Claim{}
	for _, plan := range plans {
		if plan.claims {
			claim.Units = append(claim.Units, &v1.Units{Team: plan.team, Units: plan.claim})
		}
	}
	if len(claim.GetUnits()) == 0 {
		return nil
	}
	return &v1.Record{Payload: &v1.Record_Claim{Claim: claim}}
}

// giveRecord takes rights out of the accounts and gives them away: first those of a surrender, then
// those for the receiver that gets most, then those that nobody needs.
func giveRecord(current *life, plans []teamDecision) (*v1.Record, map[string]uint64) {
	for _, pick := range []func(teamDecision) bool{
		func(p teamDecision) bool { return p.urgent },
		toLargestReceiver(plans),
		func(p teamDecision) bool { return p.receiver == lease.Ref{} },
	} {
		out := map[string]uint64{}
		var receiver lease.Ref
		for _, plan := range plans {
			if plan.give == 0 || !pick(plan) {
				continue
			}
			if given := current.account(plan.team).give(plan.give); given > 0 {
				out[plan.team] = given
				receiver = plan.receiver
			}
		}
		switch {
		case len(out) == 0:
		case receiver == lease.Ref{}:
			return returnRecord(out), out
		default:
			return &v1.Record{Payload: &v1.Record_Transfer{Transfer: &v1.Transfer{
				To: receiver.Name, ToIncarnation: receiver.Incarnation, Units: unitList(out),
			}}}, out
		}
	}
	return nil, nil
}

func toLargestReceiver(plans []teamDecision) func(teamDecision) bool {
	sums := map[lease.Ref]uint64{}
	var best lease.Ref
	for _, plan := range plans {
		if plan.receiver == (lease.Ref{}) {
			continue
		}
		sums[plan.receiver] += plan.give
		if best == (lease.Ref{}) || sums[plan.receiver] > sums[best] {
			best = plan.receiver
		}
	}
	return func(p teamDecision) bool { return p.receiver == best && best != (lease.Ref{}) }
}

func returnRecord(out map[string]uint64) *v1.Record {
	return &v1.Record{Payload: &v1.Record_Return{Return: &v1.Return{Units: unitList(out)}}}
}

func unitList(out map[string]uint64) []*v1.Units {
	var list []*v1.Units
	for _, team := range slices.Sorted(maps.Keys(out)) {
		list = append(list, &v1.Units{Team: team, Units: out[team]})
	}
	return list
}
