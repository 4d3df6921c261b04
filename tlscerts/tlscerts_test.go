package tlscerts_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/tlscerts"
)

// authority signs certificates of boxes.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	dir         string
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "boxes"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, _ := x509.ParseCertificate(raw)
	a := &authority{certificate: certificate, key: key, dir: t.TempDir(), serial: 1}
	a.write(t, "authority.pem", "CERTIFICATE", raw)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, raw []byte) string {
	t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// issueFiles issues the certificate of a box and returns its files.
func (a *authority) issueFiles(t *testing.T, name string) tlscerts.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, _ := x509.MarshalECPrivateKey(key)
	return tlscerts.Files{
		Certificate: a.write(t, name+".pem", "CERTIFICATE", raw), Key: a.write(t, name+".key", "EC PRIVATE KEY", private),
		Authority: filepath.Join(a.dir, "authority.pem"),
	}
}

// handshake connects a client to a server and returns the serial number of the server's
// certificate as the client sees it.
func handshake(server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("x"))
	}()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func newReloader(t *testing.T, f tlscerts.Files) *tlscerts.Reloader {
	t.Helper()
	k, err := tlscerts.New(f)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestPeers checks which peers accept each other.
func TestPeers(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	a, b, stranger := newReloader(t, ours.issueFiles(t, "a")), newReloader(t, ours.issueFiles(t, "b")), newReloader(t, others.issueFiles(t, "c"))
	tests := map[string]struct {
		server, client *tls.Config
		ok             bool
	}{
		"two boxes":                   {a.PeerServer(), b.PeerClient(), true},
		"client of another authority": {a.PeerServer(), stranger.PeerClient(), false},
		"server of another authority": {stranger.PeerServer(), b.PeerClient(), false},
		"no certificate":              {a.PeerServer(), &tls.Config{InsecureSkipVerify: true}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := handshake(tt.server, tt.client)
			is.Equal(err == nil, tt.ok)
		})
	}
}

// TestReload checks that a renewed certificate is used without a restart and that invalid
// files change nothing.
func TestReload(t *testing.T) {
	is := is.New(t)
	ours := newAuthority(t)
	files := ours.issueFiles(t, "a")
	k := newReloader(t, files)
	server, client := k.Callers(), &tls.Config{InsecureSkipVerify: true}
	before, err := handshake(server, client)
	is.NoErr(err)
	ours.issueFiles(t, "a")
	is.NoErr(k.Reload())
	after, err := handshake(server, client)
	is.NoErr(err)
	is.True(after > before)
	is.NoErr(os.WriteFile(files.Key, []byte("broken"), 0o600))
	is.True(k.Reload() != nil)
	still, err := handshake(server, client)
	is.NoErr(err)
	is.Equal(still, after)
}

func TestNone(t *testing.T) {
	is := is.New(t)
	k := newReloader(t, tlscerts.Files{})
	is.True(k.Callers() == nil)
	is.True(k.PeerServer() == nil)
	is.True(k.PeerClient() == nil)
}
