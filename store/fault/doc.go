// Package fault wraps the table service and the object store to inject faults,
// which can be changed while the services are in use: an outage, requests without
// a reply, latency, lost replies and lost writes. Random faults come from a seeded
// generator, so a given sequence of requests gets the same faults in every run.
package fault
