package rights

import (
	"slices"
	"sort"
	"strings"
	"time"

	"turmericyoke/internal/lease"
)

const (
	// minTurn is how long a holder keeps a right that it has only because its fair share was rounded up, before
	// it passes the right to a holder without any. An example is the only right of a limit of 1.
	minTurn = 10 * time.Second
	// largeSurplusDelay is how long a large surplus must last before it is returned, and anySurplusDelay how
	// long any surplus must last. Both are longer than the peaks of queues, which last some seconds.
	largeSurplusDelay = 30 * time.Second
	anySurplusDelay   = 2 * time.Minute
	// smallSurplusUnits is the largest surplus that is kept until anySurplusDelay has passed, whatever the
	// need.
	smallSurplusUnits = 2
)

// holderRights is what a view shows about one holder and one team.
type holderRights struct {
	ref lease.Ref
	// held is the number of rights that the holder has.
	held uint64
	// wants is the number of rights that the holder claimed and didn't get.
	wants uint64
	// suspected is set if the holder is suspected; its rights then can't move until they are reclaimed.
	suspected bool
}

// teamInput is what the planning holder knows about one team. Except for holders, the fields describe the
// planning holder or the team as a whole.
type teamInput struct {
	self lease.Ref
	// held is the number of rights that the holder has, need the number that it needs now, and peakNeed the
	// number for a peak like the recent one.
	held, need, peakNeed uint64
	// reserve is the number of rights that the holder keeps without demand, as long as no other holder lacks
	// rights.
	reserve uint64
	// unallocated is the number of units of the team that are neither rights nor used by jobs, and limit is the
	// team's upper limit.
	unallocated, limit uint64
	// surrendering is set while a Surrender asks the holders to reduce their rights to surrenderTarget in
	// total.
	surrendering    bool
	surrenderTarget uint64
	// holders are all holders that have or want rights of the team, in order of name, self included.
	holders []holderRights
	// sinceGain is the time since the holder last got rights of the team.
	sinceGain time.Duration
	// largeSurplusFor is how long the surplus has been large, and anySurplusFor how long there has been one.
	largeSurplusFor, anySurplusFor time.Duration
}

// teamPlan is what the holder should do about one team.
type teamPlan struct {
	// sendClaim is set if the holder should claim claimUnits; a claim of 0 withdraws an earlier want.
	sendClaim  bool
	claimUnits uint64
	// giveUnits is the number of rights to transfer to receiver, or to return if receiver is empty.
	giveUnits uint64
	receiver  lease.Ref
	// urgent is set if giveUnits is due to a Surrender.
	urgent bool
	// holdback is the number of rights that requests shouldn't acquire even if they are free.
	holdback uint64
}

// planTeam returns what the holder should do about one team. It is a pure function.
func planTeam(input teamInput) teamPlan {
	if input.surrendering {
		if plan, over := planSurrender(input); over {
			return plan
		}
	}
	plan := planClaim(input)
	if plan.sendClaim && plan.claimUnits > 0 && input.unallocated > 0 {
		return plan
	}
	wanted := wantedByOthers(input)
	if wanted > 0 && input.unallocated == 0 {
		transfer := planTransfer(input, wanted)
		transfer.sendClaim, transfer.claimUnits = plan.sendClaim, plan.claimUnits
		return transfer
	}
	if wanted == 0 && !plan.sendClaim {
		plan.giveUnits = returnableSurplus(input)
	}
	return plan
}

// planClaim claims the rights that are missing, and up to a quarter of the need on top as long as that
// leaves a quarter of the limit unallocated; a claim for the reserve alone gets nothing on top. While no
// unit is unallocated, the claim only tells the other holders how many rights are missing; it is repeated
// when that number has changed by more than a quarter.
func planClaim(input teamInput) teamPlan {
	announced := ownRights(input).wants
	need := max(input.need, claimableReserve(input))
	if need <= input.held {
		return teamPlan{sendClaim: announced > 0}
	}
	missing := min(need-input.held, input.limit)
	if input.unallocated == 0 {
		change := max(missing, announced) - min(missing, announced)
		return teamPlan{sendClaim: change > announced/4, claimUnits: missing}
	}
	if keepUnallocated := input.limit / 4; input.unallocated > keepUnallocated && input.need > input.held {
		missing = max(missing, min(missing+max(1, input.need/4), input.unallocated-keepUnallocated))
	}
	return teamPlan{sendClaim: true, claimUnits: missing}
}

