// Package peerclient connects to the other processes of the system.
package peerclient

import (
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
)

// maxPeers bounds the kept clients; the design scale is 120 entry hosts.
const maxPeers = 512

// MinCompressBytes is the size of a message from which compression saves bytes, in bytes.
const MinCompressBytes = 200

// ClientPool keeps the clients for each peer address.
type ClientPool struct {
	http *http.Client
	// url returns the base URL of the process at an address.
	url func(address string) string

	mu      sync.Mutex
	clients map[string]peerClients
}

// peerClients call one peer. Reports of load are compressed, since their names repeat and the bytes of
// the exchange are bounded; forwarded requests aren't, since that would cost them time.
type peerClients struct {
	forward, exchange turmericyokev1connect.PeerServiceClient
}

// NewClientPool returns a pool that calls through client. url returns the base URL of an address.
func NewClientPool(client *http.Client, url func(address string) string) *ClientPool {
	return &ClientPool{http: client, url: url, clients: map[string]peerClients{}}
}

// ForwardClient returns the client that forwards requests to the gateway at address.
func (p *ClientPool) ForwardClient(address string) turmericyokev1connect.PeerServiceClient {
	return p.clientsAt(address).forward
}

// ExchangeClient returns the client for the exchange with the gateway at address.
func (p *ClientPool) ExchangeClient(address string) turmericyokev1connect.PeerServiceClient {
	return p.clientsAt(address).exchange
}

func (p *ClientPool) clientsAt(address string) peerClients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.clients[address]; ok {
		return known
	}
	if len(p.clients) >= maxPeers {
		clear(p.clients)
	}
	url := p.url(address)
	added := peerClients{
		forward:  turmericyokev1connect.NewPeerServiceClient(p.http, url, connect.WithAcceptCompression("gzip", nil, nil)),
		exchange: turmericyokev1connect.NewPeerServiceClient(p.http, url, connect.WithSendGzip(), connect.WithCompressMinBytes(MinCompressBytes)),
	}
	p.clients[address] = added
	return added
}
