package rights

import (
	"slices"
	"sort"
	"strings"
	"time"

	"turmericyoke/internal/lease"
)

const (
	// turnSpan is how long a holder keeps a right that only the rounding of fair parts gave it while
	// another has none, such as the one right of a limit of 1.
	turnSpan = 10 * time.Second
	// surplusSpan is how long a large surplus must last before it is returned, and idleSpan how long
	// any surplus must last. They are longer than the peaks of queues, which last some seconds.
	surplusSpan = 30 * time.Second
	idleSpan    = 2 * time.Minute
	// smallSurplus is the surplus that is kept until idleSpan.
	smallSurplus = 2
)

// holderShare is what a view says about one holder's rights of one team.
type holderShare struct {
	ref   lease.Ref
	holds uint64
	wants uint64
	// suspected holders neither give nor take.
	suspected bool
}

// teamInput is what one holder knows about one team.
type teamInput struct {
	self lease.Ref
	// held is what the holder may use, need what this second asks for, and keep what the recent peak
	// asked for.
	held, need, keep uint64
	// reserve is what the holder keeps without demand, as long as no other holder lacks rights.
	reserve            uint64
	unallocated, limit uint64
	// surrender is set while bound limits the rights of all holders together.
	surrender bool
	bound     uint64
	// holders are all holders in order of name, the own one included.
	holders []holderShare
	// sinceGain is the time since the holder last got rights of the team.
	sinceGain time.Duration
	// surplusFor and idleFor tell how long the surplus has been large, and above 0.
	surplusFor, idleFor time.Duration
}

// teamPlan is what the holder should do about one team.
type teamPlan struct {
	// claims is set when claim should be asked for; a claim of 0 withdraws an earlier want.
	claims bool
	claim  uint64
	// give should go to receiver, or become unallocated when receiver is empty.
	give     uint64
	receiver lease.Ref
	urgent   bool
	// holdback isn't to be given out again to requests.
	holdback uint64
}

// divide decides about one team. It is a pure function.
func divide(in teamInput) teamPlan {
	if in.surrender {
		if plan, over := surrender(in); over {
			return plan
		}
	}
	plan := claim(in)
	if plan.claims && plan.claim > 0 && in.unallocated > 0 {
		return plan
	}
	wanted := othersWant(in)
	if wanted > 0 && in.unallocated == 0 {
		shared := share(in, wanted)
		shared.claims, shared.claim = plan.claims, plan.claim
		return shared
	}
	if wanted == 0 && !plan.claims {
		plan.give = surplus(in)
	}
	return plan
}

// claim asks for what is missing, and a quarter more while most units are unallocated. While none
// are, the claim only tells the others what is missing, and is repeated when that changes.
func claim(in teamInput) teamPlan {
	told := own(in).wants
	need := max(in.need, claimableReserve(in))
	if need <= in.held {
		return teamPlan{claims: told > 0}
	}
	missing := min(need-in.held, in.limit)
	if in.unallocated == 0 {
		change := max(missing, told) - min(missing, told)
		return teamPlan{claims: change > told/4, claim: missing}
	}
	if plenty := in.limit / 4; in.unallocated > plenty && in.need > in.held {
		missing = max(missing, min(missing+max(1, in.need/4), in.unallocated-plenty))
	}
	return teamPlan{claims: true, claim: missing}
}

// claimableReserve is the part of the reserve that the holder has or can get without taking what
// another holder lacks.
func claimableReserve(in teamInput) uint64 {
	if in.surrender || in.unallocated == 0 || othersWant(in) > 0 {
		return 0
	}
	return min(in.reserve, in.held+in.unallocated)
}

// reserveDivisor makes the reserves of all holders together at most half of a team's limit. The first
// requests of a team then need no record of the log, and a zone that is cut off has rights to use;
// the other half follows demand at once.
const reserveDivisor = 2

// reserveOf returns the reserve of one of several holders. Small limits have none, since most
// holders of a region would keep rights from the one that needs them.
func reserveOf(limit uint64, holders int) uint64 {
	return limit / uint64(reserveDivisor*max(holders, 1))
}

func own(in teamInput) holderShare {
	for _, holder := range in.holders {
		if holder.ref == in.self {
			return holder
		}
	}
	return holderShare{ref: in.self}
}

func othersWant(in teamInput) uint64 {
	sum := uint64(0)
	for _, holder := range in.holders {
		if holder.ref != in.self && !holder.suspected {
			sum += holder.wants
		}
	}
	return sum
}

// share gives others what they want: first what is unused here, then what is above the fair part.
func share(in teamInput, wanted uint64) teamPlan {
	if needed := max(in.need, in.keep); in.held > needed {
		return giveSpare(in, wanted, in.held-needed)
	}
	fair, rounded := fairPart(in)
	if in.held > fair+fair/10 {
		plan := giveTo(in, in.held-fair)
		plan.holdback = in.held - fair
		return plan
	}
	if rounded && in.held == fair && in.sinceGain >= turnSpan && largestHolder(in) {
		return takeTurn(in)
	}
	return teamPlan{}
}