// claimableReserve returns the part of the reserve that the holder has or can claim. It is 0 while another
// holder lacks rights.
func claimableReserve(input teamInput) uint64 {
	if input.surrendering || input.unallocated == 0 || wantedByOthers(input) > 0 {
		return 0
	}
	return min(input.reserve, input.held+input.unallocated)
}

// reserveDivisor limits the reserves of all holders together to half of a team's limit. With a reserve, the
// first requests of a team need no record of the log, and a zone that is cut off has rights to use. The other
// half of the limit stays free to follow demand at once.
const reserveDivisor = 2

// reserveOf returns the reserve of each holder. It is 0 for small limits: otherwise holders without demand
// would keep most of the rights from the holder that needs them.
func reserveOf(limit uint64, holders int) uint64 {
	return limit / uint64(reserveDivisor*max(holders, 1))
}

// ownRights returns what the view shows about the planning holder.
func ownRights(input teamInput) holderRights {
	for _, holder := range input.holders {
		if holder.ref == input.self {
			return holder
		}
	}
	return holderRights{ref: input.self}
}

// wantedByOthers returns the number of rights that the other holders want and don't have.
func wantedByOthers(input teamInput) uint64 {
	sum := uint64(0)
	for _, holder := range input.holders {
		if holder.ref != input.self && !holder.suspected {
			sum += holder.wants
		}
	}
	return sum
}

// planTransfer gives rights to holders that want some: first those that this holder doesn't need, then those
// above its fair share.
func planTransfer(input teamInput, wanted uint64) teamPlan {
	if needed := max(input.need, input.peakNeed); input.held > needed {
		return transferSpare(input, wanted, input.held-needed)
	}
	fair, roundedUp := fairShare(input)
	if input.held > fair+fair/10 {
		plan := transferTo(input, input.held-fair)
		plan.holdback = input.held - fair
		return plan
	}
	if roundedUp && input.held == fair && input.sinceGain >= minTurn && isLargestHolder(input) {
		return passTurn(input)
	}
	return teamPlan{}
}

// isLargestHolder reports whether no other holder has more rights, or as many and a lower name. Only this
// holder passes on a right that the rounding of fair shares left it, so that a holder without any gets one
// right at a time.
func isLargestHolder(input teamInput) bool {
	for _, holder := range input.holders {
		if holder.suspected || holder.ref == input.self {
			continue
		}
		if holder.held > input.held || (holder.held == input.held && holder.ref.Name < input.self.Name) {
			return false
		}
	}
	return true
}

// transferSpare gives a part of the wanted rights, in proportion to this holder's part of the rights of all
// holders that want none. Otherwise each of those holders would give the same receiver all that it wants.
func transferSpare(input teamInput, wanted, spare uint64) teamPlan {
	satisfiedTotal := uint64(0)
	for _, holder := range input.holders {
		if !holder.suspected && holder.wants == 0 {
			satisfiedTotal += holder.held
		}
	}
	satisfiedTotal = max(satisfiedTotal, input.held)
	portion := (wanted*input.held + satisfiedTotal - 1) / satisfiedTotal
	return transferTo(input, min(spare, portion))
}

// transferTo plans a transfer of up to the given number of rights to one receiver. It picks the receiver by
// the position of this holder among the holders that want none, so that holders which give at the same time
// pick different ones.
func transferTo(input teamInput, units uint64) teamPlan {
	var receivers []holderRights
	position := 0
	for _, holder := range input.holders {
		switch {
		case holder.suspected:
		case holder.ref != input.self && holder.wants > 0:
			receivers = append(receivers, holder)
		case holder.ref.Name < input.self.Name:
			position++
		}
	}
	if len(receivers) == 0 || units == 0 {
		return teamPlan{}
	}
	slices.SortStableFunc(receivers, func(a, b holderRights) int {
		switch {
		case a.wants > b.wants:
			return -1
		case a.wants < b.wants:
			return 1
		}
		return strings.Compare(a.ref.Name, b.ref.Name)
	})
	receiver := receivers[position%len(receivers)]
	return teamPlan{giveUnits: min(units, receiver.wants), receiver: receiver.ref}
}

