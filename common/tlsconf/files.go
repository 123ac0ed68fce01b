package tlsconf

// Files names the PEM files of one listener or of the connections to peers.
type Files struct {
	// CertFile and KeyFile hold the process's own certificate and key.
	CertFile string `json:"certFile" validate:"required_with=KeyFile ClientCAFile"`
	KeyFile  string `json:"keyFile" validate:"required_with=CertFile"`
	// ClientCAFile holds the authorities that the other side's certificate must
	// come from. Without it a server asks its clients for no certificate.
	ClientCAFile string `json:"clientCAFile"`
}

// Empty reports whether the listener is to use plain TCP.
func (f Files) Empty() bool {
	return f == Files{}
}
