package transport

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/telemetry"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return authority{certificate: certificate, key: key}
}

// issue writes a certificate for 127.0.0.1, its key and the authority's certificate, and returns their
// paths.
func (a authority) issue(t *testing.T, dir string, serial int64) TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem")}
	writePEM(t, files.CertFile, "CERTIFICATE", der)
	writePEM(t, files.KeyFile, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CAFile, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// startServer starts a server that counts handled requests in served, and returns its transport and
// address.
func startServer(t *testing.T, files TLS, served *atomic.Int64) (*Transport, string) {
	t.Helper()
	transport, err := New(files)
	assert.NilError(t, err)
	listener, err := transport.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	httpServer := transport.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	go httpServer.Serve(listener)
	t.Cleanup(func() { httpServer.Close() })
	return transport, listener.Addr().String()
}

func sendRequest(t *testing.T, files TLS, address string) (*http.Response, error) {
	t.Helper()
	transport, err := New(files)
	assert.NilError(t, err)
	response, err := transport.Client().Get(transport.URL(address))
	if err == nil {
		response.Body.Close()
	}
	return response, err
}

// Guards against a server that accepts clients with a certificate of an unknown authority.
func TestServerRejectsClientsOfAnotherAuthority(t *testing.T) {
	own, other := newAuthority(t, "own"), newAuthority(t, "other")
	files := own.issue(t, t.TempDir(), 2)
	var served atomic.Int64
	_, address := startServer(t, files, &served)

	_, err := sendRequest(t, files, address)
	assert.NilError(t, err)

	untrusted := other.issue(t, t.TempDir(), 3)
	untrusted.CAFile = files.CAFile
	_, err = sendRequest(t, untrusted, address)
	assert.Assert(t, err != nil)
	assert.Equal(t, served.Load(), int64(1))
}

// passReloadInterval sets the clock to a number of reload intervals from now.
func (t *Transport) passReloadInterval(count int) {
	t.reloader.mu.Lock()
	defer t.reloader.mu.Unlock()
	now := time.Now().Add(time.Duration(count) * reloadInterval)
	t.reloader.now = func() time.Time { return now }
}

// Guards against an authority that stays trusted after its file was replaced, because the new file is older than the
// certificate, as a copy that keeps its time is.
func TestOlderFilesAreReloaded(t *testing.T) {
	own, withdrawn := newAuthority(t, "own"), newAuthority(t, "withdrawn")
	files := own.issue(t, t.TempDir(), 2)
	client := withdrawn.issue(t, t.TempDir(), 3)
	trusted := append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: own.certificate.Raw}),
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: withdrawn.certificate.Raw})...)
	client.CAFile = files.CAFile
	assert.NilError(t, os.WriteFile(files.CAFile, trusted, 0o600))
	setAge := func(age time.Duration) {
		assert.NilError(t, os.Chtimes(files.CAFile, time.Now(), time.Now().Add(-age)))
	}
	setAge(time.Hour)
	server, address := startServer(t, files, &atomic.Int64{})
	_, err := sendRequest(t, client, address)
	assert.NilError(t, err)

	writePEM(t, files.CAFile, "CERTIFICATE", own.certificate.Raw)
	setAge(time.Minute)
	server.passReloadInterval(2)
	_, err = sendRequest(t, client, address)
	assert.Assert(t, err != nil, "a client of a withdrawn authority is served")
}

// Checks that files that can't be loaded leave the earlier ones in use, and are logged once for each change.
func TestUnusableFilesAreLogged(t *testing.T) {
	own := newAuthority(t, "own")
	dir := t.TempDir()
	files := own.issue(t, dir, 2)
	server, address := startServer(t, files, &atomic.Int64{})
	var out bytes.Buffer
	server.LogReloads(telemetry.NewLogger(&out, "gateway", "a"))
	client := own.issue(t, t.TempDir(), 3)

	assert.NilError(t, os.WriteFile(files.CertFile, []byte("no certificate"), 0o600))
	for interval := 2; interval <= 6; interval += 2 {
		server.passReloadInterval(interval)
		_, err := sendRequest(t, client, address)
		assert.NilError(t, err)
	}
	assert.Equal(t, strings.Count(out.String(), "event=certificates_unusable"), 1, out.String())

	own.issue(t, dir, 4)
	server.passReloadInterval(8)
	_, err := sendRequest(t, client, address)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(out.String(), "event=certificates_reloaded"), 1, out.String())
}

// Guards against a process that needs a restart to use a renewed certificate.
func TestCertificatesAreReloaded(t *testing.T) {
	own := newAuthority(t, "own")
	dir := t.TempDir()
	files := own.issue(t, dir, 2)
	server, address := startServer(t, files, &atomic.Int64{})
	start := time.Now()

	own.issue(t, dir, 7)
	assert.NilError(t, os.Chtimes(files.CertFile, start, start.Add(time.Minute)))
	server.passReloadInterval(2)

	response, err := sendRequest(t, files, address)
	assert.NilError(t, err)
	assert.Equal(t, response.TLS.PeerCertificates[0].SerialNumber.Int64(), int64(7))
}
