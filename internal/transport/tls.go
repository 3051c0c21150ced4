// Package transport makes the servers and clients between processes, with mutual TLS where it is
// configured. Certificates are read again when their files change, without a restart.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"turmericyoke/internal/fault"
)

// reloadInterval bounds how often the files are looked at.
const reloadInterval = 10 * time.Second

// TLS names the certificate files of one process.
type TLS struct {
	// CertFile and KeyFile are the process's own certificate chain and key in PEM.
	CertFile string `yaml:"certFile"`
	KeyFile  string `yaml:"keyFile"`
	// CAFile has the PEM certificates of the authorities that sign the other processes' certificates.
	CAFile string `yaml:"caFile"`
	// Plaintext turns TLS off, for loopback only.
	Plaintext bool `yaml:"plaintext"`
}

// Check returns one error for each broken rule.
func (t TLS) Check(field string) []error {
	named := t.CertFile != "" && t.KeyFile != "" && t.CAFile != ""
	anyNamed := t.CertFile != "" || t.KeyFile != "" || t.CAFile != ""
	switch {
	case t.Plaintext && anyNamed:
		return []error{fault.Invalid(fault.SettingsInvalid, field, "plaintext and certificate files: want one of them")}
	case !t.Plaintext && !named:
		return []error{fault.Invalid(fault.SettingsInvalid, field, "want certFile, keyFile and caFile, or plaintext: true")}
	}
	return nil
}

// material is one consistent reading of the files.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Keeper holds the certificates of one process and reads them again when the files change.
type Keeper struct {
	files TLS
	now   func() time.Time

	mu       sync.Mutex
	current  material
	looked   time.Time
	modified time.Time
}

// NewKeeper reads the files once and returns an error when they are unusable.
func NewKeeper(files TLS) (*Keeper, error) {
	keeper := &Keeper{files: files, now: time.Now}
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	keeper.current = loaded
	keeper.looked = keeper.now()
	keeper.modified = newest(files)
	return keeper, nil
}

// get returns the newest usable material. Unusable files on disk leave the current material in use.
func (k *Keeper) get() material {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now().Sub(k.looked) < reloadInterval {
		return k.current
	}
	k.looked = k.now()
	modified := newest(k.files)
	if modified.Equal(k.modified) {
		return k.current
	}
	if loaded, err := load(k.files); err == nil {
		k.current = loaded
		k.modified = modified
	}
	return k.current
}

// ServerConfig returns a configuration that asks clients for a certificate of the authorities.
func (k *Keeper) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.get()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.authorities,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// PublicConfig returns a configuration for callers, who need no certificate.
func (k *Keeper) PublicConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.get().certificate, nil
		},
	}
}

// ClientConfig returns the configuration for one new connection.
func (k *Keeper) ClientConfig() *tls.Config {
	m := k.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*m.certificate},
		RootCAs:      m.authorities,
		NextProtos:   []string{"h2", "http/1.1"},
	}
}

func load(files TLS) (material, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return material{}, fault.Wrap(fault.SettingsInvalid, err, "certificate can't be used")
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return material{}, fault.Wrap(fault.SettingsInvalid, err, "authorities can't be read")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return material{}, fault.New(fault.SettingsInvalid, "%s: want at least one PEM certificate", files.CAFile)
	}
	return material{certificate: &certificate, authorities: authorities}, nil
}

// newest returns the latest modification time of the files.
func newest(files TLS) time.Time {
	var latest time.Time
	for _, path := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
