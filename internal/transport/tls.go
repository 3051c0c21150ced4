// Package transport provides the servers and clients for calls between processes, with mutual TLS if it
// is configured. Certificates are reloaded without a restart when their files change.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/fault"
)

// reloadInterval is the minimum time between two checks of the files.
const reloadInterval = 10 * time.Second

// TLS names the certificate files of one process.
type TLS struct {
	// CertFile and KeyFile contain the process's certificate chain and private key in PEM.
	CertFile string `yaml:"certFile"`
	KeyFile  string `yaml:"keyFile"`
	// CAFile contains the PEM certificates of the authorities that sign the other processes' certificates.
	CAFile string `yaml:"caFile"`
	// Plaintext disables TLS. It is meant for loopback only.
	Plaintext bool `yaml:"plaintext"`
}

// Check returns one error for each violated rule. field is the path of t in the settings.
func (t TLS) Check(field string) []error {
	allFilesSet := t.CertFile != "" && t.KeyFile != "" && t.CAFile != ""
	anyFileSet := t.CertFile != "" || t.KeyFile != "" || t.CAFile != ""
	switch {
	case t.Plaintext && anyFileSet:
		return []error{fault.Invalid(fault.SettingsInvalid, field, "plaintext and certificate files are both set: want only one of them")}
	case !t.Plaintext && !allFilesSet:
		return []error{fault.Invalid(fault.SettingsInvalid, field, "want certFile, keyFile and caFile, or plaintext: true")}
	}
	return nil
}

// credentials holds the certificate with its key and the authorities, all from the same reading of the files.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// CertReloader holds the certificates of a process and reloads them when the files change.
type CertReloader struct {
	files TLS
	now   func() time.Time

	mu sync.Mutex
	// current holds the credentials in use, and loadedFrom the versions of their files.
	current    credentials
	checkedAt  time.Time
	loadedFrom fileVersions
	// rejected has the versions of the files that couldn't be loaded last.
	rejected fileVersions
	// log is nil if reloads aren't logged.
	log logrus.FieldLogger
}

// fileVersions has the modification times and sizes of the certificate, the key and the authorities. A file may be
// replaced by an older one.
type fileVersions [3]struct {
	modifiedAt time.Time
	size       int64
}

// NewCertReloader loads the files and returns an error if they are unusable.
func NewCertReloader(files TLS) (*CertReloader, error) {
	reloader := &CertReloader{files: files, now: time.Now, loadedFrom: versionsOf(files)}
	loaded, err := loadCredentials(files)
	if err != nil {
		return nil, err
	}
	reloader.current = loaded
	reloader.checkedAt = reloader.now()
	return reloader, nil
}

// credentials returns the current credentials, after a reload if the files have changed. If the files
// are unusable, the previous credentials stay in use.
func (r *CertReloader) credentials() credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.checkedAt) < reloadInterval {
		return r.current
	}
	r.checkedAt = r.now()
	if versions := versionsOf(r.files); versions != r.loadedFrom {
		r.reload(versions)
	}
	return r.current
}

// reload loads the files in the given versions. r.mu must be held.
func (r *CertReloader) reload(versions fileVersions) {
	loaded, err := loadCredentials(r.files)
	if err == nil {
		r.current, r.loadedFrom = loaded, versions
	}
	if r.log == nil || err != nil && versions == r.rejected {
		return
	}
	if err != nil {
		r.rejected = versions
		r.log.WithField("event", "certificates_unusable").WithError(err).Error("changed certificate files can't be loaded; the earlier ones stay in use")
		return
	}
	r.log.WithField("event", "certificates_reloaded").Info("certificate files were reloaded")
}

// ServerConfig returns a configuration that requires a client certificate signed by the authorities.
func (r *CertReloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := r.credentials()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authorities,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// PublicServerConfig returns a configuration for callers, which need no client certificate.
func (r *CertReloader) PublicServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.credentials().certificate, nil
		},
	}
}

// ClientConfig returns the configuration for one new outgoing connection.
func (r *CertReloader) ClientConfig() *tls.Config {
	current := r.credentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*current.certificate},
		RootCAs:      current.authorities,
		NextProtos:   []string{"h2", "http/1.1"},
	}
}

func loadCredentials(files TLS) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return credentials{}, fault.Wrap(fault.SettingsInvalid, err, "certificate or private key can't be loaded")
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return credentials{}, fault.Wrap(fault.SettingsInvalid, err, "CA file can't be read")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return credentials{}, fault.New(fault.SettingsInvalid, "CA file %s: want at least one PEM certificate", files.CAFile)
	}
	return credentials{certificate: &certificate, authorities: authorities}, nil
}

// versionsOf returns the versions of the files; a missing file has no version.
func versionsOf(files TLS) fileVersions {
	var versions fileVersions
	for i, path := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		if info, err := os.Stat(path); err == nil {
			versions[i].modifiedAt, versions[i].size = info.ModTime(), info.Size()
		}
	}
	return versions
}
