package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Server returns the configuration of a listener, or nil when files is empty.
// With a ClientCAFile every client must present a certificate.
func Server(files Files) (*tls.Config, error) {
	config, err := base(files)
	if config == nil || err != nil {
		return nil, err
	}
	if files.ClientCAFile == "" {
		return config, nil
	}
	config.ClientCAs, err = pool(files.ClientCAFile)
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, err
}

// PeerName is the DNS name that the certificate of every process carries. The
// processes are replaced at any time and get other IP numbers, so that
// certificates can't name those.
const PeerName = "figring"

// Client returns the configuration for dialling a listener that uses Server
// with the same authorities, or nil when files is empty. Without a
// ClientCAFile the system's authorities are trusted.
func Client(files Files) (*tls.Config, error) {
	config, err := base(files)
	if config == nil || err != nil {
		return nil, err
	}
	config.ServerName = PeerName
	if files.ClientCAFile == "" {
		return config, nil
	}
	config.RootCAs, err = pool(files.ClientCAFile)
	return config, err
}

func base(files Files) (*tls.Config, error) {
	if files.Empty() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
	}, nil
}

func pool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(raw) {
		return nil, Error.New("%s: no certificate in PEM", file)
	}
	return authorities, nil
}
