package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// headerTimeout limits the time in which a client sends its request headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 2 * time.Minute
	// dialTimeout is short, since the network latency between processes of a region is milliseconds.
	dialTimeout = 2 * time.Second
	// maxHeaderBytes limits the request headers of calls between processes.
	maxHeaderBytes = 16 << 10
	// MaxMessageBytes is the maximum size of a message between processes. The largest message is a
	// snapshot with 2,800 hosts.
	MaxMessageBytes = 16 << 20
	// maxIdleConnsPerAddress limits the idle connections to one process.
	maxIdleConnsPerAddress = 4
	// sendPingTimeout is the time without received data after which a ping is sent on a connection, and
	// pingTimeout the wait for its response. Calls to a lost process therefore hang for at most their sum.
	sendPingTimeout = 2 * time.Second
	pingTimeout     = 2 * time.Second
)

// Transport creates the servers, listeners and clients of one process.
type Transport struct {
	// reloader is nil if TLS is disabled.
	reloader *CertReloader
}

// New returns a transport that uses the certificate files, or no TLS in plaintext mode.
func New(files TLS) (*Transport, error) {
	if files.Plaintext {
		return &Transport{}, nil
	}
	reloader, err := NewCertReloader(files)
	if err != nil {
		return nil, err
	}
	return &Transport{reloader: reloader}, nil
}

// LogReloads logs each later reload of certificates, and each that fails.
func (t *Transport) LogReloads(log logrus.FieldLogger) {
	if t.reloader == nil {
		return
	}
	t.reloader.mu.Lock()
	defer t.reloader.mu.Unlock()
	t.reloader.log = log
}

// URL returns the base URL of the process at address.
func (t *Transport) URL(address string) string {
	if t.reloader == nil {
		return "http://" + address
	}
	return "https://" + address
}

// Server returns a server for calls from other processes. The caller provides the listener.
func (t *Transport) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         t.protocols(),
	}
}

// protocols enables HTTP/1 and HTTP/2, also without TLS.
func (t *Transport) protocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(t.reloader == nil)
	return protocols
}

// Listen returns a listener on address for other processes. With TLS they need a client
// certificate.
func (t *Transport) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || t.reloader == nil {
		return listener, err
	}
	return tls.NewListener(listener, t.reloader.ServerConfig()), nil
}

// ListenPublic returns a listener on address for callers, which need no client certificate.
func (t *Transport) ListenPublic(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || t.reloader == nil {
		return listener, err
	}
	return tls.NewListener(listener, t.reloader.PublicServerConfig()), nil
}

// Client returns a client for calls to other processes. It has no timeout of its own, so each call needs a
// deadline.
func (t *Transport) Client() *http.Client { return &http.Client{Transport: t.roundTripper()} }

// PeerClient returns a client for calls to the system's own processes. It uses HTTP/2 also without TLS,
// so that calls to an address share one connection and its header compression.
func (t *Transport) PeerClient() *http.Client {
	transport := t.roundTripper()
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout}
	if t.reloader == nil {
		transport.Protocols = &http.Protocols{}
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: transport}
}

func (t *Transport) roundTripper() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerAddress,
		ForceAttemptHTTP2:   true,
	}
	if t.reloader != nil {
		transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return t.dialTLS(ctx, dialer, network, address)
		}
	}
	return transport
}

// dialTLS uses the current certificates for each connection, so that changed files take effect.
func (t *Transport) dialTLS(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	config := t.reloader.ClientConfig()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config.ServerName = host
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, network, address)
}
