package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds the time in which a client sends its headers.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 2 * time.Minute
	// dialTimeout is short, since all processes of a region are milliseconds apart.
	dialTimeout = 2 * time.Second
	// maxHeaderBytes bounds the headers of a call between processes.
	maxHeaderBytes = 16 << 10
	// MaxMessageBytes bounds one message between processes; a snapshot of 2,800 hosts is the largest.
	MaxMessageBytes = 16 << 20
	// maxIdleConnsPerAddress bounds idle connections to one process.
	maxIdleConnsPerAddress = 4
	// sendPingTimeout is the silence after which a connection is probed, and pingTimeout the wait for the
	// answer; a lost process then holds up calls for at most their sum.
	sendPingTimeout = 2 * time.Second
	pingTimeout     = 2 * time.Second
)

// Transport makes the servers and clients of one process.
type Transport struct {
	// reloader is nil when TLS is off.
	reloader *CertReloader
}

// New returns the transport for the settings.
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

// URL returns the base URL of the process at address.
func (t *Transport) URL(address string) string {
	if t.reloader == nil {
		return "http://" + address
	}
	return "https://" + address
}

// Server returns a server for other processes, without a listener.
func (t *Transport) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         t.protocols(),
	}
}

// protocols lets clients choose HTTP/2, also without TLS.
func (t *Transport) protocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(t.reloader == nil)
	return protocols
}

// Listen returns a listener for other processes on address.
func (t *Transport) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || t.reloader == nil {
		return listener, err
	}
	return tls.NewListener(listener, t.reloader.ServerConfig()), nil
}

// ListenPublic returns a listener for callers on address; they need no certificate.
func (t *Transport) ListenPublic(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || t.reloader == nil {
		return listener, err
	}
	return tls.NewListener(listener, t.reloader.PublicServerConfig()), nil
}

// Client returns a client for calls of other processes. Each call brings its own deadline.
func (t *Transport) Client() *http.Client { return &http.Client{Transport: t.roundTripper()} }

// PeerClient returns a client for calls of processes of the system's own. It keeps one HTTP/2
// connection to each address, also without TLS, so that headers are compressed and calls share it.
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

// dialTLS reads the certificates for each connection, so that new files take effect.
func (t *Transport) dialTLS(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	config := t.reloader.ClientConfig()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config.ServerName = host
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, network, address)
}
