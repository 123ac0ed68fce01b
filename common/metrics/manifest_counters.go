package metrics

import "github.com/uber-go/tally/v4"

// ManifestCounters count the manifests that a process exchanges with its peers.
type ManifestCounters struct{ sent, adopted, notNewer tally.Counter }

// NewManifestCounters returns counters in the scope.
func NewManifestCounters(scope tally.Scope) ManifestCounters {
	received := func(status string) tally.Counter {
		return scope.Tagged(map[string]string{TagStatus: status}).Counter(ManifestsReceived)
	}
	return ManifestCounters{
		sent:     scope.Counter(ManifestsSent),
		adopted:  received("adopted"),
		notNewer: received("not_newer"),
	}
}

// CountSent counts a manifest sent to a peer.
func (c ManifestCounters) CountSent() { c.sent.Inc(1) }

// CountReceived counts a manifest received from a peer by whether it was adopted.
func (c ManifestCounters) CountReceived(adopted bool) {
	if adopted {
		c.adopted.Inc(1)
		return
	}
	c.notNewer.Inc(1)
}
