// Package tlscerts provides the TLS configurations of a box and reloads its certificate
// files on request, so that certificates are renewed without a restart.
package tlscerts

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
)

// Files holds the paths of the certificate files; empty paths mean no TLS.
type Files struct{ Certificate, Key, Authority string }

// Error reports a file that could not be used.
type Error struct {
	File string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return "TLS certificates: " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NoCertificatesError reports that a file or a peer provides no certificate.
type NoCertificatesError struct{}

// Error implements error.
func (*NoCertificatesError) Error() string { return "no certificates" }

// state holds the loaded files.
type state struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Reloader provides TLS configurations that use the last loaded certificates. It is safe
// for concurrent use.
type Reloader struct {
	files   Files
	current atomic.Pointer[state]
}

// New loads the files.
func New(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	return r, r.Reload()
}

// Reload loads the files again. After an error the old certificates stay in use.
func (r *Reloader) Reload() error {
	if r.files.Certificate == "" {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return &Error{File: r.files.Certificate, Err: err}
	}
	s := &state{certificate: certificate}
	if r.files.Authority != "" {
		raw, err := os.ReadFile(r.files.Authority)
		if err != nil {
			return &Error{File: r.files.Authority, Err: err}
		}
		s.authority = x509.NewCertPool()
		if !s.authority.AppendCertsFromPEM(raw) {
			return &Error{File: r.files.Authority, Err: &NoCertificatesError{}}
		}
	}
	r.current.Store(s)
	return nil
}

// Callers returns the server configuration for callers and operators, or nil without TLS.
func (r *Reloader) Callers() *tls.Config {
	if r.current.Load() == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.certificate}
}

// PeerServer returns the server configuration for other boxes, or nil without TLS. Both
// sides must present a certificate of the authority.
func (r *Reloader) PeerServer() *tls.Config {
	s := r.current.Load()
	if s == nil || s.authority == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion: tls.VersionTLS13, GetCertificate: r.certificate,
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: r.current.Load().authority,
			}, nil
		},
	}
}

// PeerClient returns the client configuration for other boxes, or nil without TLS. Boxes
// are addressed by IP addresses that change, so a box is verified by a certificate of the
// authority and not by its name.
func (r *Reloader) PeerClient() *tls.Config {
	s := r.current.Load()
	if s == nil || s.authority == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // replaced by VerifyConnection below
		VerifyConnection:   r.verifyBox,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
}

// verifyBox checks that a server's certificate is signed by the authority.
func (r *Reloader) verifyBox(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return &NoCertificatesError{}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: r.current.Load().authority, Intermediates: intermediates})
	return err
}

func (r *Reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &r.current.Load().certificate, nil
}
