package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/structs"
)

// callTimeout bounds one exchange, so that a stalled peer is asked again in the next round.
const callTimeout = time.Second

// Lease takes the results of renewals, and decides about the renewal of others.
type Lease interface {
	// Renewed reports that the peer answered this gateway's incarnation, to a message sent at sentAt.
	Renewed(peer, incarnation string, sentAt time.Time)
	// Heard notes that the holder sent a report.
	Heard(holder, incarnation string)
	// MayRenew reports whether this gateway hasn't vowed against the incarnation.
	MayRenew(holder, incarnation string) bool
	// Vow returns this gateway's vow against the holder, or nil when it heard the holder recently.
	Vow(holder, incarnation string) *v1.Vow
}

// Pending gives and takes copies of refusals that aren't on the log yet.
type Pending interface {
	// Copy returns the batch for the peer, or nil when another peer keeps the copy.
	Copy(peer string) *v1.RefusalBatch
	// Keep stores the batch of another gateway.
	Keep(batch *v1.RefusalBatch)
	// Observe notes the number of refusals that another gateway reports.
	Observe(gateway, incarnation string, total uint64)
}

// Config is what the exchange needs.
type Config struct {
	// Self and Zone identify this gateway.
	Self, Zone string
	// Incarnation returns that of the holder, which changes when the holder joins again.
	Incarnation func() string
	Peers       *Peers
	// Load returns the report of this gateway, without its identity.
	Load func() *v1.GatewayLoad
	// Client returns the client for the gateway at the address.
	Client  func(address string) turmericyokev1connect.PeerServiceClient
	Lease   Lease
	Pending Pending
	// OnReport is called with each report that was taken, and when the exchange that brought it was
	// sent; sentAt is zero for reports that came with a call of the peer.
	OnReport func(load *v1.GatewayLoad, sentAt time.Time)
	// OnMembers is called after each round and report with the gateways that own slots.
	OnMembers func(members []string)
	Now       func() time.Time
}

// Exchange talks to the other gateways.
type Exchange struct {
	config Config
	seq    atomic.Uint64

	mu sync.Mutex
	// inFlight holds the gateways with an exchange in flight.
	inFlight map[string]bool
	// lastAnswers holds for each caller what this gateway last answered it.
	lastAnswers map[string]lastAnswer
	// receivedSeq holds the sequence number of the newest load of each gateway.
	receivedSeq map[string]uint64
	roundBytes  int
}

// lastAnswer is the last answer to a caller.
type lastAnswer struct {
	seq    uint64
	sentAt time.Time
}

// New returns an exchange.
func New(config Config) *Exchange {
	return &Exchange{config: config, inFlight: map[string]bool{}, lastAnswers: map[string]lastAnswer{}, receivedSeq: map[string]uint64{}}
}

// Run exchanges with all peers until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	var pace intervalPacer
	zonesAt := e.config.Now()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		e.callZonePeers(ctx, &calls)
		if !e.config.Now().Before(zonesAt) {
			e.callOtherZones(ctx, &calls)
			zonesAt = e.config.Now().Add(otherZoneInterval)
		}
		e.config.OnMembers(e.config.Peers.Members())
		timer := time.NewTimer(pace.nextInterval(e.resetRoundBytes()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// callZonePeers calls each gateway of the zone with a higher name; those with a lower name call this one.
func (e *Exchange) callZonePeers(ctx context.Context, calls *sync.WaitGroup) {
	for _, entry := range e.config.Peers.gatewaysWithHigherNames() {
		e.startCall(ctx, calls, entry, e.buildReport())
	}
}

// callOtherZones calls one gateway of each other zone of the region.
func (e *Exchange) callOtherZones(ctx context.Context, calls *sync.WaitGroup) {
	for _, entry := range e.config.Peers.onePerOtherZone() {
		e.startCall(ctx, calls, entry, e.buildZoneReport())
	}
}

// startCall exchanges with entry in the background, unless an earlier exchange is still in flight.
func (e *Exchange) startCall(ctx context.Context, calls *sync.WaitGroup, entry structs.GatewayEntry, load *v1.GatewayLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight[entry.Name] {
		return
	}
	e.inFlight[entry.Name] = true
	calls.Go(func() {
		defer e.endCall(entry.Name)
		e.call(ctx, entry, load)
	})
}

func (e *Exchange) endCall(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight, name)
}

func (e *Exchange) call(ctx context.Context, entry structs.GatewayEntry, load *v1.GatewayLoad) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &v1.ExchangeRequest{
		Load: load, AckSeq: e.receivedSeqFrom(entry.Name), AnswererIncarnation: entry.Incarnation,
	}
	if entry.Zone == e.config.Zone {
		request.Renewed = e.config.Lease.MayRenew(entry.Name, entry.Incarnation)
		request.Pending = e.config.Pending.Copy(entry.Name)
	}
	sentAt := e.config.Now()
	response, err := e.config.Client(entry.Address).Exchange(ctx, request)
	if err != nil {
		return
	}
	e.addRoundBytes(proto.Size(request) + proto.Size(response) + callOverhead)
	e.applyReport(response.GetLoad(), sentAt)
	e.storePending(response.GetPending())
	if entry.Zone == e.config.Zone && response.GetRenewed() {
		e.config.Lease.Renewed(entry.Name, response.GetLoad().GetIncarnation(), sentAt)
	}
}

// applyReport uses the report of another gateway.
func (e *Exchange) applyReport(load *v1.GatewayLoad, sentAt time.Time) {
	if !e.config.Peers.ApplyReport(load) {
		return
	}
	e.mu.Lock()
	e.receivedSeq[load.GetGateway()] = load.GetSeq()
	e.mu.Unlock()
	if load.GetZone() == e.config.Zone {
		e.config.Lease.Heard(load.GetGateway(), load.GetIncarnation())
		e.config.Pending.Observe(load.GetGateway(), load.GetIncarnation(), load.GetRefusedTotal())
	}
	e.config.OnReport(load, sentAt)
	e.config.OnMembers(e.config.Peers.Members())
}

func (e *Exchange) receivedSeqFrom(name string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.receivedSeq[name]
}

func (e *Exchange) addRoundBytes(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roundBytes += count
}

func (e *Exchange) resetRoundBytes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := e.roundBytes
	e.roundBytes = 0
	return count
}

// buildReport returns the report of this gateway.
func (e *Exchange) buildReport() *v1.GatewayLoad {
	load := e.config.Load()
	load.Gateway = e.config.Self
	load.Incarnation = e.config.Incarnation()
	load.Zone = e.config.Zone
	load.Seq = e.seq.Add(1)
	return load
}

// buildZoneReport returns the report of this gateway together with those of its zone.
func (e *Exchange) buildZoneReport() *v1.GatewayLoad {
	load := e.buildReport()
	load.Rights = nil
	load.Draining = false
	e.config.Peers.addPeerReports(load)
	return load
}
