package rights

import (
	"context"
	"errors"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// proposeTimeout bounds a proposal through one controller. Even a slow log responds within seconds, and a
// holder whose lease depends on heartbeats must not wait longer for a controller that hangs.
const proposeTimeout = 3 * time.Second

// RemoteProposer is a Proposer that tries the controllers in order until one responds. Each of them may
// append the same record, since the fold ignores copies.
type RemoteProposer struct {
	// Clients are the controllers in the order in which they are tried; the gateway's own comes first.
	Clients []turmericyokev1connect.ControllerServiceClient
}

// Propose implements Proposer.
func (p RemoteProposer) Propose(ctx context.Context, record *v1.Record) (*v1.ProposeResponse, error) {
	var errs []error
	for _, client := range p.Clients {
		callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		response, err := client.Propose(callCtx, &v1.ProposeRequest{Record: record})
		cancel()
		if err == nil {
			return response, nil
		}
		errs = append(errs, err)
	}
	return nil, fault.Wrap(fault.AppendUnsettled, errors.Join(errs...), "no controller answered the proposal, so its verdict is unknown")
}

// RemotePeers implements Peers by calls to other gateways.
type RemotePeers struct {
	// Client returns the client of the gateway at the address.
	Client func(address string) turmericyokev1connect.PeerServiceClient
}

// RequestVow implements Peers.
func (p RemotePeers) RequestVow(ctx context.Context, member structs.GatewayEntry, holder lease.Ref) (*v1.Vow, error) {
	response, err := p.Client(member.Address).RequestVow(ctx, &v1.RequestVowRequest{
		Holder: holder.Name, HolderIncarnation: holder.Incarnation,
	})
	return response.GetVow(), err
}