// largestHolder reports whether no holder has more, or as much with a lower name. Only this one gives
// a right that the rounding of fair parts left it, so that a holder without any gets one at a time.
func largestHolder(in teamInput) bool {
	for _, holder := range in.holders {
		if holder.suspected || holder.ref == in.self {
			continue
		}
		if holder.holds > in.held || (holder.holds == in.held && holder.ref.Name < in.self.Name) {
			return false
		}
	}
	return true
}

// giveSpare gives a part of what is wanted: that of this holder's rights in those of all holders that
// want none, so that not all of them give the same holder the same units.
func giveSpare(in teamInput, wanted, spare uint64) teamPlan {
	content := uint64(0)
	for _, holder := range in.holders {
		if !holder.suspected && holder.wants == 0 {
			content += holder.holds
		}
	}
	content = max(content, in.held)
	part := (wanted*in.held + content - 1) / content
	return giveTo(in, min(spare, part))
}

// giveTo picks a receiver. Holders that give at the same time pick different ones.
func giveTo(in teamInput, units uint64) teamPlan {
	var wanting []holderShare
	place := 0
	for _, holder := range in.holders {
		switch {
		case holder.suspected:
		case holder.ref != in.self && holder.wants > 0:
			wanting = append(wanting, holder)
		case holder.ref.Name < in.self.Name:
			place++
		}
	}
	if len(wanting) == 0 || units == 0 {
		return teamPlan{}
	}
	slices.SortStableFunc(wanting, func(a, b holderShare) int {
		switch {
		case a.wants > b.wants:
			return -1
		case a.wants < b.wants:
			return 1
		}
		return strings.Compare(a.ref.Name, b.ref.Name)
	})
	receiver := wanting[place%len(wanting)]
	return teamPlan{give: min(units, receiver.wants), receiver: receiver.ref}
}

// fairPart returns the holder's part of all rights in proportion to demand, rounded up, and whether
// it was rounded. A demand counts up to the limit, which is as much as others see.
func fairPart(in teamInput) (part uint64, rounded bool) {
	mine := min(in.need, in.limit)
	demands := mine
	for _, holder := range in.holders {
		if holder.ref != in.self && !holder.suspected {
			demands += min(holder.holds+holder.wants, in.limit)
		}
	}
	if demands == 0 {
		return 0, false
	}
	part = (totalRights(in)*mine + demands - 1) / demands
	return part, part*demands > totalRights(in)*mine
}

func totalRights(in teamInput) uint64 {
	sum := in.held
	for _, holder := range in.holders {
		if holder.ref != in.self && !holder.suspected {
			sum += holder.holds
		}
	}
	return sum
}

// takeTurn gives one right to the next holder by name that wants some and has none.
func takeTurn(in teamInput) teamPlan {
	var first, next *holderShare
	for i := range in.holders {
		holder := &in.holders[i]
		if holder.suspected || holder.wants == 0 || holder.holds > 0 || holder.ref == in.self {
			continue
		}
		if first == nil {
			first = holder
		}
		if next == nil && holder.ref.Name > in.self.Name {
			next = holder
		}
	}
	if next == nil {
		next = first
	}
	if next == nil {
		return teamPlan{}
	}
	return teamPlan{give: 1, receiver: next.ref, holdback: 1}
}

// surplus is what is returned when nobody wants rights.
func surplus(in teamInput) uint64 {
	needed := max(in.need, in.keep, in.reserve)
	if in.held <= needed {
		return 0
	}
	extra := in.held - needed
	switch {
	case in.idleFor >= idleSpan:
		return extra
	case in.surplusFor >= surplusSpan && largeSurplus(extra, needed):
		return extra - needed/8
	}
	return 0
}

// largeSurplus reports whether the surplus is more than a quarter of what is needed.
func largeSurplus(extra, needed uint64) bool { return extra > max(smallSurplus, needed/4) }

// surrender returns what is above the holder's part of the bound; over is false once the rights of
// all holders are within it. Rights of suspected holders can't be returned, so the others make room.
func surrender(in teamInput) (plan teamPlan, over bool) {
	total, fixed, largest := uint64(0), uint64(0), uint64(0)
	for _, holder := range in.holders {
		total += holder.holds
		if holder.suspected {
			fixed += holder.holds
			continue
		}
		largest = max(largest, holder.holds)
	}
	if total <= in.bound {
		return teamPlan{}, false
	}
	part := levelPart(in, in.bound-min(in.bound, fixed), largest)
	if in.held <= part {
		return teamPlan{}, true
	}
	return teamPlan{give: in.held - part, holdback: in.held - part, urgent: true}, true
}

// levelPart returns the part of room for the holder when nobody has more than a common level. The
// level stays the same while some holders have come down to it and others haven't; parts in
// proportion to rights would shift with each record.
func levelPart(in teamInput, room, largest uint64) uint64 {
	filled := func(level uint64) uint64 {
		sum := uint64(0)
		for _, holder := range in.holders {
			if !holder.suspected {
				sum += min(holder.holds, level)
			}
		}
		return sum
	}
	above := sort.Search(int(largest)+1, func(level int) bool { return filled(uint64(level)) > room })
	level := uint64(max(above, 1) - 1)
	left := room - min(room, filled(level))
	for _, holder := range in.holders {
		if holder.suspected || holder.holds <= level {
			continue
		}
		if left == 0 {
			break
		}
		left--
		if holder.ref == in.self {
			return level + 1
		}
	}
	return level
}
