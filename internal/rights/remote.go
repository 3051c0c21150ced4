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

// proposeTimeout bounds one controller's attempt. A slow log answers within seconds, and a holder
// whose lease depends on heartbeats must not wait longer for a controller that hangs.
const proposeTimeout = 3 * time.Second

// RemoteProposer is a Proposer that asks controllers in turn, the gateway's own first. It may send the
// same record through several controllers, since the fold ignores copies.
type RemoteProposer struct {
	Clients []turmericyokev1connect.ControllerServiceClient
}

// Propose implements Proposer.
func (c RemoteProposer) Propose(ctx context.Context, record *v1.Record) (*v1.ProposeResponse, error) {
	var errs []error
	for _, client := range c.Clients {
		call, cancel := context.WithTimeout(ctx, proposeTimeout)
		response, err := client.Propose(call, &v1.ProposeRequest{Record: record})
		cancel()
		if err == nil {
			return response, nil
		}
		errs = append(errs, err)
	}
	return nil, fault.Wrap(fault.AppendUnsettled, errors.Join(errs...), "no controller told the verdict")
}

// RemotePeers is the Peers of a running gateway.
type RemotePeers struct {
	// Client returns the client for the gateway at the address.
	Client func(address string) turmericyokev1connect.PeerServiceClient
}

// RequestVow implements Peers.
func (p RemotePeers) RequestVow(ctx context.Context, member structs.GatewayEntry, holder lease.Ref) (*v1.Vow, error) {
	response, err := p.Client(member.Address).RequestVow(ctx, &v1.RequestVowRequest{
		Holder: holder.Name, HolderIncarnation: holder.Incarnation,
	})
	return response.GetVow(), err
}
