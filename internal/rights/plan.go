package rights

import (
	"maps"
	"slices"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// planState is the state of planning for one incarnation.
type planState struct {
	// lastSampledAt is when demand was last observed.
	lastSampledAt time.Time
	// lastPlannedAt is when the last plan was made.
	lastPlannedAt time.Time
	// nextRecordAt is when the next record that moves rights is due.
	nextRecordAt time.Time
	// claimedEarly is set once a claim was made before nextRecordAt.
	claimedEarly bool
	// holdersByTeam is what the newest view shows about the holders of each team; nil until it is needed.
	holdersByTeam map[string][]holderRights
	// granted holds the holder's rights of each team in the newest view.
	granted map[string]uint64
	// lastGainAt holds when the holder last got rights of each team.
	lastGainAt map[string]time.Time
	// largeSurplusSince and anySurplusSince hold since when a team's surplus has been large, or above 0.
	largeSurplusSince map[string]time.Time
	anySurplusSince   map[string]time.Time
}

func newPlanState() planState {
	return planState{
		granted: map[string]uint64{}, lastGainAt: map[string]time.Time{},
		largeSurplusSince: map[string]time.Time{}, anySurplusSince: map[string]time.Time{},
	}
}

// observeGranted records when the holder gained rights of a team, by comparison with the previous view.
func (p *planState) observeGranted(granted map[string]uint64, now time.Time) {
	for team, units := range granted {
		if units > p.granted[team] {
			p.lastGainAt[team] = now
		}
	}
	p.granted = granted
}

// elapsedWhile returns how long the condition has held for the team. It keeps the start times in starts.
func elapsedWhile(starts map[string]time.Time, team string, condition bool, now time.Time) time.Duration {
	if !condition {
		delete(starts, team)
		return 0
	}
	start, known := starts[team]
	if !known {
		starts[team] = now
		return 0
	}
	return now.Sub(start)
}

// planRecord plans all teams and returns the record to propose, if any, with the units that it gives away.
// Claims alternate with records that give rights away, so that neither has to wait for long. h.mu must be
// held.
func (h *Holder) planRecord(current *incarnation, entry *structs.GatewayEntry, now time.Time) (*v1.Record, map[string]uint64) {
	due := !now.Before(h.plans.nextRecordAt)
	if now.Sub(h.plans.lastPlannedAt) < recordInterval || (!due && h.plans.claimedEarly) {
		return nil, nil
	}
	h.plans.lastPlannedAt = now
	plans := h.planTeams(current, entry, now, due)
	if !due {
		return h.earlyClaim(plans), nil
	}
	h.plans.claimedEarly = false
	claimRecord, gaveRights := newClaimRecord(plans), h.lastGaveRights
	if claimRecord != nil && gaveRights {
		h.lastGaveRights = false
		return claimRecord, nil
	}
	if record, outgoing := newGiveRecord(current, plans); record != nil {
		h.lastGaveRights = true
		return record, outgoing
	}
	h.lastGaveRights = false
	return claimRecord, nil
}

// earlyClaim returns a claim of unallocated units for waiting requests, before the next record is due. Only one
// claim can be early: the record after it is due after the intervals of both. h.mu must be held.
func (h *Holder) earlyClaim(plans []namedTeamPlan) *v1.Record {
	plans = slices.DeleteFunc(plans, func(p namedTeamPlan) bool { return p.claimUnits == 0 || h.view.Unallocated[p.team] == 0 })
	record := newClaimRecord(plans)
	h.plans.claimedEarly = record != nil
	return record
}

const (
	// fleetBytesPerSecond bounds the records of all holders together. Each controller reads all of them, and
	// has a budget of 3 KB/s for control traffic. While a record is delayed, requests go to a gateway that
	// has a free right.
	fleetBytesPerSecond = 1500
	// recordOverhead is the size in bytes of the offset and framing with which a reader receives a record.
	recordOverhead = 16
)

// scheduleNextRecord sets when the next record is due after a record of the size, so that all holders together
// stay within fleetBytesPerSecond even if each of them always has a record to propose. h.mu must be held.
func (h *Holder) scheduleNextRecord(size int, now time.Time) {
	fleetBytes := time.Duration((size + recordOverhead) * len(h.view.Gateways))
	next := h.plans.nextRecordAt
	if next.Before(now) {
		next = now
	}
	h.plans.nextRecordAt = next.Add(fleetBytes * time.Second / fleetBytesPerSecond)
}

// namedTeamPlan is a plan with the name of its team.
type namedTeamPlan struct {
	team string
	teamPlan
}

// planTeams returns the plans of the teams for which there is something to propose. Before a record is due,
// only teams with unallocated units are planned, and no holdback is set, since no rights can be given away
// yet. h.mu must be held.
func (h *Holder) planTeams(current *incarnation, entry *structs.GatewayEntry, now time.Time, due bool) []namedTeamPlan {
	accounts := *current.accounts.Load()
	if h.plans.holdersByTeam == nil {
		h.plans.holdersByTeam = rightsByTeam(h.view)
	}
	holdersByTeam := h.plans.holdersByTeam
	var plans []namedTeamPlan
	for _, team := range h.view.Teams {
		if !due && h.view.Unallocated[team.Name] == 0 {
			continue
		}
		a := accounts[team.Name]
		input := h.teamInput(current, team, holdersByTeam[team.Name], now)
		if !due {
			// An early claim is for waiting requests only.
			input.reserve = 0
		}
		if input.need == 0 && input.held == 0 && input.reserve == 0 && entry.Wants[team.Name] == 0 {
			continue
		}
		plan := planTeam(input)
		if due {
			a.setHoldback(plan.holdback)
		}
		if plan.sendClaim || plan.giveUnits > 0 {
			plans = append(plans, namedTeamPlan{team.Name, plan})
		}
	}
	return plans
}

// teamInput collects the input for planTeam. h.mu must be held.
func (h *Holder) teamInput(current *incarnation, team structs.Team, holders []holderRights, now time.Time) teamInput {
	teamDemand := current.demands[team.Name]
	if teamDemand == nil {
		teamDemand = &demand{}
	}
	held := current.account(team.Name).heldUnits()
	input := teamInput{
		self: current.ref, held: held, need: teamDemand.latest, peakNeed: teamDemand.peakNeed(),
		reserve:     reserveOf(team.UpperLimit, len(h.view.Gateways)),
		unallocated: h.view.Unallocated[team.Name], limit: team.UpperLimit,
		holders: holders, sinceGain: now.Sub(h.plans.lastGainAt[team.Name]),
	}
	input.surrenderTarget, input.surrendering = h.view.SurrenderTargets[team.Name]
	needed := max(input.need, input.peakNeed, input.reserve)
	extra := input.held - min(input.held, needed)
	input.largeSurplusFor = elapsedWhile(h.plans.largeSurplusSince, team.Name, isLargeSurplus(extra, needed), now)
	input.anySurplusFor = elapsedWhile(h.plans.anySurplusSince, team.Name, extra > 0, now)
	return input
}

// rightsByTeam returns the holders that have or want rights of each team, in order of name.
func rightsByTeam(view *structs.View) map[string][]holderRights {
	holdersByTeam := map[string][]holderRights{}
	for i := range view.Gateways {
		gateway := &view.Gateways[i]
		ref := lease.Ref{Name: gateway.Name, Incarnation: gateway.Incarnation}
		for team, units := range gateway.Rights {
			holdersByTeam[team] = append(holdersByTeam[team], holderRights{ref, units, gateway.Wants[team], gateway.Suspected})
		}
		for team, units := range gateway.Wants {
			if gateway.Rights[team] == 0 {
				holdersByTeam[team] = append(holdersByTeam[team], holderRights{ref, 0, units, gateway.Suspected})
			}
		}
	}
	return holdersByTeam
}

// clearHoldbacks lets requests use all free rights, since none can be given away now. h.mu must be held.
func (h *Holder) clearHoldbacks(current *incarnation) {
	for _, a := range *current.accounts.Load() {
		a.setHoldback(0)
	}
}

// newClaimRecord returns one Claim for all plans that send a claim, or nil if none does.
func newClaimRecord(plans []namedTeamPlan) *v1.Record {
	claim := &v1.Claim{}
	for _, plan := range plans {
		if plan.sendClaim {
			claim.Units = append(claim.Units, &v1.Units{Team: plan.team, Units: plan.claimUnits})
		}
	}
	if len(claim.GetUnits()) == 0 {
		return nil
	}
	return &v1.Record{Payload: &v1.Record_Claim{Claim: claim}}
}

// newGiveRecord withdraws rights from the accounts and returns a Return or Transfer of them, with the withdrawn
// units, or nil if there is nothing to give. Rights that a Surrender asks for come first, then those for the
// receiver of the most rights, then surplus.
func newGiveRecord(current *incarnation, plans []namedTeamPlan) (*v1.Record, map[string]uint64) {
	for _, selects := range []func(namedTeamPlan) bool{
		func(p namedTeamPlan) bool { return p.urgent },
		toLargestReceiver(plans),
		func(p namedTeamPlan) bool { return p.receiver == lease.Ref{} },
	} {
		outgoing := map[string]uint64{}
		var receiver lease.Ref
		for _, plan := range plans {
			if plan.giveUnits == 0 || !selects(plan) {
				continue
			}
			if units := current.account(plan.team).withdraw(plan.giveUnits); units > 0 {
				outgoing[plan.team] = units
				receiver = plan.receiver
			}
		}
		switch {
		case len(outgoing) == 0:
		case receiver == lease.Ref{}:
			return newReturnRecord(outgoing), outgoing
		default:
			return &v1.Record{Payload: &v1.Record_Transfer{Transfer: &v1.Transfer{
				To: receiver.Name, ToIncarnation: receiver.Incarnation, Units: unitList(outgoing),
			}}}, outgoing
		}
	}
	return nil, nil
}

// toLargestReceiver returns a filter for the plans of the receiver that gets the most rights in total.
func toLargestReceiver(plans []namedTeamPlan) func(namedTeamPlan) bool {
	sums := map[lease.Ref]uint64{}
	var largest lease.Ref
	for _, plan := range plans {
		if plan.receiver == (lease.Ref{}) {
			continue
		}
		sums[plan.receiver] += plan.giveUnits
		if largest == (lease.Ref{}) || sums[plan.receiver] > sums[largest] {
			largest = plan.receiver
		}
	}
	return func(p namedTeamPlan) bool { return p.receiver == largest && largest != (lease.Ref{}) }
}

// newReturnRecord returns a Return of the units, by team.
func newReturnRecord(units map[string]uint64) *v1.Record {
	return &v1.Record{Payload: &v1.Record_Return{Return: &v1.Return{Units: unitList(units)}}}
}

// unitList encodes units by team in order of the team's name.
func unitList(units map[string]uint64) []*v1.Units {
	var list []*v1.Units
	for _, team := range slices.Sorted(maps.Keys(units)) {
		list = append(list, &v1.Units{Team: team, Units: units[team]})
	}
	return list
}
