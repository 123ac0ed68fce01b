package session

import "github.com/figring/figring/manifest"

// ManifestRequest asks a sidecar for its manifest. It needs no session.
type ManifestRequest struct {
	// Known is the version of the entry's own manifest, 0 for none.
	Known int64
}

// ManifestReply answers a ManifestRequest.
type ManifestReply struct {
	// Manifest is nil if the sidecar has none that is newer than Known.
	Manifest *manifest.Manifest
}
