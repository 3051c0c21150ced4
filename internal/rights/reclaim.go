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
	// rankStep is the time after which the next gateway acts on a holder that nobody dealt with.
	rankStep = 5 * time.Second
	// retryAfter is the time between two attempts of one gateway.
	retryAfter = 10 * time.Second
	// vowTimeout bounds a request for a vow: members of a zone are milliseconds apart.
	vowTimeout = time.Second
	// maxQueuedRecords bounds the records that wait for their turn, such as when a zone is lost.
	maxQueuedRecords = 64
)

// reclaimMemory is what a gateway remembers about holders that are lost. It survives the gateway's
// own lives.
type reclaimMemory struct {
	// suspectedSince holds when this gateway first read that a holder is suspected.
	suspectedSince map[lease.Ref]time.Time
	tried          map[lease.Ref]time.Time
	queue          []*v1.Record
	// left is set from when the gateway proposes its Leave.
	left bool
}

func newReclaimMemory() reclaimMemory {
	return reclaimMemory{suspectedSince: map[lease.Ref]time.Time{}, tried: map[lease.Ref]time.Time{}}
}

func refOf(entry *structs.GatewayEntry) lease.Ref {
	return lease.Ref{Name: entry.Name, Incarnation: entry.Incarnation}
}

// observe starts the waiting times of newly suspected holders.
func (m *reclaimMemory) observe(view *structs.View, now time.Time) {
	since := make(map[lease.Ref]time.Time, len(m.suspectedSince))
	tried := make(map[lease.Ref]time.Time, len(m.tried))
	for i := range view.Gateways {
		ref := refOf(&view.Gateways[i])
		if last, known := m.tried[ref]; known {
			tried[ref] = last
		}
		if !view.Gateways[i].Suspected {
			continue
		}
		since[ref] = now
		if start, known := m.suspectedSince[ref]; known {
			since[ref] = start
		}
	}
	m.suspectedSince, m.tried = since, tried
}

// next returns the next queued record that the view still asks for.
func (m *reclaimMemory) next(view *structs.View) *v1.Record {
	for len(m.queue) > 0 {
		record := m.queue[0]
		m.queue = m.queue[1:]
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

// reclaimWait is how long to wait after reading a Suspect: by then the holder's lease has ended, and
// every request that it admitted has reached its deadline, on a clock of any permitted rate.
func reclaimWait(entry *structs.GatewayEntry) time.Duration {
	run := max(time.Duration(entry.LongestRunMS)*time.Millisecond, structs.DefaultMaxRunTime)
	span := lease.Span + run
	return span + span/lease.RateBound
}

// StepSuspicion looks for lost holders: it collects vows against silent members of the zone, and
// queues the reclaiming of holders whose waiting time is over.
func (h *Holder) StepSuspicion(ctx context.Context) {
	for _, silent := range h.lookAtHolders() {
		h.collectVows(ctx, silent)
	}
}

// lookAtHolders queues Reclaim records and returns the silent members that this gateway should
// collect vows against now.
func (h *Holder) lookAtHolders() []structs.GatewayEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, now := h.life.Load(), h.cfg.Now()
	if !current.joined || h.reclaims.left || now.Sub(h.freshAt) > staleAfter {
		return nil
	}
	var silent []structs.GatewayEntry
	for i := range h.view.Gateways {
		entry := &h.view.Gateways[i]
		ref := refOf(entry)
		if last, tried := h.reclaims.tried[ref]; ref == current.ref || (tried && now.Sub(last) < retryAfter) {
			continue
		}
		if entry.Suspected {
			h.considerReclaim(entry, now)
			continue
		}
		span, member := h.keeper.SilentFor(ref)
		if member && span >= lease.Silence+h.rankDelay(entry, h.cfg.Zone) {
			h.reclaims.tried[ref] = now
			silent = append(silent, *entry)
		}
	}
	return silent
}

// considerReclaim needs the lock.
func (h *Holder) considerReclaim(entry *structs.GatewayEntry, now time.Time) {
	ref := refOf(entry)
	if now.Sub(h.reclaims.suspectedSince[ref]) < reclaimWait(entry)+h.rankDelay(entry, "") {
		return
	}
	h.reclaims.tried[ref] = now
	h.enqueue(&v1.Record{Payload: &v1.Record_Reclaim{Reclaim: &v1.Reclaim{
		Holder: entry.Name, HolderIncarnation: entry.Incarnation,
	}}})
}

// enqueue needs the lock.
func (h *Holder) enqueue(record *v1.Record) {
	if len(h.reclaims.queue) < maxQueuedRecords {
		h.reclaims.queue = append(h.reclaims.queue, record)
	}
}

// rankDelay needs the lock. It spreads the gateways that could act on a holder: those of the zone,
// or all of them when zone is empty. They are ranked by rendezvous hash.
func (h *Holder) rankDelay(holder *structs.GatewayEntry, zone string) time.Duration {
	rank := 0
	mine := score(holder, h.cfg.Name)
	for i := range h.view.Gateways {
		other := &h.view.Gateways[i]
		if other.Suspected || other.Name == holder.Name || other.Name == h.cfg.Name || (zone != "" && other.Zone != zone) {
			continue
		}
		if score(holder, other.Name) > mine {
			rank++
		}
	}
	return time.Duration(rank) * rankStep
}

func score(holder *structs.GatewayEntry, candidate string) uint64 {
	sum := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = sum.Write([]byte(holder.Name + "\x00" + candidate))
	return sum.Sum64()
}

// collectVows asks the other members and queues a Suspect if the vows are a quorum. The own vow
// comes last, and only when it completes a quorum: a gateway that is itself cut off then promises
// nothing against the members that it can't hear.
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
	own := h.Vow(holder.Name, holder.Incarnation)
	if own == nil {
		return
	}
	vows = append(vows, own)
	slices.SortFunc(vows, func(a, b *v1.Vow) int { return cmp.Compare(a.GetMember(), b.GetMember()) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enqueue(&v1.Record{Payload: &v1.Record_Suspect{Suspect: &v1.Suspect{
		Holder: holder.Name, HolderIncarnation: holder.Incarnation, Vows: vows,
	}}})
}

// voters returns the members of the zone, this gateway included.
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

// requestVows asks the members other than this gateway and the holder at the same time. A vow under
// another incarnation than the view's doesn't count.
func (h *Holder) requestVows(ctx context.Context, holder lease.Ref, members []structs.GatewayEntry) []*v1.Vow {
	ctx, cancel := context.WithTimeout(ctx, vowTimeout)
	defer cancel()
	answers := make([]*v1.Vow, len(members))
	var calls sync.WaitGroup
	for i, member := range members {
		if member.Name == h.cfg.Name || member.Name == holder.Name {
			continue
		}
		calls.Go(func() {
			vow, err := h.cfg.Peers.RequestVow(ctx, member, holder)
			if err == nil && vow != nil && vow.GetMember() == member.Name && vow.GetIncarnation() == member.Incarnation {
				answers[i] = vow
			}
		})
	}
	calls.Wait()
	return slices.DeleteFunc(answers, func(vow *v1.Vow) bool { return vow == nil })
}
