// Package peerclient connects to the other processes of the system.
package peerclient

import (
	"net/http"
	"sync"
	"time"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
)

// Health checks of connections between processes.
const (
	// pingAfter is the silence after which a connection is probed, and pingTimeout the wait for the
	// answer; a lost peer then holds up requests for at most their sum.
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second
)

// maxPeers bounds the kept clients; the design scale is 120 entry hosts.
const maxPeers = 512

// NewHTTPClient returns a client that keeps one unencrypted HTTP/2 connection to each address, so
// that headers are compressed and calls share the connection.
func NewHTTPClient() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// Pool keeps one client for each peer address.
type Pool struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]turmericyokev1connect.PeerServiceClient
}

// NewPool returns a pool that calls through client.
func NewPool(client *http.Client) *Pool {
	return &Pool{http: client, clients: map[string]turmericyokev1connect.PeerServiceClient{}}
}

// Peer returns the client for the gateway at address.
func (p *Pool) Peer(address string) turmericyokev1connect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.clients[address]; ok {
		return client
	}
	if len(p.clients) >= maxPeers {
		clear(p.clients)
	}
	client := turmericyokev1connect.NewPeerServiceClient(p.http, "http://"+address)
	p.clients[address] = client
	return client
}
