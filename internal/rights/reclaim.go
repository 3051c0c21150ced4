package rights

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

const (
	// rankStep is the additional delay per rank before a gateway acts on a lost holder, by collecting vows
	// against it or queueing its Reclaim, if no gateway of a lower rank has done so.
	rankStep = 5 * time.Second
	// retryInterval is the time between two attempts of one gateway to act on the same holder.
	retryInterval = 10 * time.Second
	// vowTimeout bounds the requests for vows. Members of a zone are milliseconds apart.
	vowTimeout = time.Second
	// maxQueuedRecords bounds the queue of Suspect and Reclaim records, which grows when a whole zone is lost.
	maxQueuedRecords = 64
)

// reclaimState is what a gateway knows about lost holders. It is kept when the gateway itself gets a new
// incarnation.
type reclaimState struct {
	// suspectedSince holds when this gateway first read that each holder is suspected.
	suspectedSince map[lease.Ref]time.Time
	// lastAttemptAt holds when this gateway last acted on each holder.
	lastAttemptAt map[lease.Ref]time.Time
	// queue holds Suspect and Reclaim records that are to be proposed.
	queue []*v1.Record
	// leaveProposed is set when the gateway proposes its Leave, and reset if that is rejected.
	leaveProposed bool
}

func newReclaimState() reclaimState {
	return reclaimState{suspectedSince: map[lease.Ref]time.Time{}, lastAttemptAt: map[lease.Ref]time.Time{}}
}

// refOf returns the reference of the entry's incarnation.
func refOf(entry *structs.GatewayEntry) lease.Ref {
	return lease.Ref{Name: entry.Name, Incarnation: entry.Incarnation}
}

// observe records when holders were first suspected, and drops the state of holders that are gone from the
// view.
func (r *reclaimState) observe(view *structs.View, now time.Time) {
	suspectedSince := make(map[lease.Ref]time.Time, len(r.suspectedSince))
	lastAttemptAt := make(map[lease.Ref]time.Time, len(r.lastAttemptAt))
	for i := range view.Gateways {
		ref := refOf(&view.Gateways[i])
		if last, known := r.lastAttemptAt[ref]; known {
			lastAttemptAt[ref] = last
		}
		if !view.Gateways[i].Suspected {
			continue
		}
		suspectedSince[ref] = now
		if start, known := r.suspectedSince[ref]; known {
			suspectedSince[ref] = start
		}
	}
	r.suspectedSince, r.lastAttemptAt = suspectedSince, lastAttemptAt
}

// nextRecord removes and returns the next queued record that is still needed according to the view, or nil. A
// Suspect is needed while its holder isn't suspected, and a Reclaim while its holder is in the view.
func (r *reclaimState) nextRecord(view *structs.View) *v1.Record {
	for len(r.queue) > 0 {
		record := r.queue[0]
		r.queue = r.queue[1:]
		if suspect := record.GetSuspect(); suspect != nil {
			entry := findEntry(view, lease.Ref{Name: suspect.GetHolder(), Incarnation: suspect.GetHolderIncarnation()})
			if entry != nil && !entry.Suspected {
				return record
			}
			continue
		}
		reclaim := record.GetReclaim()
		if findEntry(view, lease.Ref{Name: reclaim.GetHolder(), Incarnation: reclaim.GetHolderIncarnation()}) != nil {
			return record
		}
	}
	return nil
}

// reclaimWait returns how long to wait after reading an accepted Suspect before the rights are reclaimed. By
// then the holder's lease has expired and every request that it admitted has reached its deadline, even if
// the holder's clock is slower by the maximum drift.
func reclaimWait(entry *structs.GatewayEntry) time.Duration {
	longestRun := max(time.Duration(entry.LongestRunMS)*time.Millisecond, structs.DefaultMaxRunTime)
	wait := lease.Duration + longestRun
	return wait + wait/lease.ClockDriftDivisor
}

// StepFailureDetection looks once for lost holders. It collects vows against silent members of the zone, and
// queues Reclaim records of suspected holders whose waiting time is over.
func (h *Holder) StepFailureDetection(ctx context.Context) {
	for _, member := range h.findSilentMembers() {
		h.collectVows(ctx, member)
	}
}

// findSilentMembers returns the silent members of the zone against which this gateway should collect vows
// now. It also queues the Reclaim records that are due.
func (h *Holder) findSilentMembers() []structs.GatewayEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, now := h.current.Load(), h.cfg.Now()
	if !current.joined || h.reclaims.leaveProposed || now.Sub(h.viewFreshAt) > maxViewAge {
		return nil
	}
	var silent []structs.GatewayEntry
	for i := range h.view.Gateways {
		entry := &h.view.Gateways[i]
		ref := refOf(entry)
		if last, attempted := h.reclaims.lastAttemptAt[ref]; ref == current.ref || (attempted && now.Sub(last) < retryInterval) {
			continue
		}
		if entry.Suspected {
			h.enqueueReclaimIfDue(entry, now)
			continue
		}
		silentFor, member := h.lease.SilentFor(ref)
		if member && silentFor >= lease.MinSilence+h.rankDelay(entry, h.cfg.Zone) {
			h.reclaims.lastAttemptAt[ref] = now
			silent = append(silent, *entry)
		}
	}
	return silent
}

