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

// callTimeout is the longest time of one exchange. Without it a stalled peer would not be called again,
// since a new call starts only when the previous one has ended.
const callTimeout = time.Second

// Lease manages this gateway's lease, which peers renew with each exchange, and decides whether this gateway
// renews the leases of its peers.
type Lease interface {
	// RecordRenewal records that the peer renewed the lease of this gateway's incarnation, in its response to
	// a message sent at sentAt.
	RecordRenewal(peer, incarnation string, sentAt time.Time)
	// RecordReport records that a report of the holder, another gateway, was received.
	RecordReport(holder, incarnation string)
	// MayRenew reports whether this gateway may renew the lease of the holder's incarnation. It may not if it
	// has vowed not to.
	MayRenew(holder, incarnation string) bool
	// Vow returns this gateway's vow not to renew the holder's lease any more, or nil if it received a report of
	// the holder recently.
	Vow(holder, incarnation string) *v1.Vow
}

// PendingRefusals exchanges copies of refusals that aren't in the log yet, so that they outlive the gateway
// that recorded them.
type PendingRefusals interface {
	// RefusalsFor returns this gateway's batch for the peer. It returns nil if another peer stores the copy, or
	// if the peer needs no new one.
	RefusalsFor(peer string) *v1.RefusalBatch
	// StoreRefusalCopy stores the batch of another gateway.
	StoreRefusalCopy(batch *v1.RefusalBatch)
	// RecordRefusalTotal records the total number of refusals that another gateway has reported.
	RecordRefusalTotal(gateway, incarnation string, total uint64)
}

// Config configures an Exchange.
type Config struct {
	// Self and Zone name this gateway and its availability zone.
	Self, Zone string
	// Incarnation returns the incarnation of this gateway's holder of rights, which changes when the
	// holder joins again.
	Incarnation func() string
	Peers       *Peers
	// Load returns this gateway's report without the name, incarnation, zone and sequence number.
	Load func() *v1.GatewayLoad
	// Client returns the client for the gateway at the address.
	Client          func(address string) turmericyokev1connect.PeerServiceClient
	Lease           Lease
	PendingRefusals PendingRefusals
	// OnReport is called with each accepted report. If the report came in a response, sentAt is when this
	// gateway sent the request, by ViewNow; it is zero if the report came in a request of the peer.
	OnReport func(report *v1.GatewayLoad, sentAt time.Time)
	// OnMembers is called with the gateways that own slots, after each round of calls and each report,
	// even if they haven't changed.
	OnMembers func(members []string)
	Now       func() time.Time
	// ViewNow reads the clock on which the age of views is measured.
	ViewNow func() time.Time
}

// Exchange sends reports to the other gateways, and receives their reports and responds to them.
type Exchange struct {
	config Config
	// seq is the sequence number of the last report.
	seq atomic.Uint64

	mu sync.Mutex
	// inFlight holds the names of the gateways that are being called.
	inFlight map[string]bool
	// lastResponses holds the last response to each calling gateway.
	lastResponses map[string]lastResponse
	// receivedSeq holds the sequence number of the newest report of each gateway.
	receivedSeq map[string]uint64
	// roundBytes counts the bytes of the exchanges since the last round began.
	roundBytes int
}

// lastResponse identifies the last response to a calling gateway.
type lastResponse struct {
	seq    uint64
	sentAt time.Time
}

// New returns an Exchange that calls no gateway until Run.
func New(config Config) *Exchange {
	return &Exchange{config: config, inFlight: map[string]bool{}, lastResponses: map[string]lastResponse{}, receivedSeq: map[string]uint64{}}
}

