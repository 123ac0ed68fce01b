// Package fleet starts a whole system on the loopback for a measured run: the
// platform's stand-in, entries, sidecars and the minions' stand-ins, each as a
// process of its own. It belongs to the load tool, which developers use; no
// role of the product starts a process.
//
// The way between availability zones is approximated: loopback connections have
// no delay, so the stand-in of a minion delays each request and each answer by
// the mean one-way delay between an entry and a minion, over the entries' zones
// with equal weight: 0 in the same zone and 1.4 ms in another. Messages between
// entries, and between entries and the platform, are not delayed by zone; the
// platform's stand-in has latencies of its own.
package fleet
