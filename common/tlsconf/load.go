package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Server returns the configuration for a listener, or nil when files is empty.
// With a ClientCAFile, every client must present a valid certificate.
func Server(files Files) (*tls.Config, error) {
	config, err := baseConfig(files)
	if config == nil || err != nil {
		return nil, err
	}
	if files.ClientCAFile == "" {
		return config, nil
	}
	config.ClientCAs, err = loadCertPool(files.ClientCAFile)
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, err
}

// PeerName is the DNS name in the certificate of every process. Certificates can't
// contain IP addresses, because a process can be replaced at any time and then has
// another address.
const PeerName = "figring"

// Client returns the configuration for connecting to a listener that uses Server
// with the same certificate authorities, or nil when files is empty. Without a
// ClientCAFile the system's authorities are trusted.
func Client(files Files) (*tls.Config, error) {
	config, err := baseConfig(files)
	if config == nil || err != nil {
		return nil, err
	}
	config.ServerName = PeerName
	if files.ClientCAFile == "" {
		return config, nil
	}
	config.RootCAs, err = loadCertPool(files.ClientCAFile)
	return config, err
}

func baseConfig(files Files) (*tls.Config, error) {
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

func loadCertPool(file string) (*x509.CertPool, error) {
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
