// Package peerclient calls the services of other gateways.
package peerclient

import (
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
)

// maxPeers bounds the number of addresses with clients in a ClientPool; the design scale is 120 entry hosts.
const maxPeers = 512

// MinCompressBytes is the size from which compression makes a message smaller.
const MinCompressBytes = 200

// ClientPool creates the clients for each peer address and keeps them for reuse.
type ClientPool struct {
	http *http.Client
	// url returns the base URL for an address.
	url func(address string) string

	mu      sync.Mutex
	clients map[string]peerClients
}

// peerClients are the clients for one peer. The exchange client compresses its messages, since reports
// repeat names and the exchange may use only a limited number of bytes. The forward client does not, since
// compression would delay requests.
type peerClients struct {
	forward, exchange turmericyokev1connect.PeerServiceClient
}

// NewClientPool returns a pool whose clients send with client. url returns the base URL for an address.
func NewClientPool(client *http.Client, url func(address string) string) *ClientPool {
	return &ClientPool{http: client, url: url, clients: map[string]peerClients{}}
}

// ForwardClient returns the client for forwarding requests to the gateway at address.
func (p *ClientPool) ForwardClient(address string) turmericyokev1connect.PeerServiceClient {
	return p.clientsAt(address).forward
}

// ExchangeClient returns the client for exchanging reports with the gateway at address.
func (p *ClientPool) ExchangeClient(address string) turmericyokev1connect.PeerServiceClient {
	return p.clientsAt(address).exchange
}

// clientsAt returns the clients for address. If there are maxPeers already, it drops all of them first.
func (p *ClientPool) clientsAt(address string) peerClients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.clients[address]; ok {
		return existing
	}
	if len(p.clients) >= maxPeers {
		clear(p.clients)
	}
	baseURL := p.url(address)
	created := peerClients{
		forward:  turmericyokev1connect.NewPeerServiceClient(p.http, baseURL, connect.WithAcceptCompression("gzip", nil, nil)),
		exchange: turmericyokev1connect.NewPeerServiceClient(p.http, baseURL, connect.WithSendGzip(), connect.WithCompressMinBytes(MinCompressBytes)),
	}
	p.clients[address] = created
	return created
}