// enqueueReclaimIfDue queues the Reclaim of a suspected holder once its waiting time and this gateway's rank
// delay are over. h.mu must be held.
func (h *Holder) enqueueReclaimIfDue(entry *structs.GatewayEntry, now time.Time) {
	ref := refOf(entry)
	if now.Sub(h.reclaims.suspectedSince[ref]) < reclaimWait(entry)+h.rankDelay(entry, "") {
		return
	}
	h.reclaims.lastAttemptAt[ref] = now
	h.enqueue(&v1.Record{Payload: &v1.Record_Reclaim{Reclaim: &v1.Reclaim{
		Holder: entry.Name, HolderIncarnation: entry.Incarnation,
	}}})
}

// enqueue queues the record to be proposed. If the queue is full, the record is dropped; after retryInterval
// the gateway tries again. h.mu must be held.
func (h *Holder) enqueue(record *v1.Record) {
	if len(h.reclaims.queue) < maxQueuedRecords {
		h.reclaims.queue = append(h.reclaims.queue, record)
	}
}

// rankDelay returns how much longer this gateway waits before it acts on a lost holder, so that the gateways
// don't all act at once. The gateways of the zone, or all of them if zone is empty, are ranked by rendezvous
// hashing. h.mu must be held.
func (h *Holder) rankDelay(holder *structs.GatewayEntry, zone string) time.Duration {
	rank := 0
	ownScore := rendezvousScore(holder, h.cfg.Name)
	for i := range h.view.Gateways {
		other := &h.view.Gateways[i]
		if other.Suspected || other.Name == holder.Name || other.Name == h.cfg.Name || (zone != "" && other.Zone != zone) {
			continue
		}
		if rendezvousScore(holder, other.Name) > ownScore {
			rank++
		}
	}
	return time.Duration(rank) * rankStep
}

// rendezvousScore returns the candidate's score for the holder; the highest score has rank 0.
func rendezvousScore(holder *structs.GatewayEntry, candidate string) uint64 {
	hash := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = hash.Write([]byte(holder.Name + "\x00" + candidate))
	return hash.Sum64()
}

// collectVows requests vows against the holder from the other members, and queues a Suspect if they form a
// quorum together with the own vow. This gateway vows last, and only if that completes the quorum: if it is
// itself cut off, it thus makes no vow against members that it can't hear.
func (h *Holder) collectVows(ctx context.Context, holder structs.GatewayEntry) {
	members := h.voters()
	vows := h.requestVows(ctx, refOf(&holder), members)
	names := make([]string, 0, len(members))
	vowed := map[string]bool{h.cfg.Name: true}
	for _, member := range members {
		names = append(names, member.Name)
	}
	for _, vow := range vows {
		vowed[vow.GetMember()] = true
	}
	if !lease.IsQuorum(names, func(name string) bool { return vowed[name] }) {
		return
	}
	ownVow := h.Vow(holder.Name, holder.Incarnation)
	if ownVow == nil {
		return
	}
	vows = append(vows, ownVow)
	slices.SortFunc(vows, func(a, b *v1.Vow) int { return cmp.Compare(a.GetMember(), b.GetMember()) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enqueue(&v1.Record{Payload: &v1.Record_Suspect{Suspect: &v1.Suspect{
		Holder: holder.Name, HolderIncarnation: holder.Incarnation, Vows: vows,
	}}})
}

// voters returns the view's entries of the members of the zone, this gateway included.
func (h *Holder) voters() []structs.GatewayEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []structs.GatewayEntry
	for _, entry := range h.view.Gateways {
		if entry.Zone == h.cfg.Zone && !entry.Suspected {
			members = append(members, entry)
		}
	}
	return members
}

// requestVows requests vows from the members other than this gateway and the holder, in parallel. A vow counts
// only if it is from the member's incarnation in the view.
func (h *Holder) requestVows(ctx context.Context, holder lease.Ref, members []structs.GatewayEntry) []*v1.Vow {
	ctx, cancel := context.WithTimeout(ctx, vowTimeout)
	defer cancel()
	vows := make([]*v1.Vow, len(members))
	var calls sync.WaitGroup
	for i, member := range members {
		if member.Name == h.cfg.Name || member.Name == holder.Name {
			continue
		}
		calls.Go(func() {
			vow, err := h.cfg.Peers.RequestVow(ctx, member, holder)
			if err == nil && vow != nil && vow.GetMember() == member.Name && vow.GetIncarnation() == member.Incarnation {
				vows[i] = vow
			}
		})
	}
	calls.Wait()
	return slices.DeleteFunc(vows, func(vow *v1.Vow) bool { return vow == nil })
}
