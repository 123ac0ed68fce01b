// Package session holds the messages between an entry and the sidecars that run
// tasks for it under leases, and the connection that carries them.
//
// An entry keeps one connection to each sidecar and one open Poll call on it. A
// sidecar stamps each answer with its own clock, and the entry repeats the
// newest stamp in everything it sends: the age of the repeated stamp tells the
// sidecar how old a message can be at most, whatever held it up on its way.
package session
