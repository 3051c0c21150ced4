package main

import (
	"context"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/refusal"
	"turmericyoke/internal/structs"
)

// handOverPoll is the time between two tries to append the refusals of lost gateways.
const handOverPoll = time.Second

// lifetime identifies one process lifetime of a gateway.
type lifetime struct{ name, incarnation string }

// refusalRecord records the gateway's refusals and keeps the copies of its peers.
type refusalRecord struct {
	name     string
	now      func() time.Time
	recorder *refusal.Recorder
	keeper   *refusal.CopyStore
	appender refusal.Appender

	mu sync.Mutex
	// copyPeer is the only peer that gets the copy, so that refusals aren't sent to the whole zone.
	copyPeer string
	// copied is the newest copy that was sent, and copiedAt when.
	copied   copyMark
	copiedAt time.Time
	// members are the gateways that the newest view shows, by incarnation.
	members map[lifetime]bool
	// lost are the gateways whose copies wait to be appended.
	lost map[lifetime]bool
}

func newRefusalRecord(name, incarnation string, log refusal.Log) *refusalRecord {
	return &refusalRecord{
		name:     name,
		now:      time.Now,
		recorder: refusal.NewRecorder(name, incarnation, time.Now),
		keeper:   refusal.NewCopyStore(name),
		appender: refusal.LogAppender{Log: log},
		members:  map[lifetime]bool{},
		lost:     map[lifetime]bool{},
	}
}

// copyMark tells whether a copy has changed since it was sent.
type copyMark struct {
	peer       string
	seq, count uint64
	entries    int
}

// Copies cost as much as the batches on the log, so that they go only when something has changed, at
// most once in copyInterval, and again after copyRefresh in case that one was lost on its way.
const (
	copyInterval = time.Second
	copyRefresh  = 5 * time.Second
)

// RefusalsFor implements exchange.Pending.
func (r *refusalRecord) RefusalsFor(peer string) *v1.RefusalBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.now().Sub(r.copiedAt)
	if peer != r.copyPeer || age < copyInterval {
		return nil
	}
	batch := r.recorder.CopyForPeer()
	mark := copyMark{peer, batch.GetSeq(), batch.GetCumulativeCount(), len(batch.GetEntries())}
	if mark == r.copied && age < copyRefresh {
		return nil
	}
	r.copied, r.copiedAt = mark, r.now()
	return batch
}

// StoreRefusalCopy implements exchange.Pending.
func (r *refusalRecord) StoreRefusalCopy(batch *v1.RefusalBatch) { r.keeper.Put(batch) }

// RecordRefusalTotal implements exchange.Pending.
func (r *refusalRecord) RecordRefusalTotal(gateway, incarnation string, total uint64) {
	r.keeper.ObserveTotal(gateway, incarnation, total)
}

// observeMembers notes which gateways are lost, and chooses the peer that gets copies: the next
// name after this gateway's, around the end of the zone.
func (r *refusalRecord) observeMembers(gateways []structs.GatewayEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := map[lifetime]bool{}
	zone := ""
	for _, gateway := range gateways {
		present[lifetime{gateway.Name, gateway.Incarnation}] = !gateway.Suspected
		if gateway.Name == r.name {
			zone = gateway.Zone
		}
	}
	for member := range r.members {
		if !present[member] && member.name != r.name {
			r.lost[member] = true
		}
	}
	clear(r.members)
	for member, alive := range present {
		if alive {
			r.members[member] = true
		}
	}
	r.copyPeer = nextName(gateways, zone, r.name)
}

// nextName returns the zone's gateway that follows name in a ring, or "" when there is no other.
func nextName(gateways []structs.GatewayEntry, zone, name string) string {
	next, first := "", ""
	for _, gateway := range gateways {
		if gateway.Zone != zone || gateway.Suspected || gateway.Name == name {
			continue
		}
		if first == "" || gateway.Name < first {
			first = gateway.Name
		}
		if gateway.Name > name && (next == "" || gateway.Name < next) {
			next = gateway.Name
		}
	}
	if next == "" {
		return first
	}
	return next
}

// handOver appends the copies of lost gateways until ctx ends.
func (r *refusalRecord) handOver(ctx context.Context) error {
	_ = periodic.Every(ctx, handOverPoll, r.handOverOnce)
	return nil
}

func (r *refusalRecord) handOverOnce(ctx context.Context) {
	r.mu.Lock()
	waiting := make([]lifetime, 0, len(r.lost))
	for gateway := range r.lost {
		waiting = append(waiting, gateway)
	}
	r.mu.Unlock()
	for _, gateway := range waiting {
		call, cancel := context.WithTimeout(ctx, refusal.AppendTimeout)
		err := r.keeper.AppendCopy(call, gateway.name, gateway.incarnation, r.appender)
		cancel()
		if err != nil {
			continue
		}
		r.mu.Lock()
		delete(r.lost, gateway)
		r.mu.Unlock()
	}
}
