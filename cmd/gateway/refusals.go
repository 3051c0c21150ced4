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

// appendForLostInterval is the time between attempts to append the refusals of lost gateways.
const appendForLostInterval = time.Second

// gatewayInstance identifies one process lifetime of a gateway.
type gatewayInstance struct{ name, incarnation string }

// refusalReplicator records the gateway's refusals, sends a copy of those that aren't on the log yet to
// one peer, and stores the copies of other gateways. It appends these to the log if their gateway is lost.
type refusalReplicator struct {
	name       string
	now        func() time.Time
	recorder   *refusal.Recorder
	peerCopies *refusal.CopyStore
	appender   refusal.Appender

	mu sync.Mutex
	// copyPeer is the only peer that receives the copy, so that refusals aren't sent to the whole zone.
	copyPeer string
	// lastCopy identifies the contents of the copy sent last, and lastCopyAt is the time of sending.
	lastCopy   copyFingerprint
	lastCopyAt time.Time
	// activeGateways holds the gateways that are in the newest view and not suspected.
	activeGateways map[gatewayInstance]bool
	// lostGateways holds the gateways whose copies are still to be appended.
	lostGateways map[gatewayInstance]bool
}

func newRefusalReplicator(name, incarnation string, log refusal.Log) *refusalReplicator {
	return &refusalReplicator{
		name:           name,
		now:            time.Now,
		recorder:       refusal.NewRecorder(name, incarnation, time.Now),
		peerCopies:     refusal.NewCopyStore(name),
		appender:       refusal.LogAppender{Log: log},
		activeGateways: map[gatewayInstance]bool{},
		lostGateways:   map[gatewayInstance]bool{},
	}
}

// copyFingerprint identifies the contents of a copy, to detect changes since it was sent.
type copyFingerprint struct {
	peer       string
	seq, count uint64
	entries    int
}

// Sending a copy costs as much as appending the batch to the log. So copies are sent only after a change and
// at most once per copyInterval. An unchanged copy is repeated after copyRefreshInterval, in case it was lost.
const (
	copyInterval        = time.Second
	copyRefreshInterval = 5 * time.Second
)

// RefusalsFor implements exchange.PendingRefusals.
func (r *refusalReplicator) RefusalsFor(peer string) *v1.RefusalBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.now().Sub(r.lastCopyAt)
	if peer != r.copyPeer || age < copyInterval {
		return nil
	}
	batch := r.recorder.CopyForPeer()
	fingerprint := copyFingerprint{peer, batch.GetSeq(), batch.GetCumulativeCount(), len(batch.GetEntries())}
	if fingerprint == r.lastCopy && age < copyRefreshInterval {
		return nil
	}
	r.lastCopy, r.lastCopyAt = fingerprint, r.now()
	return batch
}

// StoreRefusalCopy implements exchange.PendingRefusals.
func (r *refusalReplicator) StoreRefusalCopy(batch *v1.RefusalBatch) { r.peerCopies.Put(batch) }

// RecordRefusalTotal implements exchange.PendingRefusals.
func (r *refusalReplicator) RecordRefusalTotal(gateway, incarnation string, total uint64) {
	r.peerCopies.ObserveTotal(gateway, incarnation, total)
}

// observeMembers updates the sets of active and lost gateways from a view. It also chooses the peer that
// receives copies: the gateway of this zone whose name follows, in the circular order of names.
func (r *refusalReplicator) observeMembers(gateways []structs.GatewayEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isActive := map[gatewayInstance]bool{}
	zone := ""
	for _, gateway := range gateways {
		isActive[gatewayInstance{gateway.Name, gateway.Incarnation}] = !gateway.Suspected
		if gateway.Name == r.name {
			zone = gateway.Zone
		}
	}
	for member := range r.activeGateways {
		if !isActive[member] && member.name != r.name {
			r.lostGateways[member] = true
		}
	}
	clear(r.activeGateways)
	for member, active := range isActive {
		if active {
			r.activeGateways[member] = true
		}
	}
	r.copyPeer = nextInZone(gateways, zone, r.name)
}

// nextInZone returns the name of the zone's gateway after the given one in the circular order of names,
// or "" if there is no other.
func nextInZone(gateways []structs.GatewayEntry, zone, name string) string {
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

// appendForLostGateways appends the copies of lost gateways until ctx ends.
func (r *refusalReplicator) appendForLostGateways(ctx context.Context) error {
	_ = periodic.Every(ctx, appendForLostInterval, r.appendForLostGatewaysOnce)
	return nil
}

// appendForLostGatewaysOnce tries once for each lost gateway. The next call repeats failed attempts.
func (r *refusalReplicator) appendForLostGatewaysOnce(ctx context.Context) {
	r.mu.Lock()
	lost := make([]gatewayInstance, 0, len(r.lostGateways))
	for gateway := range r.lostGateways {
		lost = append(lost, gateway)
	}
	r.mu.Unlock()
	for _, gateway := range lost {
		if r.appendCopies(ctx, gateway.name) != nil {
			continue
		}
		r.mu.Lock()
		delete(r.lostGateways, gateway)
		r.mu.Unlock()
	}
}

// appendCopies appends all copies of the gateway's refusals. The incarnation of a copy is that with which the process
// started, which isn't the one that is lost if the gateway has joined again since.
func (r *refusalReplicator) appendCopies(ctx context.Context, gateway string) error {
	for _, incarnation := range r.peerCopies.Incarnations(gateway) {
		callCtx, cancel := context.WithTimeout(ctx, refusal.AppendTimeout)
		err := r.peerCopies.AppendCopy(callCtx, gateway, incarnation, r.appender)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
