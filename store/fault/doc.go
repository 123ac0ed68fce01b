// Package fault decorates the platform's services with faults that can be
// switched while they are used: outage, requests that get no answer, slowness,
// lost replies and lost writes. Faults are drawn from a seeded source, so that
// a sequence of requests meets the same faults in every run.
package fault
