package settings

import "github.com/figring/figring/common/tlsconf"

// EntryTLS names the PEM files of an entry by listener. A listener without
// files uses plain TCP. The files under rpc are used for dialing peers as well.
type EntryTLS struct {
	Callers   tlsconf.Files `json:"callers"`
	Operators tlsconf.Files `json:"operators"`
	RPC       tlsconf.Files `json:"rpc"`
	Status    tlsconf.Files `json:"status"`
}

func (t *EntryTLS) resolve(dir string) error {
	return resolveTLSFiles(dir, []listenerTLS{
		{"tls.callers", &t.Callers},
		{"tls.operators", &t.Operators},
		{"tls.rpc", &t.RPC},
		{"tls.status", &t.Status},
	})
}

// SidecarTLS names the PEM files of a sidecar by listener. A listener without
// files uses plain TCP. The files under rpc are used for dialing peers as well.
type SidecarTLS struct {
	RPC           tlsconf.Files `json:"rpc"`
	Announcements tlsconf.Files `json:"announcements"`
	Status        tlsconf.Files `json:"status"`
}

func (t *SidecarTLS) resolve(dir string) error {
	return resolveTLSFiles(dir, []listenerTLS{
		{"tls.rpc", &t.RPC},
		{"tls.announcements", &t.Announcements},
		{"tls.status", &t.Status},
	})
}

// listenerTLS holds the TLS files of one listener with the name of their setting.
type listenerTLS struct {
	field string
	files *tlsconf.Files
}

// resolveTLSFiles resolves file names against dir and checks that every file can
// be loaded, so that an unusable file is found before anything starts.
func resolveTLSFiles(dir string, parts []listenerTLS) error {
	for _, part := range parts {
		part.files.CertFile = relativeTo(dir, part.files.CertFile)
		part.files.KeyFile = relativeTo(dir, part.files.KeyFile)
		part.files.ClientCAFile = relativeTo(dir, part.files.ClientCAFile)
		if _, err := tlsconf.Server(*part.files); err != nil {
			return &Error{Field: part.field, Reason: err.Error()}
		}
	}
	return nil
}
