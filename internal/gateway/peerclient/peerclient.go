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

// CompressAbove is the size of a message from which compression saves bytes, in bytes.
const CompressAbove = 200

// Pool keeps the clients for each peer address.
type Pool struct {
	http *http.Client
	// url returns the base URL of the process at an address.
	url func(address string) string

	mu      sync.Mutex
	clients map[string]clients
}

// clients call one peer. Reports of load are compressed, since their names repeat and the bytes of
// the exchange are bounded; forwarded requests aren't, since that would cost them time.
type clients struct {
	forward, exchange turmericyokev1connect.PeerServiceClient
}

// NewPool returns a pool that calls through client. url returns the base URL of an address.
func NewPool(client *http.Client, url func(address string) string) *Pool {
	return &Pool{http: client, url: url, clients: map[string]clients{}}
}

// Peer returns the client that forwards requests to the gateway at address.
func (p *Pool) Peer(address string) turmericyokev1connect.PeerServiceClient {
	return p.at(address).forward
}

// Exchange returns the client for the exchange with the gateway at address.
func (p *Pool) Exchange(address string) turmericyokev1connect.PeerServiceClient {
	return p.at(address).exchange
}

func (p *Pool) at(address string) clients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.clients[address]; ok {
		return known
	}
	if len(p.clients) >= maxPeers {
		clear(p.clients)
	}
	url := p.url(address)
	added := clients{
		forward:  turmericyokev1connect.NewPeerServiceClient(p.http, url, connect.WithAcceptCompression("gzip", nil, nil)),
		exchange: turmericyokev1connect.NewPeerServiceClient(p.http, url, connect.WithSendGzip(), connect.WithCompressMinBytes(CompressAbove)),
	}
	p.clients[address] = added
	return added
}
