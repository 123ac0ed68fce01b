// Package claims durably records which entry has accepted which job key. The
// claims of many jobs share one write. A claim is valid only once its write is
// known to have succeeded while the fence row of the claiming entry existed.
package claims
