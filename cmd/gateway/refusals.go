package main

import (
	"context"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/refusal"
	"turmericyoke/internal/structs"
)

// handOverPoll is the time between two tries to append the refusals of lost gateways.
const handOverPoll = time.Second

// lostGateway is a process lifetime whose refusals this gateway may hold.
type lostGateway struct{ name, incarnation string }

// refusalRecord records the gateway's refusals and keeps the copies of its peers.
type refusalRecord struct {
	name     string
	recorder *refusal.Recorder
	keeper   *refusal.Keeper
	appender refusal.Appender

	mu sync.Mutex
	// copyPeer is the only peer that gets the copy, so that refusals aren't sent to the whole zone.
	copyPeer string
	// members are the gateways that the newest view shows, by incarnation.
	members map[lostGateway]bool
	// lost are the gateways whose copies wait to be appended.
	lost map[lostGateway]bool
}

func newRefusalRecord(name, incarnation string, log refusal.Log) *refusalRecord {
	return &refusalRecord{
		name:     name,
		recorder: refusal.NewRecorder(name, incarnation, time.Now),
		keeper:   refusal.NewKeeper(name),
		appender: refusal.LogAppender{Log: log},
		members:  map[lostGateway]bool{},
		lost:     map[lostGateway]bool{},
	}
}

// Copy implements exchange.Pending.
func (r *refusalRecord) Copy(peer string) *v1.RefusalBatch {
	r.mu.Lock()
	chosen := r.copyPeer
	r.mu.Unlock()
	if peer != chosen {
		return nil
	}
	return r.recorder.Copy()
}

// Keep implements exchange.Pending.
func (r *refusalRecord) Keep(batch *v1.RefusalBatch) { r.keeper.Keep(batch) }

// Observe implements exchange.Pending.
func (r *refusalRecord) Observe(gateway, incarnation string, total uint64) {
	r.keeper.Observe(gateway, incarnation, total)
}

// observeMembers notes which gateways are lost, and chooses the peer that gets copies: the next
// name after this gateway's, around the end of the zone.
func (r *refusalRecord) observeMembers(gateways []structs.GatewayEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := map[lostGateway]bool{}
	zone := ""
	for _, gateway := range gateways {
		present[lostGateway{gateway.Name, gateway.Incarnation}] = !gateway.Suspected
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
	ticker := time.NewTicker(handOverPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.handOverOnce(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *refusalRecord) handOverOnce(ctx context.Context) {
	r.mu.Lock()
	waiting := make([]lostGateway, 0, len(r.lost))
	for gateway := range r.lost {
		waiting = append(waiting, gateway)
	}
	r.mu.Unlock()
	for _, gateway := range waiting {
		call, cancel := context.WithTimeout(ctx, refusal.AppendTimeout)
		err := r.keeper.HandOver(call, gateway.name, gateway.incarnation, r.appender)
		cancel()
		if err != nil {
			continue
		}
		r.mu.Lock()
		delete(r.lost, gateway)
		r.mu.Unlock()
	}
}
