package tlsconf

// Files holds the paths of the PEM files for one listener or for connections to
// peers.
type Files struct {
	// CertFile and KeyFile contain the process's own certificate and key.
	CertFile string `json:"certFile" validate:"required_with=KeyFile ClientCAFile"`
	KeyFile  string `json:"keyFile" validate:"required_with=CertFile"`
	// ClientCAFile contains the certificate authorities that must have issued the
	// peer's certificate. Without it a server requests no client certificate.
	ClientCAFile string `json:"clientCAFile"`
}

// Empty reports whether no files are set, which means plain TCP.
func (f Files) Empty() bool {
	return f == Files{}
}