// Run exchanges reports with the other gateways until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	var pacer intervalPacer
	nextZoneCalls := e.config.Now()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		e.callZonePeers(ctx, &calls)
		if !e.config.Now().Before(nextZoneCalls) {
			e.callOtherZones(ctx, &calls)
			nextZoneCalls = e.config.Now().Add(otherZoneInterval)
		}
		e.config.OnMembers(e.config.Peers.Members())
		timer := time.NewTimer(pacer.nextInterval(e.resetRoundBytes()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// callZonePeers calls each gateway of the zone with a higher name. Those with a lower name call this
// one, so that each pair exchanges once a round.
func (e *Exchange) callZonePeers(ctx context.Context, calls *sync.WaitGroup) {
	for _, gateway := range e.config.Peers.gatewaysWithHigherNames() {
		e.startCall(ctx, calls, gateway, e.buildReport())
	}
}

// callOtherZones calls one gateway of each other zone of the region.
func (e *Exchange) callOtherZones(ctx context.Context, calls *sync.WaitGroup) {
	for _, gateway := range e.config.Peers.onePerOtherZone() {
		e.startCall(ctx, calls, gateway, e.buildZoneReport())
	}
}

// startCall calls gateway in the background, unless an earlier call of it is still in flight.
func (e *Exchange) startCall(ctx context.Context, calls *sync.WaitGroup, gateway structs.GatewayEntry, report *v1.GatewayLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight[gateway.Name] {
		return
	}
	e.inFlight[gateway.Name] = true
	calls.Go(func() {
		defer e.endCall(gateway.Name)
		e.call(ctx, gateway, report)
	})
}

func (e *Exchange) endCall(gateway string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight, gateway)
}

// call sends report to gateway and applies the report, the refusals and the renewal in the response. A
// failed call is not retried, since the next round calls the gateway again.
func (e *Exchange) call(ctx context.Context, gateway structs.GatewayEntry, report *v1.GatewayLoad) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &v1.ExchangeRequest{
		Load: report, AckSeq: e.receivedSeqFrom(gateway.Name), AnswererIncarnation: gateway.Incarnation,
	}
	if gateway.Zone == e.config.Zone {
		request.Renewed = e.config.Lease.MayRenew(gateway.Name, gateway.Incarnation)
		request.Pending = e.config.PendingRefusals.RefusalsFor(gateway.Name)
	}
	sentAt, viewSentAt := e.config.Now(), e.config.ViewNow()
	response, err := e.config.Client(gateway.Address).Exchange(ctx, request)
	if err != nil {
		return
	}
	e.addRoundBytes(proto.Size(request) + proto.Size(response) + callOverhead)
	e.applyReport(response.GetLoad(), viewSentAt)
	e.storeRefusals(response.GetPending())
	if gateway.Zone == e.config.Zone && response.GetRenewed() {
		e.config.Lease.RecordRenewal(gateway.Name, response.GetLoad().GetIncarnation(), sentAt)
	}
}

// applyReport applies the report of another gateway if Peers accepts it.
func (e *Exchange) applyReport(report *v1.GatewayLoad, sentAt time.Time) {
	if !e.config.Peers.ApplyReport(report) {
		return
	}
	e.mu.Lock()
	e.receivedSeq[report.GetGateway()] = report.GetSeq()
	e.mu.Unlock()
	if report.GetZone() == e.config.Zone {
		e.config.Lease.RecordReport(report.GetGateway(), report.GetIncarnation())
		e.config.PendingRefusals.RecordRefusalTotal(report.GetGateway(), report.GetIncarnation(), report.GetRefusedTotal())
	}
	e.config.OnReport(report, sentAt)
	e.config.OnMembers(e.config.Peers.Members())
}

func (e *Exchange) receivedSeqFrom(gateway string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.receivedSeq[gateway]
}

func (e *Exchange) addRoundBytes(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roundBytes += count
}

// resetRoundBytes returns the number of bytes since the last reset, and sets it to 0.
func (e *Exchange) resetRoundBytes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := e.roundBytes
	e.roundBytes = 0
	return count
}

// buildReport returns a new report of this gateway.
func (e *Exchange) buildReport() *v1.GatewayLoad {
	report := e.config.Load()
	report.Gateway = e.config.Self
	report.Incarnation = e.config.Incarnation()
	report.Zone = e.config.Zone
	report.Seq = e.seq.Add(1)
	return report
}

// buildZoneReport returns a new report for another zone: the sums of this gateway and the peers of its
// zone, without rights.
func (e *Exchange) buildZoneReport() *v1.GatewayLoad {
	report := e.buildReport()
	report.Rights = nil
	report.Draining = false
	e.config.Peers.addPeerReports(report)
	return report
}
