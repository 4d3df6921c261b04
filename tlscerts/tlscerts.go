// Package tlscerts holds the TLS certificate of a box and reads its files again
// when told to, so that certificates are renewed without a stop.
package tlscerts

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
)

// Files names the files; empty names mean no TLS.
type Files struct{ Certificate, Key, Authority string }

// Error says which file could not be used.
type Error struct {
	File string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return "keys: " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NoCertificatesError says that a file holds no certificate.
type NoCertificatesError struct{}

// Error implements error.
func (*NoCertificatesError) Error() string { return "no certificates" }

type state struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Reloader is safe for use by several goroutines.
type Reloader struct {
	files Files
	now   atomic.Pointer[state]
}

// New reads the files.
func New(files Files) (*Reloader, error) {
	k := &Reloader{files: files}
	return k, k.Reload()
}

// Reload reads the files again; on an error the old keys stay in use.
func (k *Reloader) Reload() error {
	if k.files.Certificate == "" {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return &Error{File: k.files.Certificate, Err: err}
	}
	s := &state{certificate: certificate}
	if k.files.Authority != "" {
		raw, err := os.ReadFile(k.files.Authority)
		if err != nil {
			return &Error{File: k.files.Authority, Err: err}
		}
		s.authority = x509.NewCertPool()
		if !s.authority.AppendCertsFromPEM(raw) {
			return &Error{File: k.files.Authority, Err: &NoCertificatesError{}}
		}
	}
	k.now.Store(s)
	return nil
}

// Callers returns the configuration towards callers; nil for none.
func (k *Reloader) Callers() *tls.Config {
	if k.now.Load() == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.certificate}
}

// PeerServer returns the configuration for connections from boxes: both sides
// show a certificate of the authority. Nil for none.
func (k *Reloader) PeerServer() *tls.Config {
	s := k.now.Load()
	if s == nil || s.authority == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion: tls.VersionTLS13, GetCertificate: k.certificate,
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: k.now.Load().authority,
			}, nil
		},
	}
}

// PeerClient returns the configuration for connections to boxes; nil for none.
// Boxes are known by address, and addresses come and go: a box proves that it
// is one by a certificate of the authority, not by its name.
func (k *Reloader) PeerClient() *tls.Config {
	s := k.now.Load()
	if s == nil || s.authority == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // replaced by VerifyConnection below
		VerifyConnection:   k.verifyBox,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.now.Load().certificate, nil
		},
	}
}

func (k *Reloader) verifyBox(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return &NoCertificatesError{}
	}
	between := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: k.now.Load().authority, Intermediates: between})
	return err
}

func (k *Reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &k.now.Load().certificate, nil
}
