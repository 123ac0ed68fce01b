// Package store defines the interfaces of the services that figring needs from
// its platform: a transactional table, an object store, and the announcements of
// minions. Implementations are interchangeable, and each must pass the tests in
// package contract.
package store