// fairShare returns the holder's part of all rights in proportion to demand, rounded up, and whether rounding
// changed it. Each demand counts up to the limit only, since that is as much as other holders can see of it.
func fairShare(input teamInput) (share uint64, roundedUp bool) {
	ownDemand := min(input.need, input.limit)
	totalDemand := ownDemand
	for _, holder := range input.holders {
		if holder.ref != input.self && !holder.suspected {
			totalDemand += min(holder.held+holder.wants, input.limit)
		}
	}
	if totalDemand == 0 {
		return 0, false
	}
	share = (totalRights(input)*ownDemand + totalDemand - 1) / totalDemand
	return share, share*totalDemand > totalRights(input)*ownDemand
}

// totalRights returns the rights of all holders that aren't suspected.
func totalRights(input teamInput) uint64 {
	sum := input.held
	for _, holder := range input.holders {
		if holder.ref != input.self && !holder.suspected {
			sum += holder.held
		}
	}
	return sum
}

// passTurn gives one right to the next holder in order of name that wants some and has none.
func passTurn(input teamInput) teamPlan {
	var first, next *holderRights
	for i := range input.holders {
		holder := &input.holders[i]
		if holder.suspected || holder.wants == 0 || holder.held > 0 || holder.ref == input.self {
			continue
		}
		if first == nil {
			first = holder
		}
		if next == nil && holder.ref.Name > input.self.Name {
			next = holder
		}
	}
	if next == nil {
		next = first
	}
	if next == nil {
		return teamPlan{}
	}
	return teamPlan{giveUnits: 1, receiver: next.ref, holdback: 1}
}

// returnableSurplus returns the number of rights to return while no holder wants any.
func returnableSurplus(input teamInput) uint64 {
	needed := max(input.need, input.peakNeed, input.reserve)
	if input.held <= needed {
		return 0
	}
	extra := input.held - needed
	switch {
	case input.anySurplusFor >= anySurplusDelay:
		return extra
	case input.largeSurplusFor >= largeSurplusDelay && isLargeSurplus(extra, needed):
		return extra - needed/8
	}
	return 0
}

// isLargeSurplus reports whether extra is more than smallSurplusUnits and than a quarter of needed.
func isLargeSurplus(extra, needed uint64) bool { return extra > max(smallSurplusUnits, needed/4) }

// planSurrender plans to return the rights above the holder's part of the surrender target. over is false
// once the rights of all holders are within the target. Suspected holders can't return rights, so the other
// holders return more in their place.
func planSurrender(input teamInput) (plan teamPlan, over bool) {
	total, suspectedTotal, largest := uint64(0), uint64(0), uint64(0)
	for _, holder := range input.holders {
		total += holder.held
		if holder.suspected {
			suspectedTotal += holder.held
			continue
		}
		largest = max(largest, holder.held)
	}
	if total <= input.surrenderTarget {
		return teamPlan{}, false
	}
	share := waterFillShare(input, input.surrenderTarget-min(input.surrenderTarget, suspectedTotal), largest)
	if input.held <= share {
		return teamPlan{}, true
	}
	return teamPlan{giveUnits: input.held - share, holdback: input.held - share, urgent: true}, true
}

// waterFillShare returns the holder's part of capacity by water-filling: each holder may keep its rights up to a
// common level. No holder has more than largest. The level stays the same while some holders have already come
// down to it and others haven't, whereas shares in proportion to the rights would change with each record.
func waterFillShare(input teamInput, capacity, largest uint64) uint64 {
	totalAt := func(level uint64) uint64 {
		sum := uint64(0)
		for _, holder := range input.holders {
			if !holder.suspected {
				sum += min(holder.held, level)
			}
		}
		return sum
	}
	firstAbove := sort.Search(int(largest)+1, func(level int) bool { return totalAt(uint64(level)) > capacity })
	level := uint64(max(firstAbove, 1) - 1)
	remainder := capacity - min(capacity, totalAt(level))
	for _, holder := range input.holders {
		if holder.suspected || holder.held <= level {
			continue
		}
		if remainder == 0 {
			break
		}
		remainder--
		if holder.ref == input.self {
			return level + 1
		}
	}
	return level
}
