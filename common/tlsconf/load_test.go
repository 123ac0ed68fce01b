package tlsconf

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

	"github.com/shoenig/test/must"
)

// handshakeTimeout ends a handshake that one side has abandoned.
const handshakeTimeout = 5 * time.Second

// selfSigned writes a self-signed certificate, which is also its own authority.
func selfSigned(t *testing.T, name string) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		DNSNames:              []string{name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	files := Files{CertFile: filepath.Join(t.TempDir(), "cert.pem"), KeyFile: filepath.Join(t.TempDir(), "key.pem")}
	writePEM(t, files.CertFile, "CERTIFICATE", certificate)
	writePEM(t, files.KeyFile, "PRIVATE KEY", rawKey)
	files.ClientCAFile = files.CertFile
	return files
}

func writePEM(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	body := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	must.NoError(t, os.WriteFile(path, body, 0o600))
}

// handshake runs a TLS handshake over a pipe and returns the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	serverConn, clientConn := net.Pipe()
	deadline := time.Now().Add(handshakeTimeout)
	must.NoError(t, serverConn.SetDeadline(deadline))
	must.NoError(t, clientConn.SetDeadline(deadline))
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(serverConn, server)
		done <- conn.Handshake()
		_ = serverConn.Close()
	}()
	conn := tls.Client(clientConn, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		_, _ = conn.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	return <-done, clientErr
}

func TestPeersWithTheSameAuthorityConnect(t *testing.T) {
	files := selfSigned(t, PeerName)
	server, err := Server(files)
	must.NoError(t, err)
	client, err := Client(files)
	must.NoError(t, err)
	serverErr, clientErr := handshake(t, server, client)
	must.NoError(t, serverErr)
	must.NoError(t, clientErr)
}

func TestClientOfAnotherAuthorityIsRefused(t *testing.T) {
	files := selfSigned(t, PeerName)
	server, err := Server(files)
	must.NoError(t, err)
	otherFiles := selfSigned(t, PeerName)
	otherFiles.ClientCAFile = files.ClientCAFile
	client, err := Client(otherFiles)
	must.NoError(t, err)
	serverErr, _ := handshake(t, server, client)
	must.Error(t, serverErr)
}

func TestServerOfAnotherNameIsRefused(t *testing.T) {
	files := selfSigned(t, "another")
	server, err := Server(files)
	must.NoError(t, err)
	client, err := Client(files)
	must.NoError(t, err)
	_, clientErr := handshake(t, server, client)
	must.ErrorContains(t, clientErr, "not "+PeerName)
}

func TestFilesAreCheckedAtLoading(t *testing.T) {
	none, err := Server(Files{})
	must.NoError(t, err)
	must.Nil(t, none)
	files := selfSigned(t, PeerName)
	files.ClientCAFile = files.KeyFile
	_, err = Server(files)
	must.ErrorContains(t, err, "no certificate")
	_, err = Client(Files{CertFile: "none", KeyFile: "none"})
	must.True(t, Error.Has(err))
}
