// Package store defines what figring asks of the platform it runs on: a
// transactional table service, an object store, and the announcements of the
// minions. Implementations are interchangeable; each passes the tests in
// package contract.
package store
