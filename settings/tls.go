package settings

import "github.com/figring/figring/common/tlsconf"

// TLS names the PEM files by listener. A listener without files uses plain
// TCP. The files under rpc are used for dialling peers as well.
type TLS struct {
	Callers       tlsconf.Files `json:"callers"`
	Operators     tlsconf.Files `json:"operators"`
	RPC           tlsconf.Files `json:"rpc"`
	Status        tlsconf.Files `json:"status"`
	Announcements tlsconf.Files `json:"announcements"`
}

// resolve makes the names absolute or relative to the working directory, and
// checks that every file can be used, before anything starts.
func (t *TLS) resolve(dir string) error {
	parts := []struct {
		field string
		files *tlsconf.Files
	}{
		{"tls.callers", &t.Callers},
		{"tls.operators", &t.Operators},
		{"tls.rpc", &t.RPC},
		{"tls.status", &t.Status},
		{"tls.announcements", &t.Announcements},
	}
	for _, part := range parts {
		part.files.CertFile = relativeTo(dir, part.files.CertFile)
		part.files.KeyFile = relativeTo(dir, part.files.KeyFile)
		part.files.ClientCAFile = relativeTo(dir, part.files.ClientCAFile)
		if _, err := tlsconf.Server(*part.files); err != nil {
			return &Error{Field: part.field, Allowed: err.Error()}
		}
	}
	return nil
}
